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
#include <vector>

namespace peridotfall::proxy {

enum class StatementOutcome : std::uint8_t {
  Served,
  TargetError, ///< The target's own refusal or failure, passed on.
  NotRun,
  Unknown,
};
inline constexpr std::size_t StatementOutcomes = 4;
inline constexpr std::size_t Guarantees = 3;

/// For what a statement waits before a target has it.
enum class WaitPlace : std::uint8_t {
  Primary,    ///< One that is known and reached.
  Replica,    ///< To catch up with what the read must see.
  Slot,       ///< Of a target that refused it for load.
  Connection, ///< Of its holder, for its own callers and other daemons'.
};
inline constexpr std::size_t WaitPlaces = 4;

/// The parts of a change of primary, as the daemon that decides it sees them.
enum class ChangePart : std::uint8_t {
  Notice,   ///< From the last sign of the old primary to the suspicion.
  Evidence, ///< Asking other daemons and the store.
  Choice,   ///< Asking the replicas what they have received.
  Call,     ///< On the platform.
  Lead,     ///< Until the new primary is known to lead.
};
inline constexpr std::size_t ChangeParts = 5;

enum class StoreCall : std::uint8_t { Read, Write };

/// Copies of the store's objects, on their way from or to another daemon, or
/// from the store.
enum class CopyFlow : std::uint8_t { Sent, Received };

/// How long ago the store last answered for a kind of objects.
struct StoreAge {
  std::string Kind;
  Duration Age{};

  auto operator<=>(const StoreAge &) const = default;
};

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
  std::vector<StoreAge> StoreAges;
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
  Histogram ReplicaReadAge = nullptr;
  Histogram RefusedWait = nullptr;
  std::array<Histogram, WaitPlaces> Waits{};
  Counter AnswersOk = nullptr;
  Family Answers = nullptr; ///< Others than success, by what they say.
  std::array<Histogram, ChangeParts> ChangeSeconds{};
  Counter Promotions = nullptr;
  Counter RecordsLacked = nullptr;
  Family StoreAnswers = nullptr;
  Family CopyBytes = nullptr;
  prometheus::Family<prometheus::Gauge> *Now = nullptr;
  prometheus::Family<prometheus::Gauge> *StoreAge = nullptr;
};

ProxyMetrics makeProxyMetrics();

/// \param took since the caller's statement came.
void countStatement(ProxyMetrics &it, Guarantee route, StatementOutcome outcome,
                    Duration took);
void countRefusal(ProxyMetrics &it, const std::string &why, Duration waited);
void countRetry(ProxyMetrics &it, const std::string &why);
void countWait(ProxyMetrics &it, WaitPlace place, Duration waited);
/// \param error of the target's answer; nothing: a success.
void countAnswer(ProxyMetrics &it, const std::optional<StatementError> &error);
/// A statement that a target was sent and did not answer.
void countNoAnswer(ProxyMetrics &it);
/// \param age bound on how old the replica's view was.
void countReplicaRead(ProxyMetrics &it, Duration age);
void countChangePart(ProxyMetrics &it, ChangePart part, Duration took);
void countStoreCall(ProxyMetrics &it, const std::string &kind, StoreCall call,
                    bool answered);
void countCopyBytes(ProxyMetrics &it, const std::string &kind, CopyFlow flow,
                    std::size_t bytes);

/// \return the Prometheus text format, the counts of events included.
std::string writeText(ProxyMetrics &it, const ProxyGauges &now);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_METRICS_H
