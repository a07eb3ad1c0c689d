#include "telemetry/metrics.h"

#include "base/durations.h"
#include "telemetry/events.h"

#include <prometheus/text_serializer.h>
#include <sstream>

namespace peridotfall::telemetry {

namespace {

constexpr int FirstInvariantNumber = 9'000;

constexpr std::array<Outcome, OutcomeCount> Outcomes{
    Outcome::Done, Outcome::NotRun, Outcome::Unknown};
constexpr std::array<const char *, PlatformCallCount> CallNames{
    "get", "put", "watch", "list-vms"};
constexpr std::array<const char *, LinkCount> LinkNames{"callers", "inner"};

/// Seconds, from below the fastest request to the longest caller deadline.
prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
          0.25,   0.5,   1,      2.5,   5,    10,    60};
}

/// Seconds, around the 6 s within which a change of primary must be complete.
prometheus::Histogram::BucketBoundaries gapBuckets() {
  return {0.25, 0.5, 1, 2, 3, 4, 5, 6, 8, 10, 15, 30, 60, 300};
}

auto &counters(prometheus::Registry &it, const char *name, const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(it);
}

auto &gauge(prometheus::Registry &it, const char *name, const char *help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(it).Add({});
}

auto &histogram(prometheus::Registry &it, const char *name, const char *help,
                const prometheus::Histogram::BucketBoundaries &buckets) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(it).Add(
      {}, buckets);
}

void addRequests(Metrics &it, prometheus::Registry &to) {
  auto &requests = counters(to, "peridotfall_requests_total",
                            "Requests of callers answered, by outcome.");
  for (auto outcome : Outcomes)
    it.Requests[static_cast<std::size_t>(outcome)] =
        &requests.Add({{"outcome", toString(outcome)}});
  it.RequestSeconds = &histogram(to, "peridotfall_request_duration_seconds",
                                 "Time from a request's arrival to its answer.",
                                 latencyBuckets());
  it.RequestsInFlight = &gauge(to, "peridotfall_requests_in_flight",
                               "Requests of callers not yet answered.");
  it.QueueSeconds =
      &histogram(to, "peridotfall_queue_wait_seconds",
                 "Time a statement waited for a connection of its target.",
                 latencyBuckets());
  it.Refusals = &counters(to, "peridotfall_refusals_total",
                          "Requests not run or of unknown outcome, by reason.");
  auto &reads = counters(to, "peridotfall_reads_total",
                         "Reads that ran, by the target's role.");
  it.ReplicaReads = &reads.Add({{"served_by", "replica"}});
  it.PrimaryReads = &reads.Add({{"served_by", "primary"}});
  it.CallerConnections =
      &gauge(to, "peridotfall_caller_connections", "Open caller connections.");
}

void addGroups(Metrics &it, prometheus::Registry &to) {
  auto &confirmations =
      counters(to, "peridotfall_confirmations_total",
               "Writes by whether a replica held them in time.");
  it.Confirmed = &confirmations.Add({{"result", "confirmed"}});
  it.NotConfirmed = &confirmations.Add({{"result", "not-confirmed"}});
  it.ConfirmationSeconds =
      &histogram(to, "peridotfall_confirmation_duration_seconds",
                 "Time from a commit to its confirmation.", latencyBuckets());
  it.Failovers = &counters(to, "peridotfall_failovers_total",
                           "Changes of primary that this daemon carried out.")
                      .Add({});
  it.FailoverGapSeconds =
      &histogram(to, "peridotfall_failover_gap_seconds",
                 "Time without a primary that takes writes.", gapBuckets());
  it.TargetsOwned = &gauge(to, "peridotfall_targets_owned",
                           "Targets whose connections this daemon holds.");
}

void addPlatform(Metrics &it, prometheus::Registry &to) {
  auto &calls = counters(to, "peridotfall_platform_calls_total",
                         "Calls on the platform's API, by kind.");
  auto &errors =
      counters(to, "peridotfall_platform_errors_total",
               "Calls on the platform that failed or whose answer was lost.");
  for (std::size_t n = 0; n < PlatformCallCount; ++n) {
    it.PlatformCalls[n] = &calls.Add({{"call", CallNames[n]}});
    it.PlatformErrors[n] = &errors.Add({{"call", CallNames[n]}});
  }
  auto &bytes = counters(to, "peridotfall_body_bytes_total",
                         "Bytes of requests' and answers' bodies, by link.");
  for (std::size_t n = 0; n < LinkCount; ++n) {
    it.BodyBytes[n][0] =
        &bytes.Add({{"link", LinkNames[n]}, {"direction", "in"}});
    it.BodyBytes[n][1] =
        &bytes.Add({{"link", LinkNames[n]}, {"direction", "out"}});
  }
  it.Revision = &gauge(to, "peridotfall_configuration_revision",
                       "Revision of the configuration in force.");
}

