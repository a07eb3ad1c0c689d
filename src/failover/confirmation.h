/// \file
/// Confirmation of writes on one primary, as a pure group commit: one round
/// serves all writes that committed before it began.

#ifndef PERIDOTFALL_FAILOVER_CONFIRMATION_H
#define PERIDOTFALL_FAILOVER_CONFIRMATION_H

#include "peridotfall/failover.h"

namespace peridotfall::failover {

using RoundHandle = Handle<struct RoundTag>;

/// To all replicas: answer once the log holds the position with a last record
/// of the term, or with the status when the wait is over. onReplica.
struct AskReplicas {
  RoundHandle Round;
  Position At;
  milliseconds Wait{};
  auto operator<=>(const AskReplicas &) const = default;
};
/// To the primary: its status. onPrimary.
struct AskPrimary {
  RoundHandle Round;
  auto operator<=>(const AskPrimary &) const = default;
};
/// The final answer to one who waits.
struct Confirmed {
  TicketHandle Ticket;
  bool Safe = false;
  auto operator<=>(const Confirmed &) const = default;
};

using ConfirmAction = std::variant<AskReplicas, AskPrimary, Confirmed>;
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
  std::vector<ConfirmWaiter> Held;  ///< On a replica.
  std::vector<ConfirmWaiter> Asked; ///< The same, and the primary is asked.
  std::size_t Unanswered = 0;       ///< Replicas.
};

struct ConfirmState {
  std::size_t Replicas = 2;
  /// The load: many writes a second at one primary. The harm prevented: a
  /// call on each replica for each write. One more round at once than in
  /// plain group commit halves the wait of a write that just missed one; with
  /// more, rounds would serve single writes again.
  std::size_t MostRounds = 2;
  std::uint64_t LastHandle = 0;
  std::vector<ConfirmWaiter> Next; ///< Committed after the last round began.
  std::vector<ConfirmRound> Rounds;
};

/// A write that committed, or a read that was served, at this position.
/// \param ticket receives its name in Confirmed.
ConfirmActions onCommitted(ConfirmState &state, Position at, TimePoint deadline,
                           TimePoint now, TicketHandle &ticket);
/// One replica's answer; nothing: it gave none.
ConfirmActions onReplica(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now);
ConfirmActions onPrimary(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now);
/// Gives up what is past its deadline.
ConfirmActions onConfirmTick(ConfirmState &state, TimePoint now);

/// Whether a replica that says this holds the position for good.
bool holds(const TargetReport &replica, Position at);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_CONFIRMATION_H
