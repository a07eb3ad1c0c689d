/// \file
/// Watches of the store through other daemons, over the inner protocol.

#ifndef PERIDOTFALL_PROXY_WATCH_CALLS_H
#define PERIDOTFALL_PROXY_WATCH_CALLS_H

#include "http/message.h"
#include "proxy/metrics.h"
#include "proxy/object_packer.h"
#include "proxy/relay.h"
#include "proxy/shared_watch.h"

#include <map>
#include <string>

namespace peridotfall::proxy {

/// All calls on the loop's thread.
class WatchCalls final : public WatcherPort {
public:
  explicit WatchCalls(CallPort &calls) : Links(calls) {}

  /// Large objects of the cache's kind are received as the difference from the
  /// cached version.
  /// \param cache must outlive this.
  void add(const ObjectCache &cache) { Caches[cache.kind()] = &cache; }

  void watch(const std::string &address, const messages::WatchRequest &request,
             milliseconds limit, OnWatchAnswer done) override;

private:
  CallPort &Links;
  std::map<std::string, const ObjectCache *> Caches;
};

/// Dependencies of handleWatch.
struct WatchService {
  WatchHost &Host;
  ObjectPacker &Packer;
  ProxyMetrics &Counts;
};

/// \param service its parts must outlive the answer.
/// \return whether the path belongs to this protocol.
bool handleWatch(const WatchService &service, const http::Request &request,
                 const http::Respond &respond);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WATCH_CALLS_H
