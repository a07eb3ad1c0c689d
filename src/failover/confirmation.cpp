#include "failover/confirmation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotfall::failover {

namespace {

using Waiters = std::vector<ConfirmWaiter>;

void answer(const Waiters &waiters, bool safe, ConfirmActions &out) {
  for (const auto &it : waiters)
    out.push_back(Confirmed{it.Ticket, safe});
}

/// Moves out those for which the condition is true.
template <class Condition> Waiters take(Waiters &from, Condition condition) {
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

/// The load: many writes a second at one primary. The harm prevented: a call
/// on the replicas for each of them. All that have committed go into one
/// round, so the calls grow with the round trips and not with the writes.
void beginRound(ConfirmState &state, TimePoint now, ConfirmActions &out) {
  if (state.Next.empty() || state.Rounds.size() >= state.MostRounds)
    return;
  ConfirmRound it;
  it.Round = {++state.LastHandle};
  it.Waiters = std::exchange(state.Next, {});
  it.Unanswered = state.Replicas;
  TimePoint last = now;
  for (const auto &n : it.Waiters) {
    it.At = std::max(it.At, n.At);
    last = std::max(last, n.Deadline);
  }
  // One of an older term than another's here was committed by a primary that
  // has been replaced since; it can never be confirmed.
  auto term = it.At.InTerm;
  answer(take(it.Waiters,
              [&](const ConfirmWaiter &n) { return n.At.InTerm < term; }),
         false, out);
  constexpr milliseconds Least{1};
  auto wait = std::chrono::ceil<milliseconds>(last - now);
  out.push_back(AskReplicas{it.Round, it.At, std::max(wait, Least)});
  state.Rounds.push_back(std::move(it));
}

/// Whoever is found held after the primary was asked needs an answer of its
/// own: only one asked afterwards counts.
void askPrimary(ConfirmRound &it, ConfirmActions &out) {
  if (it.Held.empty() || !it.Asked.empty())
    return;
  it.Asked = std::exchange(it.Held, {});
  out.push_back(AskPrimary{it.Round});
}

/// Ends a round that can confirm nothing more.
void closeRounds(ConfirmState &state, TimePoint now, ConfirmActions &out) {
  for (auto &it : state.Rounds)
    if (it.Unanswered == 0)
      answer(std::exchange(it.Waiters, {}), false, out);
  std::erase_if(state.Rounds, [](const ConfirmRound &it) {
    return it.Waiters.empty() && it.Held.empty() && it.Asked.empty();
  });
  beginRound(state, now, out);
}

} // namespace

/// Failure: a replica was fenced into the term with a tail of an older one.
/// Symptom: it has the length of the log and not the content, and an
/// acknowledged write is on one target only. Positions compare by the term of
/// the last record first; one of this term was copied from its primary, and
/// so was all before it.
bool holds(const TargetReport &replica, Position at) {
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
  if (it->Unanswered > 0)
    --it->Unanswered;
  auto held = take(it->Waiters, [&](const ConfirmWaiter &n) {
    return report && holds(*report, n.At);
  });
  it->Held.insert(it->Held.end(), held.begin(), held.end());
  askPrimary(*it, out);
  closeRounds(state, now, out);
  return out;
}

/// Failure: the primary was cut off and a majority accepted a higher term
/// while the replica's answer travelled. Symptom: an acknowledgement by a
/// replaced primary. The replica's answer proves that the write is in every
/// later term; the primary's, asked afterwards, keeps a fenced one from
/// answering.
ConfirmActions onPrimary(ConfirmState &state, RoundHandle round,
                         const std::optional<TargetReport> &report,
                         TimePoint now) {
  ConfirmActions out;
  auto *it = findRound(state, round);
  if (!it)
    return out;
  bool leads =
      report && report->IsPrimary && report->CurrentTerm == it->At.InTerm;
  answer(std::exchange(it->Asked, {}), leads, out);
  askPrimary(*it, out);
  closeRounds(state, now, out);
  return out;
}

/// Failure: replicas and primary are silent. Symptom: a caller is held until
/// the transport gives up, long after its limit. It is told at once that the
/// outcome is unknown.
ConfirmActions onConfirmTick(ConfirmState &state, TimePoint now) {
  ConfirmActions out;
  auto late = [&](const ConfirmWaiter &it) { return it.Deadline <= now; };
  answer(take(state.Next, late), false, out);
  for (auto &it : state.Rounds) {
    answer(take(it.Waiters, late), false, out);
    answer(take(it.Held, late), false, out);
    answer(take(it.Asked, late), false, out);
  }
  closeRounds(state, now, out);
  return out;
}

} // namespace peridotfall::failover
