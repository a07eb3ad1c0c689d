// Detection of the primary from the observations of this owner and its peers.

#include "failover/group.h"

#include <algorithm>
#include <set>

namespace peridotfall::failover {

namespace {

/// Consecutive failed probes after which a target counts as not answering. A
/// single lost probe is ordinary packet loss.
constexpr unsigned MissedProbesLimit = 2;
/// Probe intervals for which a peer's observations are valid.
constexpr int PeerViewIntervals = 3;

} // namespace

const WatchedTarget *findWatched(const GroupState &group,
                                 const TargetName &name) {
  auto it = std::find_if(
      group.Targets.begin(), group.Targets.end(),
      [&](const WatchedTarget &target) { return target.Name == name; });
  return it == group.Targets.end() ? nullptr : &*it;
}

WatchedTarget *findWatched(GroupState &group, const TargetName &name) {
  return const_cast<WatchedTarget *>(
      findWatched(static_cast<const GroupState &>(group), name));
}

Timings timingsFor(milliseconds probeInterval) {
  constexpr int ProbesToSuspect = 4;
  constexpr int ProbesToStagger = 2;
  // Must exceed the tick interval and the timeout of a probe.
  constexpr milliseconds MinSuspicion{600};
  Timings it;
  it.ProbeInterval = probeInterval;
  it.SuspectAfter = std::max(probeInterval * ProbesToSuspect, MinSuspicion);
  it.Stagger = std::max(probeInterval * ProbesToStagger, it.Stagger);
  return it;
}

milliseconds pauseLimit(const Timings &timings, milliseconds roundTrip) {
  // The last answer before a pause may be as old as one interval with jitter,
  // and the first one after it takes a round trip.
  return timings.SuspectAfter - timings.ProbeInterval * 6 / 5 - roundTrip;
}

/// If this owner is cut off from all targets at once, the target probed last
/// must not appear to answer when the primary is already suspected: that
/// replica would be fenced needlessly. A suspicion takes four intervals, so a
/// target that was silent for two and a half, which allows for one lost probe,
/// is cut off too.
bool answersNow(const GroupState &group, const WatchedTarget &it,
                TimePoint now) {
  return it.Answered && it.Missed < MissedProbesLimit &&
         now - *it.Answered <= group.Limits.ProbeInterval * 5 / 2;
}

TargetObservations observationsOf(const GroupState &group, TimePoint now) {
  TargetObservations out;
  for (const auto &it : group.Targets) {
    auto &observation = out[it.Name];
    observation.Report = it.Report;
    if (!it.Answered)
      continue;
    observation.Age = now - *it.Answered;
    observation.Reachable = observation.Age <= group.Limits.SuspectAfter;
  }
  return out;
}

/// If a candidate is paused or cut off after a majority accepted its term, the
/// old primary still answers as primary, but no write can ever be confirmed.
/// Counting terms is sufficient: a primary whose term is below that of a
/// majority gets no confirmation, so ignoring it cannot interrupt writes.
TargetName leaderOf(const TargetObservations &seen) {
  TargetName leader;
  Term best = 0;
  for (const auto &[name, it] : seen) {
    if (!it.Reachable || !it.Report.IsPrimary || it.Report.CurrentTerm < best)
      continue;
    auto term = it.Report.CurrentTerm;
    auto above = std::count_if(seen.begin(), seen.end(), [&](const auto &n) {
      return n.second.Report.CurrentTerm > term;
    });
    if (static_cast<std::size_t>(above) >= majorityOf(seen.size()))
      continue;
    leader = name;
    best = term;
  }
  return leader;
}

bool hasLeader(const GroupState &group, TimePoint now) {
  return !group.Primary.empty() &&
         now - group.LeaderSeen <= group.Limits.SuspectAfter;
}

Term highestTerm(const GroupState &group) {
  auto highest = group.InTerm;
  for (const auto &it : group.Targets)
    highest = std::max(highest, it.Report.CurrentTerm);
  for (const auto &[vm, peer] : group.Peers)
    for (const auto &[name, it] : peer.Seen)
      highest = std::max(highest, it.Report.CurrentTerm);
  if (group.Object.Known)
    highest = std::max(highest, group.Object.Known->InTerm);
  return highest;
}

/// A single owner that is cut off from the primary must not cause a change of
/// primary. If two of three failure domains miss the primary, callers in at
/// most one can still reach it.
bool majorityMissesLeader(const GroupState &group, TimePoint now) {
  if (now - group.LeaderSeen <= group.Limits.SuspectAfter)
    return false;
  std::size_t votes = 0;
  for (const auto &it : group.Targets) {
    if (it.Owner == group.Self) {
      ++votes;
      continue;
    }
    auto peer = group.Peers.find(it.Owner);
    if (peer == group.Peers.end())
      continue;
    auto age = now - peer->second.At;
    if (age <= group.Limits.ProbeInterval * PeerViewIntervals &&
        leaderOf(peer->second.Seen).empty())
      ++votes;
  }
  return votes >= majorityOf(group.Targets.size());
}

std::size_t rankOf(const GroupState &group) {
  std::set<VmName> before;
  const auto *last = findWatched(group, group.Primary);
  for (const auto &it : group.Targets) {
    if (&it == last)
      continue;
    if (it.Owner == group.Self)
      return before.size();
    before.insert(it.Owner);
  }
  return before.size();
}

void recordReport(GroupState &group, const TargetName &target,
                  const TargetReport &report, TimePoint now, Actions &out) {
  auto *it = findWatched(group, target);
  // A report of a lower term was overtaken by a later answer.
  if (!it || report.CurrentTerm < it->Report.CurrentTerm)
    return;
  if (!report.Leaving)
    it->LeavingSince.reset();
  else if (!it->LeavingSince)
    it->LeavingSince = now;
  it->Report = report;
  it->Answered = now;
  it->Missed = 0;
  if (leaderOf(observationsOf(group, now)) != target)
    return;
  group.LeaderSeen = now;
  if (group.Primary == target && group.InTerm == report.CurrentTerm)
    return;
  group.Primary = target;
  group.InTerm = report.CurrentTerm;
  out.push_back(PrimaryChanged{target, report.CurrentTerm});
}

// SplitMix64.
std::uint64_t nextRandom(GroupState &group, std::uint64_t below) {
  group.Seed += 0x9e3779b97f4a7c15ULL;
  auto n = group.Seed;
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  n ^= n >> 31;
  return below == 0 ? 0 : n % below;
}

} // namespace peridotfall::failover
