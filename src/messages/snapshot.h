/// \file
/// Messages of the inner protocol: snapshots and changes of the platform's
/// stored objects, sent between daemons.

#ifndef PERIDOTFALL_MESSAGES_SNAPSHOT_H
#define PERIDOTFALL_MESSAGES_SNAPSHOT_H

#include "peridotfall/result.h"
#include "proxy/object_cache.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::messages {

inline constexpr auto SnapshotPath = "/inner/v1/copy";

/// A large object in the requester's cache, usable as base for a delta.
struct CachedObjectId {
  std::string Name;
  std::uint64_t Revision = 0;

  auto operator<=>(const CachedObjectId &) const = default;
};

/// The compressed spec of an object.
struct PackedSpec {
  std::string Frame;
  std::uint64_t BaseRevision = 0; ///< Revision used as base; 0: none.

  auto operator<=>(const PackedSpec &) const = default;
};

/// \return the compressed spec to send; nothing: the spec is sent as it is.
using PackSpec =
    std::function<std::optional<PackedSpec>(const proxy::StoredObject &)>;
/// \return the cached spec of that revision; nullptr if no longer cached.
using FindCachedSpec =
    std::function<const std::string *(const CachedObjectId &)>;

struct SnapshotRequest {
  std::string Kind;
  std::uint64_t NewerThan = 0; ///< Revision that the requester has.
  std::vector<CachedObjectId> Cached{};
  bool AcceptsPacked = false;

  auto operator<=>(const SnapshotRequest &) const = default;
};

struct SnapshotAnswer {
  std::uint64_t Revision = 0; ///< 0: nothing newer.
  proxy::Objects Objects;

  auto operator<=>(const SnapshotAnswer &) const = default;
};

inline constexpr auto WatchPath = "/inner/v1/watch";

/// Requests the changes of a kind. The answer is delayed until there are some
/// or the wait ends.
struct WatchRequest {
  std::string Kind;
  std::uint64_t NewerThan = 0; ///< Revision that the requester has.
  Duration Wait{};             ///< Maximum time until the answer.
  std::vector<CachedObjectId> Cached{};
  bool AcceptsPacked = false;

  auto operator<=>(const WatchRequest &) const = default;
};

struct WatchAnswer {
  proxy::ObjectChanges Changes;
  Duration Age{}; ///< Since the store last answered the responder.
  /// If unavailable: the responder has not had any objects yet.
  bool Starting = false;
};

std::string encode(const SnapshotRequest &it);
std::string encode(const SnapshotAnswer &it, const PackSpec &pack = nullptr);
std::string encode(const WatchRequest &it);
std::string encode(const WatchAnswer &it, const PackSpec &pack = nullptr);
Result<SnapshotRequest> decodeSnapshotRequest(const std::string &bytes);
Result<SnapshotAnswer>
decodeSnapshotAnswer(const std::string &bytes,
                     const FindCachedSpec &findCached = nullptr);
Result<WatchRequest> decodeWatchRequest(const std::string &bytes);
Result<WatchAnswer>
decodeWatchAnswer(const std::string &bytes,
                  const FindCachedSpec &findCached = nullptr);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_SNAPSHOT_H
