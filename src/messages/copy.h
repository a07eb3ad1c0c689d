/// \file
/// The inner protocol, about copies of what the platform's store holds.

#ifndef PERIDOTFALL_MESSAGES_COPY_H
#define PERIDOTFALL_MESSAGES_COPY_H

#include "peridotfall/result.h"
#include "proxy/mirror.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::messages {

inline constexpr auto CopyPath = "/inner/v1/copy";

/// A large object that the asking daemon has.
struct HeldObject {
  std::string Name;
  std::uint64_t Revision = 0;

  auto operator<=>(const HeldObject &) const = default;
};

/// An object's spec, compressed.
struct PackedSpec {
  std::string Frame;
  std::uint64_t Against = 0; ///< Revision of the held object; 0: of none.

  auto operator<=>(const PackedSpec &) const = default;
};

/// \return how the object is sent; nothing: as it is.
using PackSpec =
    std::function<std::optional<PackedSpec>(const proxy::StoredObject &)>;
/// \return the spec that was named as held, while it still is; nullptr: none.
using FindHeld = std::function<const std::string *(const HeldObject &)>;

struct CopyRequest {
  std::string Kind;
  std::uint64_t NewerThan = 0; ///< Revision that the asking daemon has.
  std::vector<HeldObject> Held{};
  bool TakesPacked = false;

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
  std::vector<HeldObject> Held{};
  bool TakesPacked = false;

  auto operator<=>(const WatchRequest &) const = default;
};

struct WatchAnswer {
  proxy::ObjectChanges Changes;
  Duration Age{}; ///< Since the store last answered the daemon asked.
};

std::string encode(const CopyRequest &it);
std::string encode(const CopyAnswer &it, const PackSpec &pack = nullptr);
std::string encode(const WatchRequest &it);
std::string encode(const WatchAnswer &it, const PackSpec &pack = nullptr);
Result<CopyRequest> decodeCopyRequest(const std::string &bytes);
Result<CopyAnswer> decodeCopyAnswer(const std::string &bytes,
                                    const FindHeld &held = nullptr);
Result<WatchRequest> decodeWatchRequest(const std::string &bytes);
Result<WatchAnswer> decodeWatchAnswer(const std::string &bytes,
                                      const FindHeld &held = nullptr);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_COPY_H
