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

std::string encode(const CopyRequest &it);
std::string encode(const CopyAnswer &it);
Result<CopyRequest> decodeCopyRequest(const std::string &bytes);
Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_COPY_H
