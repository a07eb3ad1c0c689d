/// \file
/// The entry daemon: all its parts, put together.

#ifndef PERIDOTFALL_DAEMON_DAEMON_H
#define PERIDOTFALL_DAEMON_DAEMON_H

#include "config/in_force.h"
#include "daemon/configuration_relay.h"
#include "daemon/failover_driver.h"
#include "daemon/fleet.h"
#include "daemon/options.h"
#include "daemon/owner.h"
#include "daemon/platform_sync.h"
#include "daemon/router.h"
#include "daemon/targets.h"
#include "daemon/views.h"
#include "http/loops.h"
#include "http/server.h"
#include "peridotfall/clock.h"
#include "peridotfall/stats.h"
#include "platform/guarded.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

#include <atomic>
#include <memory>

namespace peridotfall {

class Daemon {
public:
  explicit Daemon(DaemonOptions options, const DaemonTls &tls = {});
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Listens and begins to work. \return what is wrong, if anything.
  Findings start();
  /// Ends in order: not ready at once, requests in flight finish.
  /// \param limit longest wait. \return whether all finished in time.
  bool shutdown(std::chrono::milliseconds limit);

  std::uint16_t callerPort() const { return Callers->port(); }
  std::uint16_t innerPort() const { return Inner->port(); }
  /// \return the revision in force; 0: none.
  std::uint64_t revision() const {
    auto it = Config.get();
    return it ? it->Revision : 0;
  }
  /// What it has done so far.
  Stats stats();

private:
  http::Response metricsText();
  /// Ends the entry's span and tells the caller of its trace.
  void finish(telemetry::Span span, const StatementAnswer &answer,
              http::Response &out);
  void serveCaller(http::Request request, const http::Respond &respond);
  void serveStatement(const http::Request &request,
                      const http::Respond &respond);
  void serveInner(const http::Request &request, const http::Respond &respond);
  http::Response readiness() const;

  const DaemonOptions Options;
  SystemClock Time;
  telemetry::Metrics Counts = telemetry::makeMetrics();
  http::Loops Loops;
  std::shared_ptr<telemetry::Tracer> Traces;
  ConfigurationInForce Config;
  GroupViews Views;
  Targets Apis;
  Fleet Peers;
  std::shared_ptr<Owner> Local;
  std::shared_ptr<Router> Routes;
  std::shared_ptr<platform::CallCounts> PlatformCalls;
  platform::Api PlatformApi;
  std::shared_ptr<FailoverDriver> Failover;
  std::shared_ptr<ConfigurationRelay> Relay;
  std::shared_ptr<PlatformSync> Sync;
  std::shared_ptr<http::Server> Callers;
  std::shared_ptr<http::Server> Inner;
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> Serving{0};
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_DAEMON_H
