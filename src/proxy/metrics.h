/// \file
/// Metrics of sessions, targets, failover and the store.

#ifndef PERIDOTFALL_PROXY_METRICS_H
#define PERIDOTFALL_PROXY_METRICS_H

#include "peridotfall/clock.h"
#include "proxy/directory.h"
#include "proxy/statement.h"
#include "proxy/wait_queue.h"

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
  TargetError, ///< An error of the target, passed on to the caller.
  NotRun,
  Unknown,
};
inline constexpr std::size_t StatementOutcomes = 4;
inline constexpr std::size_t Guarantees = 3;

/// What a statement waits for before it is sent to a target.
enum class WaitReason : std::uint8_t {
  Primary,    ///< A primary that is known and reachable.
  Replica,    ///< A replica that has caught up with what the read must see.
  Slot,       ///< A free slot, after the target refused because of load.
  Connection, ///< A connection of the holder, for any daemon's callers.
};
inline constexpr std::size_t WaitReasons = 4;

/// The parts of a change of primary, as measured by the failover leader.
enum class ChangePart : std::uint8_t {
  Detection,    ///< From the loss of the old primary to the suspicion.
  Confirmation, ///< Querying other daemons and the store.
  Selection,    ///< Querying the replicas for their positions.
  Promotion,    ///< The platform's promotion call.
  Takeover,     ///< Until the new primary is known to lead.
  Hold,         ///< Until the other daemons hold the group's writes.
};
inline constexpr std::size_t ChangeParts = 6;

enum class StoreCall : std::uint8_t { Read, Write };

/// Direction of a snapshot of the store's objects. Snapshots are sent to other
/// daemons, and received from them or from the store.
enum class SnapshotFlow : std::uint8_t { Sent, Received };

/// What happened to a connection to another daemon.
enum class ChannelEvent : std::uint8_t {
  Opened,
  ClosedIdle, ///< It was not used for long.
  Dropped,    ///< The other daemon did not answer in time.
};

/// Time since the store last answered for a kind of objects.
struct StoreAge {
  std::string Kind;
  Duration Age{};

  auto operator<=>(const StoreAge &) const = default;
};

/// Present values, collected for each scrape.
struct ProxyGauges {
  std::size_t Sessions = 0;
  std::size_t ConnectionsOpen = 0;
  std::size_t ConnectionsIdle = 0;
  std::size_t Waiting = 0;
  std::size_t WaitingOfOneAccount = 0; ///< At one target, the most.
  std::size_t DaemonConnections = 0;   ///< To other daemons.
  std::size_t GroupsInUse = 0;
  std::size_t Members = 0;
  std::uint64_t Version = 0; ///< Of the current configuration.
  bool IsFailoverLeader = false;
  /// Kinds of objects for which the store does not answer.
  std::size_t KindsUnavailable = 0;
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
  Counter HedgesSent = nullptr;
  Counter HedgesUsed = nullptr; ///< Second copies that answered first.
  Histogram ReplicaReadAge = nullptr;
  Histogram RefusedWait = nullptr;
  std::array<Histogram, WaitReasons> Waits{};
  std::array<Counter, QueueRefusals> RefusedByQueue{};
  Counter AnswersOk = nullptr;
  Family Answers = nullptr; ///< Errors, by kind.
  std::array<Histogram, ChangeParts> ChangeSeconds{};
  Counter Promotions = nullptr;
  Counter RecordsMissing = nullptr;
  Family StoreCalls = nullptr;
  Family SnapshotBytes = nullptr;
  Family ChannelEvents = nullptr;
  prometheus::Family<prometheus::Gauge> *PresentValues = nullptr;
  prometheus::Family<prometheus::Gauge> *StoreAge = nullptr;
};

ProxyMetrics makeProxyMetrics();

/// \param took time since the caller's statement arrived.
void countStatement(ProxyMetrics &it, Guarantee route, StatementOutcome outcome,
                    Duration took);
void countRefusal(ProxyMetrics &it, const std::string &why, Duration waited);
void countRetry(ProxyMetrics &it, const std::string &why);
void countWait(ProxyMetrics &it, WaitReason place, Duration waited);
void countQueueRefusal(ProxyMetrics &it, QueueRefusal why);
/// \param error of the target's answer; empty for a success.
void countAnswer(ProxyMetrics &it, const std::optional<StatementError> &error);
/// Counts a statement that was sent to a target and not answered.
void countNoAnswer(ProxyMetrics &it);
/// \param age upper bound on the age of the replica's view.
void countReplicaRead(ProxyMetrics &it, Duration age);
void countChangePart(ProxyMetrics &it, ChangePart part, Duration took);
void countStoreCall(ProxyMetrics &it, const std::string &kind, StoreCall call,
                    bool answered);
void countSnapshotBytes(ProxyMetrics &it, const std::string &kind,
                        SnapshotFlow flow, std::size_t bytes);
void countChannelEvent(ProxyMetrics &it, ChannelEvent event);

/// \return the metrics in the Prometheus text format, with event counts.
std::string writeText(ProxyMetrics &it, const ProxyGauges &now);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_METRICS_H
