#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Between two questions to another owner, in calm and with a primary missed.
constexpr milliseconds CalmAsk{1'000};
constexpr milliseconds UrgentAsk{50};
/// Between probes while a primary is missed: the new one is found sooner.
constexpr milliseconds UrgentProbe{50};

/// Failure: this daemon was paused, and no answer came because none was read.
/// Symptom: on waking it takes every primary for dead, and goes on with a
/// campaign that others have long overtaken. Whatever it knew before counts
/// for nothing, so it looks again first.
void wakeIfPaused(GroupState &group, TimePoint now, Actions &out) {
  auto last = std::exchange(group.LastTick, now);
  if (!last || now - *last <= group.Limits.SuspectAfter / 3)
    return;
  group.LeaderSeen = now;
  group.Peers.clear();
  group.AgreedSince.reset();
  if (group.Running)
    failCampaign(group, now, out);
  failHandover(group, HandoverEnd::Interrupted, now, out);
}

milliseconds withJitter(GroupState &group, milliseconds interval) {
  auto fifth = interval / 5;
  auto chance = draw(group, static_cast<std::uint64_t>(2 * fifth.count() + 1));
  return interval - fifth + milliseconds(chance);
}

void probe(GroupState &group, TimePoint now, Actions &out) {
  bool missed = !hasLeader(group, now);
  for (auto &it : group.Targets) {
    if (now < it.NextProbe)
      continue;
    it.NextProbe =
        now +
        (missed ? UrgentProbe : withJitter(group, group.Limits.ProbeInterval));
    out.push_back(Probe{it.Name});
  }
}

void askPeers(GroupState &group, TimePoint now, Actions &out) {
  bool urgent = lacksTerm(group) ||
                now - group.LeaderSeen > group.Limits.SuspectAfter / 2;
  if (now < group.NextAsk && (!urgent || group.NextAsk <= now + UrgentAsk))
    return;
  group.NextAsk = now + (urgent ? UrgentAsk : withJitter(group, CalmAsk));
  std::vector<VmName> asked{group.Self};
  for (const auto &it : group.Targets)
    if (std::find(asked.begin(), asked.end(), it.Owner) == asked.end()) {
      asked.push_back(it.Owner);
      out.push_back(AskPeer{it.Owner, group.Object.Version});
    }
}

/// Failure: a target does not follow the primary, since it was cut off or led
/// before. Symptom: one replica fewer confirms writes, and a second failure
/// stops them. Each owner tells what it sees; the same order twice is
/// harmless, and one of an old term is refused.
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

/// Failure: a candidate fenced one replica and gave up. Symptom: the replica
/// refuses the log of its primary for ever. The primary is promoted again, in
/// a term above.
bool mustHeal(GroupState &group, TimePoint now) {
  bool due = false;
  for (auto &it : group.Targets) {
    bool ahead = hasLeader(group, now) && answersNow(group, it, now) &&
                 it.Report.CurrentTerm > group.InTerm;
    if (!ahead)
      it.AheadSince.reset();
    else if (!it.AheadSince)
      it.AheadSince = now;
    auto wait = group.Limits.HealAfter +
                group.Limits.Stagger * static_cast<int>(rankOf(group));
    due = due || (it.AheadSince && now - *it.AheadSince >= wait);
  }
  return due && now >= group.NextCampaign;
}

/// \return whether this owner's turn has come to replace the primary.
bool mustReplace(GroupState &group, TimePoint now) {
  if (!majorityMissesLeader(group, now)) {
    group.AgreedSince.reset();
    return false;
  }
  auto highest = highestTerm(group);
  // A term that grew since is another candidate at work: it gets its turn.
  if (!group.AgreedSince || highest > group.HighestAtAgreement) {
    group.AgreedSince = now;
    group.HighestAtAgreement = highest;
  }
  auto wait = group.Limits.Stagger * static_cast<int>(rankOf(group));
  return now - *group.AgreedSince >= wait && now >= group.NextCampaign;
}

void considerCampaign(GroupState &group, TimePoint now, Actions &out) {
  if (group.Running || group.Leaving)
    return;
  if (mustReplace(group, now)) {
    auto nominee = pickNominee(group, now);
    if (!nominee.empty())
      beginCampaign(group, nominee, now, out);
  } else if (mustHeal(group, now)) {
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
  wakeIfPaused(group, now, out);
  probe(group, now, out);
  askPeers(group, now, out);
  if (group.Running)
    stepCampaign(group, now, out);
  stepHandover(group, now, out);
  considerCampaign(group, now, out);
  keepFollowing(group, now, out);
  stepPublication(group, now, out);
  return out;
}

Actions onStatus(GroupState &group, const TargetName &target,
                 const TargetReport &report, TimePoint now) {
  Actions out;
  learn(group, target, report, now, out);
  return out;
}

Actions onUnreachable(GroupState &group, const TargetName &target,
                      TimePoint /*now*/) {
  if (auto *it = findWatched(group, target))
    ++it->Missed;
  return {};
}

Actions onPeerView(GroupState &group, const VmName &peer, Sights seen,
                   TimePoint now) {
  group.Peers[peer] = {std::move(seen), now};
  Actions out;
  considerCampaign(group, now, out);
  return out;
}

} // namespace peridotfall::failover
