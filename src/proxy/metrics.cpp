#include "proxy/metrics.h"

#include "base/durations.h"
#include "telemetry/metrics.h"

namespace peridotfall::proxy {

namespace {

constexpr std::array<const char *, Guarantees> RouteNames{
    "primary", "bounded_staleness", "read_your_writes"};
constexpr std::array<const char *, StatementOutcomes> OutcomeNames{
    "served", "target_error", "not_run", "unknown"};

constexpr std::array<const char *, WaitReasons> WaitReasonNames{
    "primary", "replica", "slot", "connection"};
constexpr std::array<const char *, QueueRefusals> QueueRefusalNames{
    "expired", "too_long", "displaced"};
constexpr std::array<const char *, ChangeParts> ChangePartNames{
    "notice", "evidence", "choice", "call", "lead", "hold"};

/// In seconds, from a local read of a few milliseconds to the longest statement
/// limit. A change of primary is between 0.5 and 2.5.
prometheus::Histogram::BucketBoundaries buckets() {
  return {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
          0.3,   0.5,   0.8,  1.2,  2.5,  5.0};
}

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &to, const char *name, const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(to);
}

prometheus::Family<prometheus::Histogram> &
histograms(prometheus::Registry &to, const char *name, const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(to);
}

} // namespace

ProxyMetrics makeProxyMetrics() {
  ProxyMetrics it;
  it.Registry = std::make_unique<prometheus::Registry>();
  auto &to = *it.Registry;
  auto &statements =
      counters(to, "peridotfall_statements_total",
               "Callers' statements that a target was needed for, by the "
               "route's guarantee and outcome.");
  auto &seconds =
      histograms(to, "peridotfall_statement_duration_seconds",
                 "Time from a statement's arrival to its answer, by route.");
  for (std::size_t route = 0; route < Guarantees; ++route) {
    it.StatementSeconds[route] =
        &seconds.Add({{"route", RouteNames[route]}}, buckets());
    for (std::size_t n = 0; n < StatementOutcomes; ++n)
      it.Statements[route][n] = &statements.Add(
          {{"route", RouteNames[route]}, {"outcome", OutcomeNames[n]}});
  }
  it.Refusals =
      &counters(to, "peridotfall_refusals_total",
                "Statements given up on that did not run, by reason.");
  it.Retries =
      &counters(to, "peridotfall_retries_total",
                "Tries after the first, by why the one before failed.");
  auto &reads = counters(to, "peridotfall_reads_total",
                         "Reads that ran, by the target's role.");
  it.ReplicaReads = &reads.Add({{"served_by", "replica"}});
  it.PrimaryReads = &reads.Add({{"served_by", "primary"}});
  auto &hedges = counters(to, "peridotfall_hedged_reads_total",
                          "Second copies of reads that were sent, and those "
                          "whose answer was used.");
  it.HedgesSent = &hedges.Add({{"copy", "sent"}});
  it.HedgesUsed = &hedges.Add({{"copy", "used"}});
  it.ReplicaReadAge =
      &histograms(to, "peridotfall_replica_read_age_seconds",
                  "Bound on how old the view of a read at a replica was.")
           .Add({}, buckets());
  it.RefusedWait =
      &histograms(to, "peridotfall_refused_wait_seconds",
                  "Time that a statement had waited when it was refused.")
           .Add({}, buckets());
  auto &waits = histograms(to, "peridotfall_wait_seconds",
                           "Time that statements waited before a target had "
                           "them, by what they waited for.");
  for (std::size_t n = 0; n < WaitReasons; ++n)
    it.Waits[n] = &waits.Add({{"for", WaitReasonNames[n]}}, buckets());
  auto &byQueue = counters(to, "peridotfall_queue_refusals_total",
                           "Statements that the queue for a target's "
                           "connections here did not run, by reason.");
  for (std::size_t n = 0; n < QueueRefusals; ++n)
    it.RefusedByQueue[n] = &byQueue.Add({{"reason", QueueRefusalNames[n]}});
  it.Answers = &counters(to, "peridotfall_target_answers_total",
                         "Answers of targets to statements, by what they say; "
                         "none: the connection was lost or silent.");
  it.AnswersOk = &it.Answers->Add({{"answer", "ok"}});
  auto &parts = histograms(to, "peridotfall_primary_change_seconds",
                           "Parts of the changes of primary that this daemon "
                           "decided.");
  for (std::size_t n = 0; n < ChangeParts; ++n)
    it.ChangeSeconds[n] = &parts.Add({{"part", ChangePartNames[n]}}, buckets());
  it.Promotions = &counters(to, "peridotfall_promotions_total",
                            "Promotions that this daemon decided.")
                       .Add({});
  it.RecordsMissing =
      &counters(to, "peridotfall_promotion_records_lacked_total",
                "Records of the last known head that promoted replicas had "
                "not received.")
           .Add({});
  it.StoreCalls = &counters(
      to, "peridotfall_store_calls_total",
      "Calls on the platform's store, by kind of objects and whether it "
      "answered.");
  it.SnapshotBytes = &counters(
      to, "peridotfall_copy_bytes_total",
      "Bytes of copies of the store's objects, by kind: sent to other daemons; "
      "received from them or from the store, given up on or not.");
  it.ChannelEvents = &counters(
      to, "peridotfall_daemon_connections_total",
      "Connections to other daemons: opened, closed as idle, dropped since the "
      "other daemon did not answer.");
  it.PresentValues = &prometheus::BuildGauge()
                          .Name("peridotfall_now")
                          .Help("Present values; the label says of what.")
                          .Register(to);
  it.StoreAge = &prometheus::BuildGauge()
                     .Name("peridotfall_store_answer_age_seconds")
                     .Help("Time since the store last answered, by kind.")
                     .Register(to);
  return it;
}

