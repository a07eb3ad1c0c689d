// Reads and writes the group object at the platform. It is updated while a
// primary answers; a change of primary itself needs no call to the platform.

#include "failover/group.h"

#include <algorithm>
#include <fmt/format.h>

namespace peridotfall::failover {

namespace {

/// Terms assigned in advance to each target, for changes of primary while the
/// platform is unavailable.
constexpr std::size_t TermsPerTarget = 4;
/// New terms are assigned when fewer than this are left per target on average.
constexpr std::size_t LowTermsPerTarget = 2;
/// A call without an answer for this long is abandoned, and the object is read
/// back.
constexpr milliseconds CallLimit{3'000};
/// Delay per rank before an owner publishes, so that higher ranks publish only
/// what lower ones have not.
constexpr milliseconds RankWait{500};
/// Between calls while a leaving primary waits for a term; doubled after each
/// failed call.
constexpr milliseconds UrgentRetry{250};
constexpr unsigned MaxUrgentDoublings = 3;

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

/// A term assigned to two targets would allow two primaries in one term, each
/// with its own log. New terms are above every term that the replaced object
/// assigns, and the update is conditional on that object's version.
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

/// Whether the next call is sent without waiting for an unanswered one or for
/// the end of the back-off.
bool isUrgent(const GroupState &group, TimePoint now) {
  const auto &it = group.Object;
  auto wait = UrgentRetry * (1 << std::min(it.Failures, MaxUrgentDoublings));
  return lacksTerm(group) && now - it.CallBegan >= wait;
}

void beginCall(Publication &it, TimePoint now) {
  it.CallPending = true;
  it.CallBegan = now;
}

void requestRead(GroupState &group, TimePoint now, Actions &out) {
  beginCall(group.Object, now);
  out.push_back(GetObject{});
}

/// After an outage thousands of groups call at once, while the platform serves
/// two thousand reads per second in total and could go down again. Each failure
/// doubles the wait, with jitter; the limit keeps the object at most half a
/// minute late.
void backOff(GroupState &group, TimePoint now) {
  constexpr unsigned MaxDoublings = 5;
  auto &it = group.Object;
  auto wait =
      group.Limits.PublishRetry * (1 << std::min(it.Failures, MaxDoublings));
  ++it.Failures;
  auto jitter = nextRandom(group, static_cast<std::uint64_t>(wait.count()));
  it.CallPending = false;
  it.MustRead = true;
  it.NextCall = now + wait / 2 + milliseconds(jitter);
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
  if (it.CallPending && now - it.CallBegan > CallLimit)
    backOff(group, now);
  if (!isStale(group, now))
    it.StaleSince.reset();
  else if (!it.StaleSince)
    it.StaleSince = now;
  bool waits =
      it.CallPending || now < it.NextCall || (lacksTerm(group) && !it.MustRead);
  if (waits && !isUrgent(group, now))
    return;
  bool old = !it.LastRead || now - *it.LastRead >= group.Limits.RefreshEvery;
  if (it.MustRead || old || it.CallPending) {
    requestRead(group, now, out);
    return;
  }
  auto rank = lacksTerm(group) ? std::size_t{0} : rankOf(group);
  if (!it.StaleSince ||
      now - *it.StaleSince < RankWait * static_cast<int>(rank))
    return;
  // Another owner has probably published it; a read is cheaper than a refused
  // write.
  if (rankOf(group) > 0 && *it.LastRead < *it.StaleSince) {
    requestRead(group, now, out);
    return;
  }
  auto value = nextObject(group);
  value.Id = fmt::format("{}-{}-{}", group.Self.Value, group.Seed, ++it.Writes);
  it.PendingId = value.Id;
  beginCall(it, now);
  out.push_back(PutObject{it.Version, std::move(value)});
}

Actions onObject(GroupState &group, const std::optional<GroupObject> &object,
                 std::uint64_t version, TimePoint now) {
  auto &it = group.Object;
  it.CallPending = false;
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

/// If the platform stored the object but its answer was lost, an owner that
/// continued with the old version would have every write refused. The object is
/// read back whatever the outcome, and its terms are used only once read.
Actions onPutDone(GroupState &group, const std::string &id, StepOutcome outcome,
                  TimePoint now) {
  auto &it = group.Object;
  if (id != it.PendingId)
    return {};
  if (outcome == StepOutcome::Unknown) {
    backOff(group, now);
    return {};
  }
  it.CallPending = false;
  it.MustRead = true;
  return onTick(group, now);
}

} // namespace peridotfall::failover
