/// \file
/// Watches of the store between daemons, over the inner protocol.

#ifndef PERIDOTFALL_PROXY_WATCH_CALLS_H
#define PERIDOTFALL_PROXY_WATCH_CALLS_H

#include "http/message.h"
#include "proxy/metrics.h"
#include "proxy/relay.h"
#include "proxy/shared_watch.h"

namespace peridotfall::proxy {

/// All calls on the loop.
class WatchCalls final : public WatcherPort {
public:
  explicit WatchCalls(CallPort &calls) : Links(calls) {}

  void watch(const std::string &address, const messages::WatchRequest &request,
             milliseconds limit, OnWatchAnswer done) override;

private:
  CallPort &Links;
};

/// \return whether the path is of this protocol.
bool handleWatch(WatchHost &host, ProxyMetrics &counts,
                 const http::Request &request, const http::Respond &respond);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WATCH_CALLS_H
