/// \file
/// Confirmation of writes on one primary as a pure group commit: one round
/// serves all writes that committed before it began.

#ifndef PERIDOTFALL_FAILOVER_CONFIRMATION_H
#define PERIDOTFALL_FAILOVER_CONFIRMATION_H

#include "peridotfall/failover.h"

namespace peridotfall::failover {

using RoundHandle = Handle<struct RoundTag>;

/// Request to all replicas: answer as soon as the log contains the position and
/// its last record is of the position's term, or with the current status after
/// the wait. Each answer goes to onReplica.
struct QueryReplicas {
  RoundHandle Round;
  Position At;
  milliseconds Wait{};
  auto operator<=>(const QueryReplicas &) const = default;
};
/// Requests the primary's status. The answer goes to onPrimary.
struct QueryPrimary {
  RoundHandle Round;
  auto operator<=>(const QueryPrimary &) const = default;
};
/// Result of one confirmation.
struct ConfirmResult {
  TicketHandle Ticket;
  bool IsConfirmed = false;
  auto operator<=>(const ConfirmResult &) const = default;
};

using ConfirmAction = std::variant<QueryReplicas, QueryPrimary, ConfirmResult>;
using ConfirmActions = std::vector<ConfirmAction>;

struct ConfirmWaiter {
  TicketHandle Ticket;
  Position At;
  TimePoint Deadline;
};

struct ConfirmRound {
  RoundHandle Round;
  Position At; ///< Highest of its writes.
  std::vector<ConfirmWaiter> Waiters;
  std::vector<ConfirmWaiter> FoundOnReplica; ///< Found on a replica.
  /// Found on a replica before the pending query to the primary was sent.
  std::vector<ConfirmWaiter> AwaitingPrimary;
  std::size_t PendingReplicas = 0; ///< Replicas that have not answered.
};

struct ConfirmState {
  std::size_t Replicas = 2;
  /// Limits the calls to the replicas under many writes per second. A second
  /// concurrent round halves the wait of a write that just missed one; with
  /// more rounds, each would serve single writes again.
  std::size_t MaxRounds = 2;
  std::uint64_t LastHandle = 0;
  std::vector<ConfirmWaiter> Next; ///< Committed after the last round began.
  std::vector<ConfirmRound> Rounds;
};

/// Starts the confirmation of a write that committed, or of a read that was
/// served, at this position.
/// \param ticket receives the handle that identifies its ConfirmResult.
ConfirmActions onCommitted(ConfirmState &state, Position at, TimePoint deadline,
                           TimePoint now, TicketHandle &ticket);
/// \param report one replica's answer; empty if it gave none.
ConfirmActions onReplica(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now);
ConfirmActions onPrimary(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now);
/// Fails every confirmation whose deadline has passed.
ConfirmActions onConfirmTick(ConfirmState &state, TimePoint now);

/// Whether a replica with this report has the position's record, and all before
/// it, from the primary of that term.
bool isReplicated(const TargetReport &replica, Position at);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_CONFIRMATION_H
