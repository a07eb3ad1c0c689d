#include "failover/confirmation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotfall::failover {

namespace {

using Waiters = std::vector<ConfirmWaiter>;

void answer(const Waiters &waiters, bool safe, ConfirmActions &out) {
  for (const auto &it : waiters)
    out.push_back(ConfirmResult{it.Ticket, safe});
}

/// Removes and returns those for which the condition is true.
template <class Condition>
Waiters extractIf(Waiters &from, Condition condition) {
  auto end = std::stable_partition(
      from.begin(), from.end(),
      [&](const ConfirmWaiter &it) { return !condition(it); });
  Waiters out(end, from.end());
  from.erase(end, from.end());
  return out;
}

ConfirmRound *findRound(ConfirmState &state, RoundHandle round) {
  auto it =
      std::find_if(state.Rounds.begin(), state.Rounds.end(),
                   [&](const ConfirmRound &n) { return n.Round == round; });
  return it == state.Rounds.end() ? nullptr : &*it;
}

/// All writes that have committed share one round, so that the number of calls
/// to the replicas grows with the round trips and not with the writes.
void beginRound(ConfirmState &state, TimePoint now, ConfirmActions &out) {
  if (state.Next.empty() || state.Rounds.size() >= state.MaxRounds)
    return;
  ConfirmRound it;
  it.Round = {++state.LastHandle};
  it.Waiters = std::exchange(state.Next, {});
  it.PendingReplicas = state.Replicas;
  TimePoint last = now;
  for (const auto &n : it.Waiters) {
    it.At = std::max(it.At, n.At);
    last = std::max(last, n.Deadline);
  }
  // A position of an older term than another in this round was committed by a
  // primary that has since been replaced; it can never be confirmed.
  auto term = it.At.InTerm;
  answer(extractIf(it.Waiters,
                   [&](const ConfirmWaiter &n) { return n.At.InTerm < term; }),
         false, out);
  constexpr milliseconds MinWait{1};
  auto wait = std::chrono::ceil<milliseconds>(last - now);
  out.push_back(QueryReplicas{it.Round, it.At, std::max(wait, MinWait)});
  state.Rounds.push_back(std::move(it));
}

/// A position found on a replica while a query to the primary is pending needs
/// another query: only one sent afterwards proves that the primary still leads.
void queryPrimary(ConfirmRound &it, ConfirmActions &out) {
  if (it.FoundOnReplica.empty() || !it.AwaitingPrimary.empty())
    return;
  it.AwaitingPrimary = std::exchange(it.FoundOnReplica, {});
  out.push_back(QueryPrimary{it.Round});
}

/// Ends rounds that cannot confirm anything more.
void closeRounds(ConfirmState &state, TimePoint now, ConfirmActions &out) {
  for (auto &it : state.Rounds)
    if (it.PendingReplicas == 0)
      answer(std::exchange(it.Waiters, {}), false, out);
  std::erase_if(state.Rounds, [](const ConfirmRound &it) {
    return it.Waiters.empty() && it.FoundOnReplica.empty() &&
           it.AwaitingPrimary.empty();
  });
  beginRound(state, now, out);
}

} // namespace

/// A replica that was fenced into the term may still have a tail of an older
/// term: its log has the length, but not the content. Counting it would
/// acknowledge a write that is on one target only. Positions compare by the
/// term of the last record first; a record of this term was copied from its
/// primary, and so was everything before it.
bool isReplicated(const TargetReport &replica, Position at) {
  return replica.CurrentTerm == at.InTerm && replica.Last >= at;
}

ConfirmActions onCommitted(ConfirmState &state, Position at, TimePoint deadline,
                           TimePoint now, TicketHandle &ticket) {
  ConfirmActions out;
  ticket = {++state.LastHandle};
  state.Next.push_back({ticket, at, deadline});
  beginRound(state, now, out);
  return out;
}

ConfirmActions onReplica(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now) {
  ConfirmActions out;
  auto *it = findRound(state, round);
  if (!it)
    return out;
  if (it->PendingReplicas > 0)
    --it->PendingReplicas;
  auto held = extractIf(it->Waiters, [&](const ConfirmWaiter &n) {
    return report && isReplicated(*report, n.At);
  });
  it->FoundOnReplica.insert(it->FoundOnReplica.end(), held.begin(), held.end());
  queryPrimary(*it, out);
  closeRounds(state, now, out);
  return out;
}

/// While the replica's answer is in transit, the primary may be cut off and a
/// majority may accept a higher term. The replica's answer proves that the
/// write is in every later term; the primary's status, requested afterwards,
/// prevents an acknowledgement by a replaced primary.
ConfirmActions onPrimary(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now) {
  ConfirmActions out;
  auto *it = findRound(state, round);
  if (!it)
    return out;
  bool leads =
      report && report->IsPrimary && report->CurrentTerm == it->At.InTerm;
  answer(std::exchange(it->AwaitingPrimary, {}), leads, out);
  queryPrimary(*it, out);
  closeRounds(state, now, out);
  return out;
}

/// If neither replicas nor primary answer, the transport times out long after
/// the caller's limit. At the deadline the caller is told that the outcome is
/// unknown.
ConfirmActions onConfirmTick(ConfirmState &state, TimePoint now) {
  ConfirmActions out;
  auto late = [&](const ConfirmWaiter &it) { return it.Deadline <= now; };
  answer(extractIf(state.Next, late), false, out);
  for (auto &it : state.Rounds) {
    answer(extractIf(it.Waiters, late), false, out);
    answer(extractIf(it.FoundOnReplica, late), false, out);
    answer(extractIf(it.AwaitingPrimary, late), false, out);
  }
  closeRounds(state, now, out);
  return out;
}

} // namespace peridotfall::failover
