// The group's object at the platform: kept in calm times, never needed for a
// change of primary itself.

#include "failover/group.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotfall::failover {

namespace {

/// Terms given beforehand to each target: so many changes of primary can
/// follow each other while the platform is away.
constexpr std::size_t TermsPerTarget = 4;
/// New ones are given when fewer than this are left to each.
constexpr std::size_t LowTermsPerTarget = 2;
/// A call without an answer for this long is given up and read back.
constexpr milliseconds CallLimit{3'000};
/// Ranks above 0 publish only what the ones below have left undone.
constexpr milliseconds RankWait{500};
/// Between calls while a leaving primary waits for a term; doubled after each
/// that fails.
constexpr milliseconds UrgentRetry{250};
constexpr unsigned MostUrgentDoublings = 3;

std::size_t termsLeft(const GroupState &group) {
  auto above = highestTerm(group);
  const auto &all = group.Object.Known->Successors;
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(),
                    [&](const Successor &it) { return it.InTerm > above; }));
}

bool isStale(const GroupState &group, TimePoint now) {
  if (!hasLeader(group, now))
    return false;
  const auto &known = group.Object.Known;
  if (!known || lacksTerm(group))
    return true;
  if (known->InTerm > group.InTerm)
    return false;
  return known->InTerm < group.InTerm ||
         termsLeft(group) < LowTermsPerTarget * group.Targets.size();
}

/// Failure: a term is given to two replicas. Symptom: two primaries in one
/// term, each with its own log. New terms begin above every term that the
/// replaced object gives away, and the update is conditional on that object.
GroupObject nextObject(const GroupState &group) {
  GroupObject out;
  out.InTerm = group.InTerm;
  out.Primary = group.Primary;
  auto last = highestTerm(group);
  if (group.Object.Known)
    for (const auto &it : group.Object.Known->Successors) {
      last = std::max(last, it.InTerm);
      if (it.InTerm > group.InTerm && findWatched(group, it.Nominee))
        out.Successors.push_back(it);
    }
  std::vector<TargetName> order;
  for (const auto &it : group.Targets)
    if (it.Name != group.Primary)
      order.push_back(it.Name);
  order.push_back(group.Primary);
  while (out.Successors.size() < TermsPerTarget * order.size())
    for (const auto &it : order)
      out.Successors.push_back({++last, it});
  return out;
}

/// Whether the next call waits neither for a silent one nor for a pause.
bool isUrgent(const GroupState &group, TimePoint now) {
  const auto &it = group.Object;
  auto wait = UrgentRetry * (1 << std::min(it.Failures, MostUrgentDoublings));
  return lacksTerm(group) && now - it.CallBegan >= wait;
}

void call(Publication &it, TimePoint now) {
  it.Calling = true;
  it.CallBegan = now;
}

void read(GroupState &group, TimePoint now, Actions &out) {
  call(group.Object, now);
  out.push_back(GetObject{});
}

/// The load: after an outage thousands of groups call at once. The harm
/// prevented: the platform, which takes two thousand reads a second from
/// everyone, goes down again. Each failure doubles the wait, with chance in
/// it; the limit keeps the object at most half a minute late.
void backOff(GroupState &group, TimePoint now) {
  constexpr unsigned MostDoublings = 5;
  auto &it = group.Object;
  auto wait =
      group.Limits.PublishRetry * (1 << std::min(it.Failures, MostDoublings));
  ++it.Failures;
  auto chance = draw(group, static_cast<std::uint64_t>(wait.count()));
  it.Calling = false;
  it.MustRead = true;
  it.NextCall = now + wait / 2 + milliseconds(chance);
}

} // namespace

bool lacksTerm(const GroupState &group) {
  return group.HandoverBlocked == HandoverEnd::NoTerm;
}

Term successorTerm(const GroupState &group, const TargetName &nominee,
                   Term above) {
  if (group.Object.Known)
    for (const auto &it : group.Object.Known->Successors)
      if (it.Nominee == nominee && it.InTerm > above)
        return it.InTerm;
  return 0;
}

void stepPublication(GroupState &group, TimePoint now, Actions &out) {
  auto &it = group.Object;
  if (it.Calling && now - it.CallBegan > CallLimit)
    backOff(group, now);
  if (!isStale(group, now))
    it.StaleSince.reset();
  else if (!it.StaleSince)
    it.StaleSince = now;
  bool waits =
      it.Calling || now < it.NextCall || (lacksTerm(group) && !it.MustRead);
  if (waits && !isUrgent(group, now))
    return;
  bool old = !it.LastRead || now - *it.LastRead >= group.Limits.RefreshEvery;
  if (it.MustRead || old || it.Calling) {
    read(group, now, out);
    return;
  }
  auto rank = lacksTerm(group) ? std::size_t{0} : rankOf(group);
  if (!it.StaleSince ||
      now - *it.StaleSince < RankWait * static_cast<int>(rank))
    return;
  // Another owner has probably published it; a read is cheaper than a refusal.
  if (rankOf(group) > 0 && *it.LastRead < *it.StaleSince) {
    read(group, now, out);
    return;
  }
  auto value = nextObject(group);
  value.Id = fmt::format("{}-{}-{}", group.Self.Value, group.Seed, ++it.Writes);
  it.PendingId = value.Id;
  call(it, now);
  out.push_back(PutObject{it.Version, std::move(value)});
}

Actions onObject(GroupState &group, const std::optional<GroupObject> &object,
                 std::uint64_t version, TimePoint now) {
  auto &it = group.Object;
  it.Calling = false;
  it.MustRead = false;
  it.Failures = 0;
  it.LastRead = now;
  it.PendingId.clear();
  if (version >= it.Version) {
    it.Known = object;
    it.Version = version;
  }
  return onTick(group, now);
}

Actions onPeerObject(GroupState &group, const VersionedObject &object,
                     TimePoint /*now*/) {
  auto &it = group.Object;
  if (object.Version > it.Version) {
    it.Known = object.Value;
    it.Version = object.Version;
  }
  return {};
}

std::optional<VersionedObject> newerObject(const GroupState &group,
                                           std::uint64_t version) {
  const auto &it = group.Object;
  if (!it.Known || it.Version <= version)
    return std::nullopt;
  return VersionedObject{it.Version, *it.Known};
}

Actions onObjectUnavailable(GroupState &group, TimePoint now) {
  backOff(group, now);
  return {};
}

/// Failure: the platform stored the object and its answer was lost. Symptom:
/// the owner goes on with the old version, and each of its writes is refused.
/// However a write ends, the object is read back, and its terms count only
/// once read.
Actions onPutDone(GroupState &group, const std::string &id, StepOutcome outcome,
                  TimePoint now) {
  auto &it = group.Object;
  if (id != it.PendingId)
    return {};
  if (outcome == StepOutcome::Unknown) {
    backOff(group, now);
    return {};
  }
  it.Calling = false;
  it.MustRead = true;
  return onTick(group, now);
}

} // namespace peridotfall::failover
