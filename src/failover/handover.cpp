// Planned hand-over from a primary whose target is leaving.

#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Writes that the target had accepted when the hold began end within this.
constexpr milliseconds SettleTime{50};
/// Between probes while waiting for a replica to catch up.
constexpr milliseconds FastProbeInterval{20};
/// Between two attempts within the limit for a leaving primary.
constexpr milliseconds RetryPause{200};
/// Between two attempts after that limit: a group whose replicas all lag for
/// long must not hold its writes indefinitely.
constexpr milliseconds RetryPauseLate{3'000};
/// After an attempt that was overtaken by a write through another owner. Each
/// attempt uses up a term, and the other daemons need time to learn the
/// primary's current owner.
constexpr milliseconds RetryAfterOvertaken{700};

bool hasTerm(const GroupState &group, const WatchedTarget &replica) {
  return successorTerm(group, replica.Name, highestTerm(group)) != 0;
}

/// Whether the target could replace the primary.
bool isCandidate(const GroupState &group, const WatchedTarget &it) {
  return it.Name != group.Primary && !it.Report.Leaving &&
         it.Report.CurrentTerm == group.InTerm;
}

bool isWithinLimit(const GroupState &group, const WatchedTarget &primary,
                   TimePoint now) {
  return primary.LeavingSince &&
         now - *primary.LeavingSince < group.Limits.LeavingLimit;
}

/// \return longest hold of one attempt. Later ones within the limit for a
/// leaving primary are longer: the first was too short for the current state of
/// the links and replicas.
milliseconds holdLimit(const GroupState &group, const WatchedTarget &primary,
                       TimePoint now) {
  bool first = now - *primary.LeavingSince < group.Limits.HandoverLimit;
  bool longer = !first && isWithinLimit(group, primary, now);
  return longer ? 2 * group.Limits.HandoverLimit : group.Limits.HandoverLimit;
}

/// \return a candidate that answers: preferably one with an assigned term, then
/// the one with the highest log position. Null if there is none.
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

/// \return a replica that has all of the primary's log; null if none has yet.
const WatchedTarget *findCaughtUp(const GroupState &group,
                                  const WatchedTarget &primary) {
  auto settled = group.RunningHandover->Began + SettleTime;
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
    it.NextProbe = std::min(it.NextProbe, now + FastProbeInterval);
}

/// \return whether a hand-over to the replica can begin. If not, the reason is
/// reported once.
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
  if (!group.RunningHandover)
    return;
  out.push_back(HandoverFailed{group.RunningHandover->From,
                               group.RunningHandover->To, why});
  const auto *primary = findWatched(group, group.RunningHandover->From);
  bool soon = primary && isWithinLimit(group, *primary, now);
  endHandover(group, now, out);
  group.NextHandover =
      now + (why == HandoverEnd::CampaignFailed ? RetryAfterOvertaken
             : soon                             ? RetryPause
                                                : RetryPauseLate);
}

void endHandover(GroupState &group, TimePoint now, Actions &out) {
  if (!group.RunningHandover)
    return;
  group.RunningHandover.reset();
  out.push_back(HoldWrites{now});
}

/// Fencing a leaving primary while its last writes are on no replica would
/// answer their callers "unknown" although nothing failed. So writes are held
/// until a replica has caught up, and the old primary is among the fenced
/// targets: if it accepted more writes, it has the highest log and is promoted
/// again itself.
void stepHandover(GroupState &group, TimePoint now, Actions &out) {
  if (group.RunningCampaign)
    return;
  // The primary has changed, so the hold is no longer needed.
  if (group.RunningHandover && group.Primary != group.RunningHandover->From)
    endHandover(group, now, out);
  const auto *primary = findWatched(group, group.Primary);
  if (!primary || primary->Owner != group.Self) {
    failHandover(group, HandoverEnd::Interrupted, now, out);
    group.HandoverBlocked.reset();
    return;
  }
  if (group.RunningHandover && !group.RunningHandover->To.empty()) {
    failHandover(group, HandoverEnd::CampaignFailed, now, out);
    return;
  }
  if (!group.RunningHandover) {
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
    group.RunningHandover = Handover{group.Primary, now, until, {}};
    out.push_back(HoldWrites{until});
  }
  if (now >= group.RunningHandover->Until) {
    failHandover(group, HandoverEnd::ReplicaBehind, now, out);
    return;
  }
  const auto *replica = findCaughtUp(group, *primary);
  if (!replica) {
    probeSoon(group, now);
    return;
  }
  group.RunningHandover->To = replica->Name;
  if (beginCampaign(group, replica->Name, now, out))
    group.RunningCampaign->OldPrimary = primary->Name;
  else
    failHandover(group, HandoverEnd::NoTerm, now, out);
}

} // namespace peridotfall::failover
