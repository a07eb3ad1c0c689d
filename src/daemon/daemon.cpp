#include "daemon/daemon.h"

#include "daemon/caller_api.h"
#include "daemon/status.h"
#include "http/status.h"
#include "messages/inner.h"
#include "platform/http_platform.h"
#include "target/http_target.h"
#include "telemetry/events.h"
#include "telemetry/platform_calls.h"
#include "telemetry/target_spans.h"

#include <thread>
#include <utility>

namespace peridotfall {

namespace {

using telemetry::Direction;
using telemetry::Event;
using telemetry::field;
using telemetry::Link;

constexpr auto MetricsPath = "/metrics";

std::uint64_t startTime() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

Member selfMember(const DaemonOptions &options) {
  auto it = options.Self;
  it.Incarnation = startTime();
  return it;
}

platform::GuardOptions guardOptions(const Member &self) {
  platform::GuardOptions it;
  it.Seed = self.Incarnation;
  return it;
}

/// Applies the kind's deadline to a request that has no deadline header.
void useKindDeadline(const Configuration *config, const http::Request &request,
                     StatementRequest &out) {
  const auto *database = config ? findDatabase(*config, out.Database) : nullptr;
  const auto *kind = database ? findKind(*database, out.Kind) : nullptr;
  if (kind && kind->Deadline.count() > 0 &&
      http::findHeader(request.Fields, DeadlineHeader).empty())
    out.Budget = kind->Deadline;
}

} // namespace

Daemon::Daemon(DaemonOptions options, const DaemonTls &tls)
    : Options(std::move(options)), Loops(Options.Threads),
      Traces(std::make_shared<telemetry::Tracer>(
          Loops.at(0),
          telemetry::TraceOptions{.Collector = Options.Collector,
                                  .Vm = Options.Self.Vm,
                                  .SampleOneIn = Options.TraceOneIn})),
      Apis([this](const std::string &address) {
        return telemetry::traceStatements(
            target::makeHttpTarget(Loops.next(), address), Traces);
      }),
      Peers(Loops, selfMember(Options), {.Tls = tls.InnerClient}),
      LocalOwner(
          std::make_shared<Owner>(Time, Options.Self.Vm, Config, Apis, Views)),
      StatementRouter(std::make_shared<Router>(Loops, Time, Config, Peers,
                                               Views, *LocalOwner)),
      PlatformCalls(std::make_shared<platform::CallCounts>()),
      PlatformApi(platform::makeGuarded(
          telemetry::countCalls(platform::makeHttpPlatform(
                                    Loops.at(0), {.Address = Options.Platform}),
                                Metrics),
          Loops.at(0), Time, guardOptions(Peers.self()), PlatformCalls)),
      Failover(std::make_shared<FailoverDriver>(
          Loops.at(0), Time, Config, Peers, Apis, Views, PlatformApi,
          failover::timingsFor(Options.ProbeInterval))),
      Relay(std::make_shared<ConfigurationRelay>(Loops.at(0), Time, Config,
                                                 Peers, Options.Peers)),
      Sync(std::make_shared<PlatformSync>(Loops.at(0), Time, PlatformApi, Relay,
                                          Peers)) {
  http::ServerOptions callers;
  callers.Address = Options.ListenCallers;
  callers.Tls = tls.Callers;
  Callers = std::make_shared<http::Server>(
      Loops, callers, [this](http::Request request, http::Respond respond) {
        serveCaller(std::move(request), respond);
      });
  http::ServerOptions inner;
  inner.Address = Options.ListenInner;
  inner.Tls = tls.InnerServer;
  inner.MaxStreams = limits::MaxInnerStreams;
  inner.MaxBody = limits::MaxAnswerBody;
  Inner = std::make_shared<http::Server>(
      Loops, inner,
      [this](const http::Request &request, const http::Respond &respond) {
        serveInner(request, respond);
      });
}

Daemon::~Daemon() { Loops.stop(); }

Findings Daemon::start() {
  Findings findings;
  if (auto ec = Callers->start())
    findings.push_back({"--listen", "a free address", ec.message()});
  if (auto ec = Inner->start())
    findings.push_back({"--listen_inner", "a free address", ec.message()});
  if (!findings.empty())
    return findings;
  Peers.setListenPort(innerPort());
  Relay->start();
  Traces->start();
  Sync->start();
  Failover->start([this] {
    LocalOwner->expireConfirmations();
    LocalOwner->runMaintenance([this](const TargetConfig &it) {
      auto config = Config.get();
      auto ranked = Peers.membersByRank(*config, it);
      return ranked.empty() || ranked.front().Vm == Peers.self().Vm;
    });
  });
  telemetry::log(Event::Started,
                 {field("vm", Options.Self.Vm.Value),
                  field("callers", callerPort()), field("inner", innerPort())});
  return {};
}

bool Daemon::shutdown(std::chrono::milliseconds limit) {
  constexpr std::chrono::milliseconds Step{10};
  telemetry::log(Event::Stopping, {field("limit_ms", limit.count())});
  Draining = true;
  Relay->leave();
  Callers->drain();
  auto end = Time.now() + limit;
  while ((InFlight > 0 || LocalOwner->inFlight() > 0) && Time.now() < end)
    std::this_thread::sleep_for(Step);
  bool finished = InFlight == 0 && LocalOwner->inFlight() == 0;
  Failover->stop();
  Sync->stop();
  Relay->stop();
  Traces->stop();
  Inner->drain();
  Callers->stop();
  Inner->stop();
  Peers.close();
  telemetry::log(Event::Stopped, {field("finished", finished)});
  return finished;
}

http::Response Daemon::readiness() const {
  if (Draining)
    return {http::StatusUnavailable, {}, "shutting down\n"};
  if (!Config.get())
    return {http::StatusUnavailable,
            {},
            "no configuration in force yet; platform: " + Sync->lastAnswer() +
                "; " + Relay->lastPeerResult() + "\n"};
  return {http::StatusOk, {}, "ready\n"};
}

Stats Daemon::stats() {
  auto config = Config.get();
  Metrics.Revision->Set(config ? static_cast<double>(config->Revision) : 0);
  Metrics.CallerConnections->Set(static_cast<double>(Callers->connections()));
  Metrics.RequestsInFlight->Set(static_cast<double>(InFlight.load()));
  return telemetry::readStats(Metrics);
}

void Daemon::finishEntrySpan(telemetry::Span span,
                             const StatementAnswer &answer,
                             http::Response &out) {
  if (!span.traceparent().empty())
    out.Fields.push_back({"traceparent", span.traceparent()});
  span.Attributes = {{"peridotfall.outcome", toString(answer.Effect)},
                     {"peridotfall.code", toString(answer.Code)},
                     {"peridotfall.served_by", answer.ServedBy.Value}};
  Traces->finishSpan(std::move(span));
}

http::Response Daemon::metricsText() {
  stats();
  return {http::StatusOk,
          {{"content-type", "text/plain; version=0.0.4"}},
          telemetry::writeText(Metrics)};
}

void Daemon::serveCaller(http::Request request, const http::Respond &respond) {
  if (request.Path == "/healthz")
    respond({http::StatusOk, {}, "ok\n"});
  else if (request.Path == "/readyz")
    respond(readiness());
  else if (request.Path == MetricsPath)
    respond(metricsText());
  else
    serveStatement(request, respond);
}

void Daemon::serveStatement(const http::Request &request,
                            const http::Respond &respond) {
  auto config = Config.get();
  auto parsed = parseCallerRequest(request, config.get(), Options.Keys);
  if (!parsed) {
    respond(makeResponse(parsed.error()));
    return;
  }
  useKindDeadline(config.get(), request, parsed.value().Statement);
  ++InFlight;
  telemetry::countBytes(Metrics, Link::Callers, Direction::In,
                        request.Body.size());
  const auto &in = parsed.value();
  auto entry = in.Session.Databases.find(in.Statement.Database);
  RoutedRequest routed{in.Statement,
                       entry == in.Session.Databases.end() ? SessionEntry{}
                                                           : entry->second,
                       request.Cancelled};
  auto span =
      Traces->startSpan(telemetry::Hop::Entry, in.Statement.Traceparent);
  routed.Request.Traceparent = span.traceparent();
  StatementRouter->route(
      std::move(routed), [this, in, respond, span = std::move(span),
                          begun = Time.now()](const StatementAnswer &answer) {
        auto view = Views.get(in.Statement.Database);
        telemetry::countAnswer(Metrics, in.Statement, answer,
                               Time.now() - begun,
                               answer.ServedBy != view.Primary);
        auto out = makeResponse(in, answer, Options.Keys);
        telemetry::countBytes(Metrics, Link::Callers, Direction::Out,
                              out.Body.size());
        finishEntrySpan(span, answer, out);
        respond(std::move(out));
        --InFlight;
      });
}

void Daemon::serveInner(const http::Request &request,
                        const http::Respond &respond) {
  if (Relay->serve(request, respond))
    return;
  if (request.Path == messages::PeerPath) {
    auto config = Config.get();
    messages::PeerInfo info{Peers.self(), config ? config->Revision : 0};
    info.Self.Leaving = Draining;
    respond({http::StatusOk, {}, messages::encode(info)});
    return;
  }
  if (request.Path == messages::GroupViewPath) {
    auto body = Failover->answerView(request.Body);
    respond(
        {body ? http::StatusOk : http::StatusNotFound, {}, body.value_or("")});
    return;
  }
  if (request.Path == MetricsPath) {
    respond(metricsText());
    return;
  }
  if (request.Path == StatusPath) {
    respond(statusResponse(
        {Config.get(), Peers, Views, *PlatformCalls, Time.now(), Draining}));
    return;
  }
  if (request.Path != messages::StatementPath) {
    respond({http::StatusNotFound, {}, ""});
    return;
  }
  auto decoded = messages::decodeStatementRequest(request.Body);
  if (!decoded) {
    respond({http::StatusBadRequest, {}, ""});
    return;
  }
  telemetry::countBytes(Metrics, Link::Inner, Direction::In,
                        request.Body.size());
  auto span =
      Traces->startSpan(telemetry::Hop::Inner, decoded.value().Traceparent);
  decoded.value().Traceparent = span.traceparent();
  LocalOwner->execute(
      std::move(decoded.value()), request.Cancelled,
      [this, respond, span = std::move(span)](const StatementAnswer &answer) {
        Traces->finishSpan(span);
        auto body = messages::encode(answer);
        telemetry::countBytes(Metrics, Link::Inner, Direction::Out,
                              body.size());
        respond({http::StatusOk, {}, std::move(body)});
      });
}

} // namespace peridotfall
