/// \file
/// The inner protocol, about copies of what the platform's store holds.

#ifndef PERIDOTFALL_MESSAGES_COPY_H
#define PERIDOTFALL_MESSAGES_COPY_H

#include "peridotfall/result.h"
#include "proxy/mirror.h"

#include <string>

namespace peridotfall::messages {

inline constexpr auto CopyPath = "/inner/v1/copy";

struct CopyRequest {
  std::string Kind;
  std::uint64_t NewerThan = 0; ///< Revision that the asking daemon has.

  auto operator<=>(const CopyRequest &) const = default;
};

struct CopyAnswer {
  std::uint64_t Revision = 0; ///< 0: nothing newer is known.
  proxy::Objects Objects;

  auto operator<=>(const CopyAnswer &) const = default;
};

inline constexpr auto WatchPath = "/inner/v1/watch";

/// Asks for the changes of a kind; held until there are some.
struct WatchRequest {
  std::string Kind;
  std::uint64_t NewerThan = 0; ///< Revision that the asking daemon has.
  Duration Wait{};             ///< Longest, for a change.

  auto operator<=>(const WatchRequest &) const = default;
};

struct WatchAnswer {
  proxy::ObjectChanges Changes;
  Duration Age{}; ///< Since the store last answered the daemon asked.
};

std::string encode(const CopyRequest &it);
std::string encode(const CopyAnswer &it);
std::string encode(const WatchRequest &it);
std::string encode(const WatchAnswer &it);
Result<CopyRequest> decodeCopyRequest(const std::string &bytes);
Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes);
Result<WatchRequest> decodeWatchRequest(const std::string &bytes);
Result<WatchAnswer> decodeWatchAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_COPY_H
