/// \file
/// Exchange of cached store objects between daemons, for a daemon that the
/// store rejects or that is cut off from it.

#ifndef PERIDOTFALL_PROXY_SNAPSHOT_EXCHANGE_H
#define PERIDOTFALL_PROXY_SNAPSHOT_EXCHANGE_H

#include "http/message.h"
#include "peridotfall/membership.h"
#include "proxy/metrics.h"
#include "proxy/object_cache.h"
#include "proxy/object_packer.h"
#include "proxy/relay.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Pause between two requests of a daemon without the store. A new version of
/// the configuration must be in force within seconds; one small request in half
/// a second costs the receiver a few dozen microseconds.
inline constexpr milliseconds SnapshotRequestPause{500};
inline constexpr milliseconds SnapshotTimeout{400};
/// Daemons of a failure domain that ask one of another domain in each round, on
/// average. With four, one in fifty rounds is without any. The others have the
/// copy from each other, so that the copies which cross a link between regions
/// do not grow with the daemons.
inline constexpr std::size_t AskersElsewhere = 4;

} // namespace limits

/// All calls on the loop's thread.
class SnapshotExchange {
public:
  SnapshotExchange(CallPort &calls, ObjectPacker &packer, ProxyMetrics &counts,
                   const Clock &clock, std::uint64_t seed)
      : Links(calls), Packer(packer), Counts(counts), Time(clock),
        Random(seed) {}

  /// \param cache must outlive this.
  void add(ObjectCache &cache) { Caches.push_back(&cache); }
  void updateMembers(const VmName &self, const DomainName &domain,
                     const std::vector<Member> &live);
  void tick();
  /// \return whether the path belongs to this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);

private:
  void requestSnapshot(ObjectCache &cache);
  const std::string &chooseAddress();

  CallPort &Links;
  ObjectPacker &Packer;
  ProxyMetrics &Counts;
  const Clock &Time;
  std::mt19937_64 Random;
  std::vector<ObjectCache *> Caches;
  std::set<std::string> Pending; ///< Kinds with a pending request.
  std::vector<std::string> Near; ///< Daemons of this failure domain.
  std::vector<std::string> Elsewhere;
  TimePoint NextRequest{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SNAPSHOT_EXCHANGE_H
