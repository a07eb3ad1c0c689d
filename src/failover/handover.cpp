// Planned hand-over from a primary whose target is leaving.

#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Writes that the target had taken when the hold began end within this.
constexpr milliseconds Settle{50};
constexpr milliseconds FastProbe{20};
/// Between two tries within the limit of a leaving primary, and after it: a
/// group whose replicas all lag for long must not hold its writes for ever.
constexpr milliseconds RetryPause{200};
constexpr milliseconds RetryPauseLate{3'000};
/// After a try that a write of another owner has overtaken. Each uses up a
/// term, and other daemons learn meanwhile who owns the primary now.
constexpr milliseconds RetryOvertaken{700};

bool hasTerm(const GroupState &group, const WatchedTarget &replica) {
  return successorTerm(group, replica.Name, highestTerm(group)) != 0;
}

/// Whether the target could lead in the primary's place.
bool isCandidate(const GroupState &group, const WatchedTarget &it) {
  return it.Name != group.Primary && !it.Report.Leaving &&
         it.Report.CurrentTerm == group.InTerm;
}

bool isWithinLimit(const GroupState &group, const WatchedTarget &primary,
                   TimePoint now) {
  return primary.LeavingSince &&
         now - *primary.LeavingSince < group.Limits.LeavingLimit;
}

/// \return longest hold of a try. A second one within the limit is longer: the
/// first was too short for the links and replicas as they are.
milliseconds holdLimit(const GroupState &group, const WatchedTarget &primary,
                       TimePoint now) {
  bool first = now - *primary.LeavingSince < group.Limits.HandoverLimit;
  bool longer = !first && isWithinLimit(group, primary, now);
  return longer ? 2 * group.Limits.HandoverLimit : group.Limits.HandoverLimit;
}

/// \return one that has a term before others, and of these the furthest.
const WatchedTarget *pickReplica(const GroupState &group, TimePoint now) {
  const WatchedTarget *best = nullptr;
  auto keyOf = [&](const WatchedTarget &it) {
    return std::pair(hasTerm(group, it), it.Report.Last);
  };
  for (const auto &it : group.Targets)
    if (isCandidate(group, it) && answersNow(group, it, now) &&
        (!best || keyOf(it) > keyOf(*best)))
      best = &it;
  return best;
}

/// \return a replica that has all of the primary's log; null: none yet.
const WatchedTarget *findLevel(const GroupState &group,
                               const WatchedTarget &primary) {
  auto settled = group.Leaving->Began + Settle;
  auto answered = [&](const WatchedTarget &it) {
    return it.Answered && *it.Answered >= settled;
  };
  for (const auto &it : group.Targets)
    if (answered(primary) && answered(it) && isCandidate(group, it) &&
        it.Report.Last == primary.Report.Last && hasTerm(group, it))
      return &it;
  return nullptr;
}

void probeSoon(GroupState &group, TimePoint now) {
  for (auto &it : group.Targets)
    it.NextProbe = std::min(it.NextProbe, now + FastProbe);
}

/// \return whether a hand-over to the replica can begin. Why none can is told
/// once.
bool mayBegin(GroupState &group, const WatchedTarget *replica, Actions &out) {
  std::optional<HandoverEnd> why;
  if (!replica)
    why = HandoverEnd::NoReplica;
  else if (!hasTerm(group, *replica))
    why = HandoverEnd::NoTerm;
  if (std::exchange(group.HandoverBlocked, why) != why && why)
    out.push_back(HandoverFailed{group.Primary,
                                 replica ? replica->Name : TargetName(), *why});
  return !why;
}

} // namespace

std::string toString(HandoverEnd it) {
  switch (it) {
  case HandoverEnd::NoReplica:
    return "no replica";
  case HandoverEnd::NoTerm:
    return "no term";
  case HandoverEnd::ReplicaBehind:
    return "replica behind";
  case HandoverEnd::CampaignFailed:
    return "campaign failed";
  case HandoverEnd::Interrupted:
    return "interrupted";
  }
  return "";
}

void failHandover(GroupState &group, HandoverEnd why, TimePoint now,
                  Actions &out) {
  if (!group.Leaving)
    return;
  out.push_back(HandoverFailed{group.Leaving->From, group.Leaving->To, why});
  const auto *primary = findWatched(group, group.Leaving->From);
  bool soon = primary && isWithinLimit(group, *primary, now);
  endHandover(group, now, out);
  group.NextHandover =
      now + (why == HandoverEnd::CampaignFailed ? RetryOvertaken
             : soon                             ? RetryPause
                                                : RetryPauseLate);
}

void endHandover(GroupState &group, TimePoint now, Actions &out) {
  if (!group.Leaving)
    return;
  group.Leaving.reset();
  out.push_back(HoldWrites{now});
}

/// Failure: a leaving primary is fenced while its last writes are on no
/// replica. Symptom: their callers get "unknown", though nothing failed.
/// Writes are held first, the replica draws level, and the old primary is
/// among the fenced: had it gone on, it would be the highest and be promoted
/// again itself.
void stepHandover(GroupState &group, TimePoint now, Actions &out) {
  if (group.Running)
    return;
  // The hold ends with the change that it was made for.
  if (group.Leaving && group.Primary != group.Leaving->From)
    endHandover(group, now, out);
  const auto *primary = findWatched(group, group.Primary);
  if (!primary || primary->Owner != group.Self) {
    failHandover(group, HandoverEnd::Interrupted, now, out);
    group.HandoverBlocked.reset();
    return;
  }
  if (group.Leaving && !group.Leaving->To.empty()) {
    failHandover(group, HandoverEnd::CampaignFailed, now, out);
    return;
  }
  if (!group.Leaving) {
    if (!primary->Report.Leaving || !hasLeader(group, now)) {
      group.HandoverBlocked.reset();
      return;
    }
    if (now < group.NextHandover)
      return;
    const auto *replica = pickReplica(group, now);
    if (!mayBegin(group, replica, out))
      return;
    auto until = now + holdLimit(group, *primary, now);
    group.Leaving = Handover{group.Primary, now, until, {}};
    out.push_back(HoldWrites{until});
  }
  if (now >= group.Leaving->Until) {
    failHandover(group, HandoverEnd::ReplicaBehind, now, out);
    return;
  }
  const auto *replica = findLevel(group, *primary);
  if (!replica) {
    probeSoon(group, now);
    return;
  }
  group.Leaving->To = replica->Name;
  if (beginCampaign(group, replica->Name, now, out))
    group.Running->OldPrimary = primary->Name;
  else
    failHandover(group, HandoverEnd::NoTerm, now, out);
}

} // namespace peridotfall::failover
