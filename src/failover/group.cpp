#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Between queries to another owner.
constexpr milliseconds CalmQueryInterval{1'000};
/// The same, once no primary has answered for half of SuspectAfter, or while
/// the replicas of a leaving primary lack a term.
constexpr milliseconds UrgentQueryInterval{50};
/// Between probes while no primary answers, to find the new one sooner.
constexpr milliseconds UrgentProbeInterval{50};

/// A paused daemon reads no answers: on resuming it would assume that every
/// primary is dead and continue a campaign that others have overtaken. It
/// discards what it knew before the pause and observes the targets again.
void resetAfterPause(GroupState &group, TimePoint now, Actions &out) {
  auto last = std::exchange(group.LastTick, now);
  if (!last || now - *last <= group.Limits.SuspectAfter / 3)
    return;
  group.LeaderSeen = now;
  group.Peers.clear();
  group.AgreedSince.reset();
  if (group.RunningCampaign)
    failCampaign(group, now, out);
  failHandover(group, HandoverEnd::Interrupted, now, out);
}

milliseconds withJitter(GroupState &group, milliseconds interval) {
  auto fifth = interval / 5;
  auto jitter =
      nextRandom(group, static_cast<std::uint64_t>(2 * fifth.count() + 1));
  return interval - fifth + milliseconds(jitter);
}

void probe(GroupState &group, TimePoint now, Actions &out) {
  bool missed = !hasLeader(group, now);
  for (auto &it : group.Targets) {
    if (now < it.NextProbe)
      continue;
    it.NextProbe =
        now + (missed ? UrgentProbeInterval
                      : withJitter(group, group.Limits.ProbeInterval));
    out.push_back(Probe{it.Name});
  }
}

void queryPeers(GroupState &group, TimePoint now, Actions &out) {
  bool urgent = lacksTerm(group) ||
                now - group.LeaderSeen > group.Limits.SuspectAfter / 2;
  if (now < group.NextPeerQuery &&
      (!urgent || group.NextPeerQuery <= now + UrgentQueryInterval))
    return;
  group.NextPeerQuery = now + (urgent ? UrgentQueryInterval
                                      : withJitter(group, CalmQueryInterval));
  std::vector<VmName> queried{group.Self};
  for (const auto &it : group.Targets)
    if (std::find(queried.begin(), queried.end(), it.Owner) == queried.end()) {
      queried.push_back(it.Owner);
      out.push_back(QueryPeer{it.Owner, group.Object.Version});
    }
}

/// A target that was cut off or was the primary before does not follow the new
/// one: one replica fewer confirms writes, and a second failure would stop
/// them. Each owner sends the command to the targets that it observes;
/// repeating it has no effect, and a target refuses one of an old term.
void keepFollowing(GroupState &group, TimePoint now, Actions &out) {
  if (!hasLeader(group, now))
    return;
  for (auto &it : group.Targets) {
    bool follows = it.Report.CurrentTerm == group.InTerm &&
                   it.Report.Following == group.Primary;
    if (it.Name == group.Primary || !answersNow(group, it, now) || follows ||
        it.Report.CurrentTerm > group.InTerm || now < it.NextFollow)
      continue;
    it.NextFollow = now + 2 * group.Limits.ProbeInterval;
    out.push_back(Follow{it.Name, group.InTerm, group.Primary});
  }
}

/// A candidate that fenced one replica and then failed leaves that replica in a
/// higher term, in which it refuses its primary's log indefinitely. The primary
/// is then promoted again in a term above.
/// \return whether this owner should do so now.
bool mustRepromote(GroupState &group, TimePoint now) {
  bool due = false;
  for (auto &it : group.Targets) {
    bool ahead = hasLeader(group, now) && answersNow(group, it, now) &&
                 it.Report.CurrentTerm > group.InTerm;
    if (!ahead)
      it.AheadSince.reset();
    else if (!it.AheadSince)
      it.AheadSince = now;
    auto wait = group.Limits.RepromoteAfter +
                group.Limits.Stagger * static_cast<int>(rankOf(group));
    due = due || (it.AheadSince && now - *it.AheadSince >= wait);
  }
  return due && now >= group.NextCampaign;
}

/// \return whether it is this owner's turn to replace the primary.
bool mustReplace(GroupState &group, TimePoint now) {
  if (!majorityMissesLeader(group, now)) {
    group.AgreedSince.reset();
    return false;
  }
  auto highest = highestTerm(group);
  // A higher term since then shows that another candidate is active; the wait
  // begins again.
  if (!group.AgreedSince || highest > group.HighestAtAgreement) {
    group.AgreedSince = now;
    group.HighestAtAgreement = highest;
  }
  auto wait = group.Limits.Stagger * static_cast<int>(rankOf(group));
  return now - *group.AgreedSince >= wait && now >= group.NextCampaign;
}

void beginCampaignIfDue(GroupState &group, TimePoint now, Actions &out) {
  if (group.RunningCampaign || group.RunningHandover)
    return;
  if (mustReplace(group, now)) {
    auto nominee = pickNominee(group, now);
    if (!nominee.empty())
      beginCampaign(group, nominee, now, out);
  } else if (mustRepromote(group, now)) {
    beginCampaign(group, group.Primary, now, out);
  }
}

} // namespace

GroupState makeGroup(DatabaseName database, VmName self,
                     const std::vector<OwnedTarget> &targets,
                     const Timings &limits, std::uint64_t seed, TimePoint now) {
  GroupState it;
  it.Database = std::move(database);
  it.Self = std::move(self);
  it.Limits = limits;
  it.Seed = seed;
  it.LeaderSeen = now;
  setTargets(it, targets, now);
  return it;
}

void setTargets(GroupState &group, const std::vector<OwnedTarget> &targets,
                TimePoint now) {
  std::vector<WatchedTarget> all;
  for (const auto &it : targets) {
    WatchedTarget watched;
    if (const auto *old = findWatched(group, it.Name))
      watched = *old;
    else
      watched.NextProbe = now;
    watched.Name = it.Name;
    watched.Owner = it.Owner;
    all.push_back(std::move(watched));
  }
  group.Targets = std::move(all);
}

Actions onTick(GroupState &group, TimePoint now) {
  Actions out;
  resetAfterPause(group, now, out);
  probe(group, now, out);
  queryPeers(group, now, out);
  if (group.RunningCampaign)
    stepCampaign(group, now, out);
  stepHandover(group, now, out);
  beginCampaignIfDue(group, now, out);
  keepFollowing(group, now, out);
  stepPublication(group, now, out);
  return out;
}

Actions onStatus(GroupState &group, const TargetName &target,
                 const TargetReport &report, TimePoint now) {
  Actions out;
  recordReport(group, target, report, now, out);
  return out;
}

Actions onUnreachable(GroupState &group, const TargetName &target,
                      TimePoint /*now*/) {
  if (auto *it = findWatched(group, target))
    ++it->Missed;
  return {};
}

Actions onPeerView(GroupState &group, const VmName &peer,
                   TargetObservations seen, TimePoint now) {
  group.Peers[peer] = {std::move(seen), now};
  Actions out;
  beginCampaignIfDue(group, now, out);
  return out;
}

} // namespace peridotfall::failover