/// Adds the event counters, which the log keeps itself so that suppressed lines
/// are counted as well.
void addEvents(std::vector<prometheus::MetricFamily> &out) {
  prometheus::MetricFamily events;
  events.name = "peridotfall_events_total";
  events.help = "Logged events by number, also those below the log's level.";
  events.type = prometheus::MetricType::Counter;
  prometheus::MetricFamily broken = events;
  broken.name = "peridotfall_invariant_violations_total";
  broken.help = "Broken invariants by number; any is a fault of the program.";
  for (const auto &it : allEvents()) {
    prometheus::ClientMetric metric;
    metric.label = {{"event", fmt::format("PF{}", it.Number)}};
    metric.counter.value = static_cast<double>(countOf(it));
    (it.Number >= FirstInvariantNumber ? broken : events)
        .metric.push_back(std::move(metric));
  }
  out.push_back(std::move(events));
  out.push_back(std::move(broken));
}

std::uint64_t valueOf(Counter it) {
  return static_cast<std::uint64_t>(it->Value());
}

} // namespace

Metrics makeMetrics() {
  Metrics it;
  it.Registry = std::make_unique<prometheus::Registry>();
  addRequests(it, *it.Registry);
  addGroups(it, *it.Registry);
  addPlatform(it, *it.Registry);
  return it;
}

void countAnswer(Metrics &it, const StatementRequest &request,
                 const StatementAnswer &answer, Duration took,
                 bool fromReplica) {
  it.Requests[static_cast<std::size_t>(answer.Effect)]->Increment();
  it.RequestSeconds->Observe(secondsOf(took));
  if (answer.Effect != Outcome::Done)
    it.Refusals->Add({{"reason", toString(answer.Code)}}).Increment();
  bool write = request.Mode == Access::Write;
  if (write && answer.Code == AnswerCode::NotConfirmed)
    it.NotConfirmed->Increment();
  if (answer.Effect != Outcome::Done || request.What != Verb::Statement ||
      !request.Transaction.empty())
    return;
  if (write)
    it.Confirmed->Increment();
  else
    (fromReplica ? it.ReplicaReads : it.PrimaryReads)->Increment();
}

void countBytes(Metrics &it, Link link, Direction direction, std::size_t n) {
  it.BodyBytes[static_cast<std::size_t>(link)]
              [static_cast<std::size_t>(direction)]
                  ->Increment(static_cast<double>(n));
}

void countFailover(Metrics &it, Duration gap) {
  it.Failovers->Increment();
  it.FailoverGapSeconds->Observe(secondsOf(gap));
}

std::string writeText(const Metrics &it) { return writeText(*it.Registry); }

std::string writeText(const prometheus::Registry &registry) {
  auto families = registry.Collect();
  addEvents(families);
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, families);
  return out.str();
}

Stats readStats(const Metrics &it) {
  Stats out;
  out.Done = valueOf(it.Requests[static_cast<std::size_t>(Outcome::Done)]);
  out.NotRun = valueOf(it.Requests[static_cast<std::size_t>(Outcome::NotRun)]);
  out.Unknown =
      valueOf(it.Requests[static_cast<std::size_t>(Outcome::Unknown)]);
  out.ReadsByReplica = valueOf(it.ReplicaReads);
  out.ReadsByPrimary = valueOf(it.PrimaryReads);
  out.Confirmed = valueOf(it.Confirmed);
  out.NotConfirmed = valueOf(it.NotConfirmed);
  out.Failovers = valueOf(it.Failovers);
  for (auto call : it.PlatformCalls)
    out.PlatformCalls += valueOf(call);
  for (const auto &event : allEvents())
    if (event.Number >= FirstInvariantNumber)
      out.InvariantViolations += countOf(event);
  out.Revision = static_cast<std::uint64_t>(it.Revision->Value());
  return out;
}

} // namespace peridotfall::telemetry
