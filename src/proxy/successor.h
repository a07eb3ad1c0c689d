/// \file
/// Decides which replica of a group may replace its primary.

#ifndef PERIDOTFALL_PROXY_SUCCESSOR_H
#define PERIDOTFALL_PROXY_SUCCESSOR_H

#include "peridotfall/clock.h"
#include "proxy/directory.h"
#include "proxy/statement.h"

#include <chrono>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Longest wait for a replica that does not report its position. Without the
/// wait, a short pause of that replica loses acknowledged records that only it
/// has. Long enough for one lost packet and its retransmission.
inline constexpr milliseconds SilentReplicaTimeout{700};
/// Longest wait for a replica to receive all records of a leaving primary.
inline constexpr milliseconds CatchUpTimeout{2'500};
/// Longest wait for the return of a primary that may be the only one that still
/// has the last acknowledged commits. A primary that crashed returns within
/// seconds; one that was lost for good must not stop the group for good.
inline constexpr milliseconds PrimaryReturnTimeout{30'000};

} // namespace limits

/// A listed target other than the primary.
struct ReplicaReport {
  TargetName Name;
  bool Leaving = false;
  bool PromotionFailed = false;
  std::optional<TargetStatus> Status; ///< Empty until it has answered.

  auto operator<=>(const ReplicaReport &) const = default;
};

/// A group whose primary has failed or is leaving.
struct PrimaryChange {
  bool WaitsForReplica = false; ///< See GroupSettings.
  bool Planned = false;         ///< The primary is leaving.
  /// The leaving primary's own answer in the same round of queries as those of
  /// the replicas.
  std::optional<Position> PrimaryAt;
  std::optional<Position> LastHead; ///< Last known head of the primary's log.
  /// The same when a replica was last lost. That replica may have been the only
  /// one to acknowledge the commits before.
  std::optional<Position> HeadAtLoss;
  Duration Waited{}; ///< Since the first query.
  std::vector<ReplicaReport> Replicas;

  auto operator<=>(const PrimaryChange &) const = default;
};

enum class SuccessorStep : std::uint8_t {
  QueryMissing, ///< Query those that have not answered.
  QueryAll,     ///< Query all again: the answers may be out of date.
  NoneLeft,     ///< No replica can be promoted.
  Promote,
};

struct SuccessorDecision {
  SuccessorStep Step = SuccessorStep::QueryMissing;
  TargetName Target; ///< To be promoted.
  Position Received;
  std::uint64_t MissingRecords = 0; ///< Up to the last known head.

  auto operator<=>(const SuccessorDecision &) const = default;
};

/// A leaving replica receives records and counts toward the acknowledgement of
/// a commit until it ends. In a group that waits for replicas it may be the
/// only one that has all of them.
/// \return whether the target, which is not the primary, must be queried.
bool isCandidate(bool waitsForReplica, bool leaving);

/// Without acknowledgements by replicas, selects the replica that has received
/// most, after a limited wait; records that it lacks are lost. With them, waits
/// until a replica is known to have each acknowledged commit: it has what the
/// leaving primary has, or no listed replica has more. A replica that ends or
/// that is lost is no longer listed; what only it has acknowledged returns with
/// the primary, for which the wait is limited.
SuccessorDecision selectSuccessor(const PrimaryChange &change);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SUCCESSOR_H
