// Who leads, as this owner and the others see it.

#include "failover/group.h"

#include <algorithm>
#include <set>

namespace peridotfall::failover {

namespace {

/// One lost probe is an ordinary loss; two in a row are a target to avoid.
constexpr unsigned MissesToAvoid = 2;
/// A peer's view counts for this many probe intervals.
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
  // A suspicion must outlast the ticks and the probes' own limit.
  constexpr milliseconds LeastSuspicion{600};
  Timings it;
  it.ProbeInterval = probeInterval;
  it.SuspectAfter = std::max(probeInterval * ProbesToSuspect, LeastSuspicion);
  it.Stagger = std::max(probeInterval * ProbesToStagger, it.Stagger);
  return it;
}

milliseconds pauseLimit(const Timings &timings, milliseconds roundTrip) {
  // The last answer before a pause may be as old as one interval with its
  // jitter, and the first after it takes a round trip.
  return timings.SuspectAfter - timings.ProbeInterval * 6 / 5 - roundTrip;
}

/// Failure: this owner was cut off from all targets at once, and the one it
/// probed last seemed to answer still as it missed the primary. Symptom: a
/// replica fenced for nothing. A suspicion is four intervals old, so whoever
/// was silent for two and a half, one lost probe allowed, was cut off too.
bool answersNow(const GroupState &group, const WatchedTarget &it,
                TimePoint now) {
  return it.Answered && it.Missed < MissesToAvoid &&
         now - *it.Answered <= group.Limits.ProbeInterval * 5 / 2;
}

Sights sightsOf(const GroupState &group, TimePoint now) {
  Sights out;
  for (const auto &it : group.Targets) {
    auto &sight = out[it.Name];
    sight.Report = it.Report;
    if (!it.Answered)
      continue;
    sight.Age = now - *it.Answered;
    sight.Reachable = sight.Age <= group.Limits.SuspectAfter;
  }
  return out;
}

/// Failure: a candidate froze, or was cut off, after a majority accepted its
/// term. Symptom: the old primary still answers as primary while no write can
/// be confirmed, for ever. It suffices to count terms: with a majority above
/// its own a primary can gain no confirmation, so missing it harms nobody.
TargetName leaderOf(const Sights &seen) {
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

/// Failure: one owner is cut off from the primary, and nobody else is.
/// Symptom: a change of primary that nobody needed. Two of three failure
/// domains that miss it leave at most one in which callers still reach it.
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

void learn(GroupState &group, const TargetName &target,
           const TargetReport &report, TimePoint now, Actions &out) {
  auto *it = findWatched(group, target);
  // An answer that was overtaken by one of a higher term is old.
  if (!it || report.CurrentTerm < it->Report.CurrentTerm)
    return;
  if (!report.Leaving)
    it->LeavingSince.reset();
  else if (!it->LeavingSince)
    it->LeavingSince = now;
  it->Report = report;
  it->Answered = now;
  it->Missed = 0;
  if (leaderOf(sightsOf(group, now)) != target)
    return;
  group.LeaderSeen = now;
  if (group.Primary == target && group.InTerm == report.CurrentTerm)
    return;
  group.Primary = target;
  group.InTerm = report.CurrentTerm;
  out.push_back(PrimaryChanged{target, report.CurrentTerm});
}

/// SplitMix64.
std::uint64_t draw(GroupState &group, std::uint64_t below) {
  group.Seed += 0x9e3779b97f4a7c15ULL;
  auto n = group.Seed;
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  n ^= n >> 31;
  return below == 0 ? 0 : n % below;
}

} // namespace peridotfall::failover
