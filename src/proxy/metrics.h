/// \file
/// Metrics of sessions and targets: a plain struct of handles.

#ifndef PERIDOTFALL_PROXY_METRICS_H
#define PERIDOTFALL_PROXY_METRICS_H

#include "peridotfall/clock.h"
#include "proxy/directory.h"
#include "proxy/statement.h"

#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace peridotfall::proxy {

enum class StatementOutcome : std::uint8_t {
  Served,
  TargetError, ///< The target's own refusal or failure, passed on.
  NotRun,
  Unknown,
};
inline constexpr std::size_t StatementOutcomes = 4;
inline constexpr std::size_t Guarantees = 3;

/// Values that are worked out when they are asked for.
struct ProxyGauges {
  std::size_t Sessions = 0;
  std::size_t ConnectionsOpen = 0;
  std::size_t ConnectionsIdle = 0;
  std::size_t Waiting = 0;
  std::size_t Members = 0;
  std::uint64_t Version = 0; ///< Of the configuration in force.
  bool HoldsDuty = false;
  std::size_t KindsLost = 0; ///< Kinds of the store that do not answer.
  std::uint64_t DroppedLines = 0;
};

/// All handles are set by makeProxyMetrics and live as long as Registry.
struct ProxyMetrics {
  using Counter = prometheus::Counter *;
  using Histogram = prometheus::Histogram *;
  using Family = prometheus::Family<prometheus::Counter> *;

  std::unique_ptr<prometheus::Registry> Registry;
  std::array<std::array<Counter, StatementOutcomes>, Guarantees> Statements{};
  std::array<Histogram, Guarantees> StatementSeconds{};
  Family Refusals = nullptr;
  Family Retries = nullptr;
  Counter ReplicaReads = nullptr;
  Counter PrimaryReads = nullptr;
  Histogram WaitSeconds = nullptr; ///< For a primary or a connection.
  Counter Promotions = nullptr;
  Counter RecordsLacked = nullptr;
  Family StoreAnswers = nullptr;
  prometheus::Family<prometheus::Gauge> *Now = nullptr;
};

ProxyMetrics makeProxyMetrics();

/// \param took since the caller's statement came.
void countStatement(ProxyMetrics &it, Guarantee route, StatementOutcome outcome,
                    Duration took);
void countRefusal(ProxyMetrics &it, const std::string &why, Duration waited);
void countRetry(ProxyMetrics &it, const std::string &why);
void countStoreAnswer(ProxyMetrics &it, const std::string &kind, bool answered);

/// \return the Prometheus text format, the counts of events included.
std::string writeText(ProxyMetrics &it, const ProxyGauges &now);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_METRICS_H