void countStatement(ProxyMetrics &it, Guarantee route, StatementOutcome outcome,
                    Duration took) {
  auto n = static_cast<std::size_t>(route);
  it.Statements[n][static_cast<std::size_t>(outcome)]->Increment();
  it.StatementSeconds[n]->Observe(secondsOf(took));
}

void countRefusal(ProxyMetrics &it, const std::string &why, Duration waited) {
  it.Refusals->Add({{"reason", why}}).Increment();
  it.RefusedWait->Observe(secondsOf(waited));
}

void countRetry(ProxyMetrics &it, const std::string &why) {
  it.Retries->Add({{"reason", why}}).Increment();
}

void countWait(ProxyMetrics &it, WaitReason place, Duration waited) {
  it.Waits[static_cast<std::size_t>(place)]->Observe(secondsOf(waited));
}

void countQueueRefusal(ProxyMetrics &it, QueueRefusal why) {
  it.RefusedByQueue[static_cast<std::size_t>(why)]->Increment();
}

void countAnswer(ProxyMetrics &it, const std::optional<StatementError> &error) {
  if (error)
    it.Answers->Add({{"answer", nameOf(error->Kind)}}).Increment();
  else
    it.AnswersOk->Increment();
}

void countNoAnswer(ProxyMetrics &it) {
  it.Answers->Add({{"answer", "none"}}).Increment();
}

void countReplicaRead(ProxyMetrics &it, Duration age) {
  it.ReplicaReads->Increment();
  it.ReplicaReadAge->Observe(secondsOf(age));
}

void countChangePart(ProxyMetrics &it, ChangePart part, Duration took) {
  it.ChangeSeconds[static_cast<std::size_t>(part)]->Observe(secondsOf(took));
}

void countStoreCall(ProxyMetrics &it, const std::string &kind, StoreCall call,
                    bool answered) {
  it.StoreCalls
      ->Add({{"kind", kind},
             {"call", call == StoreCall::Read ? "read" : "write"},
             {"answered", answered ? "yes" : "no"}})
      .Increment();
}

void countSnapshotBytes(ProxyMetrics &it, const std::string &kind,
                        SnapshotFlow flow, std::size_t bytes) {
  it.SnapshotBytes
      ->Add({{"kind", kind},
             {"flow", flow == SnapshotFlow::Sent ? "sent" : "received"}})
      .Increment(static_cast<double>(bytes));
}

void countChannelEvent(ProxyMetrics &it, ChannelEvent event) {
  const char *name = event == ChannelEvent::Opened       ? "opened"
                     : event == ChannelEvent::ClosedIdle ? "closed_idle"
                                                         : "dropped";
  it.ChannelEvents->Add({{"event", name}}).Increment();
}

std::string writeText(ProxyMetrics &it, const ProxyGauges &now) {
  auto set = [&](const char *what, double value) {
    it.PresentValues->Add({{"of", what}}).Set(value);
  };
  set("sessions", static_cast<double>(now.Sessions));
  set("target_connections_open", static_cast<double>(now.ConnectionsOpen));
  set("target_connections_idle", static_cast<double>(now.ConnectionsIdle));
  set("waiting_for_connection", static_cast<double>(now.Waiting));
  set("waiting_of_one_account", static_cast<double>(now.WaitingOfOneAccount));
  set("daemon_connections", static_cast<double>(now.DaemonConnections));
  set("groups_in_use", static_cast<double>(now.GroupsInUse));
  set("daemons_alive", static_cast<double>(now.Members));
  set("configuration_version", static_cast<double>(now.Version));
  set("holds_failover_duty", now.IsFailoverLeader ? 1 : 0);
  set("store_kinds_lost", static_cast<double>(now.KindsUnavailable));
  set("log_lines_dropped", static_cast<double>(now.DroppedLines));
  for (const auto &age : now.StoreAges)
    it.StoreAge->Add({{"kind", age.Kind}}).Set(secondsOf(age.Age));
  return telemetry::writeText(*it.Registry);
}

} // namespace peridotfall::proxy
