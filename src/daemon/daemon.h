/// \file
/// The entry daemon: creates, connects, starts and stops its components.

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

  /// Starts listening and all components. \return errors; empty on success.
  Findings start();
  /// Graceful shutdown: /readyz fails at once, requests in flight finish.
  /// \param limit maximum wait. \return whether all finished in time.
  bool shutdown(std::chrono::milliseconds limit);

  std::uint16_t callerPort() const { return Callers->port(); }
  std::uint16_t innerPort() const { return Inner->port(); }
  /// \return the configuration revision in force; 0: none.
  std::uint64_t revision() const {
    auto it = Config.get();
    return it ? it->Revision : 0;
  }
  /// \return statistics since the start.
  Stats stats();

private:
  http::Response metricsText();
  /// Ends the entry's span and adds the traceparent to the response.
  void finishEntrySpan(telemetry::Span span, const StatementAnswer &answer,
                       http::Response &out);
  void serveCaller(http::Request request, const http::Respond &respond);
  void serveStatement(const http::Request &request,
                      const http::Respond &respond);
  void serveInner(const http::Request &request, const http::Respond &respond);
  http::Response readiness() const;

  const DaemonOptions Options;
  SystemClock Time;
  telemetry::Metrics Metrics = telemetry::makeMetrics();
  http::Loops Loops;
  std::shared_ptr<telemetry::Tracer> Traces;
  ConfigurationInForce Config;
  GroupViews Views;
  Targets Apis;
  Fleet Peers;
  std::shared_ptr<Owner> LocalOwner;
  std::shared_ptr<Router> StatementRouter;
  std::shared_ptr<platform::CallCounts> PlatformCalls;
  platform::Api PlatformApi;
  std::shared_ptr<FailoverDriver> Failover;
  std::shared_ptr<ConfigurationRelay> Relay;
  std::shared_ptr<PlatformSync> Sync;
  std::shared_ptr<http::Server> Callers;
  std::shared_ptr<http::Server> Inner;
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> InFlight{0};
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_DAEMON_H
