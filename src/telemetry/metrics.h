/// \file
/// Metrics of one daemon, and their text for `GET /metrics`.

#ifndef PERIDOTFALL_TELEMETRY_METRICS_H
#define PERIDOTFALL_TELEMETRY_METRICS_H

#include "peridotfall/clock.h"
#include "peridotfall/statement.h"
#include "peridotfall/stats.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace peridotfall::telemetry {

enum class PlatformCall : std::uint8_t { Get, Put, Watch, ListVms };
enum class Link : std::uint8_t { Callers, Inner };
enum class Direction : std::uint8_t { In, Out };

inline constexpr std::size_t OutcomeCount = 3;
inline constexpr std::size_t PlatformCallCount = 4;
inline constexpr std::size_t LinkCount = 2;

using Counter = prometheus::Counter *;
using Gauge = prometheus::Gauge *;
using Histogram = prometheus::Histogram *;

/// Handles of all metrics. Set by makeMetrics, valid as long as Registry, and
/// thread-safe.
struct Metrics {
  std::unique_ptr<prometheus::Registry> Registry;

  std::array<Counter, OutcomeCount> Requests{}; ///< Indexed by Outcome.
  Histogram RequestSeconds = nullptr;
  Gauge RequestsInFlight = nullptr;
  Histogram QueueSeconds = nullptr;
  prometheus::Family<prometheus::Counter> *Refusals = nullptr;
  Counter ReplicaReads = nullptr;
  Counter PrimaryReads = nullptr;
  Counter Confirmed = nullptr;
  Counter NotConfirmed = nullptr;
  Histogram ConfirmationSeconds = nullptr;
  Counter Failovers = nullptr;
  Histogram FailoverGapSeconds = nullptr;
  Gauge TargetsOwned = nullptr;
  std::array<Counter, PlatformCallCount> PlatformCalls{};
  std::array<Counter, PlatformCallCount> PlatformErrors{};
  std::array<std::array<Counter, 2>, LinkCount> BodyBytes{};
  Gauge Revision = nullptr;
  Gauge CallerConnections = nullptr;
};

Metrics makeMetrics();

/// Counts the final answer to a caller.
/// \param took time since the request arrived.
/// \param fromReplica whether a replica served the read; reads only.
void countAnswer(Metrics &it, const StatementRequest &request,
                 const StatementAnswer &answer, Duration took,
                 bool fromReplica);
void countBytes(Metrics &it, Link link, Direction direction, std::size_t n);
/// \param gap time during which no write was possible.
void countFailover(Metrics &it, Duration gap);

/// \return all metrics in the Prometheus text format, including the log's event
/// counts; violated invariants are counted by event number.
std::string writeText(const Metrics &it);
/// The same for any registry.
std::string writeText(const prometheus::Registry &registry);
Stats readStats(const Metrics &it);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_METRICS_H
