#include "quota/share_delegation.h"

#include "base/durations.h"

#include <algorithm>
#include <utility>

namespace peridotfall::quota {

namespace {

/// Rounds down, so that a delegation never ends later at the counter than
/// counted from the challenge's issue.
std::uint64_t microsOf(TimePoint at) {
  return static_cast<std::uint64_t>(
      std::chrono::floor<std::chrono::microseconds>(at.time_since_epoch())
          .count());
}

} // namespace

std::uint32_t partitionOf(const AccountName &account) {
  // All daemons must agree, so std::hash won't do.
  return digestOf(account.Value).Bytes.back() % limits::Partitions;
}

ShareOwner::ShareOwner(VmName self, TimePoint usableFrom)
    : Self(std::move(self)), UsableFrom(usableFrom) {}

std::vector<std::uint32_t>
ShareOwner::delegate(const VmName &counter,
                     const std::vector<std::uint32_t> &wanted, TimePoint now) {
  std::vector<std::uint32_t> out;
  auto peer = Peers.find(counter);
  if (now < UsableFrom || peer == Peers.end())
    return out;
  // The challenge was issued before it was received, so the counter's end of
  // the delegation is never later than this one.
  auto until = peer->second.ReceivedAt + limits::DelegationTime;
  if (now >= until)
    return out;
  for (auto n : wanted) {
    auto &it = Shares[n];
    if (it.Holder != counter && now < it.Until)
      continue;
    it = {counter, until, peer->second.Last.IssuedMicros};
    out.push_back(n);
  }
  return out;
}

std::vector<std::uint32_t>
ShareOwner::releasable(const VmName &counter,
                       const std::vector<std::uint32_t> &wanted,
                       TimePoint now) const {
  std::vector<std::uint32_t> out;
  for (std::uint32_t n = 0; n < limits::Partitions; ++n)
    if (Shares[n].Holder == counter && now < Shares[n].Until &&
        std::find(wanted.begin(), wanted.end(), n) == wanted.end())
      out.push_back(n);
  return out;
}

bool ShareOwner::useHere(std::uint32_t partition, TimePoint now) {
  auto &it = Shares[partition];
  if (now < UsableFrom || (it.Holder != Self && now < it.Until))
    return false;
  // The share can be delegated at once, as this daemon knows that it no longer
  // uses it.
  it = {Self, {}, 0};
  return true;
}

void ShareOwner::handleAnswer(const VmName &counter,
                              const messages::UseAnswer &answer,
                              TimePoint now) {
  if (!answer.Next)
    return;
  const auto &next = *answer.Next;
  auto [peer, isNew] = Peers.try_emplace(counter, Peer{next, now});
  auto &known = peer->second;
  // A late answer of the counter's predecessor.
  if (next.Incarnation < known.Last.Incarnation)
    return;
  if (next.Incarnation > known.Last.Incarnation) {
    for (auto &it : Shares)
      if (it.Holder == counter)
        it = {};
    known = {next, now};
  }
  // A late or repeated answer must not extend what an older challenge covers.
  if (next.IssuedMicros > known.Last.IssuedMicros)
    known = {next, now};
  // A delegation that echoed a later challenge than the confirmation's isn't
  // covered by it.
  for (auto n : answer.Released)
    if (n < limits::Partitions && Shares[n].Holder == counter &&
        Shares[n].IssuedMicros <= next.IssuedMicros)
      Shares[n] = {};
}

std::optional<messages::Challenge>
ShareOwner::lastChallenge(const VmName &counter) const {
  auto it = Peers.find(counter);
  return it == Peers.end() ? std::nullopt : std::optional(it->second.Last);
}

bool ShareOwner::isDelegated(const VmName &counter, TimePoint now) const {
  return std::any_of(Shares.begin(), Shares.end(), [&](const Share &it) {
    return it.Holder == counter && now < it.Until;
  });
}

VmName ShareOwner::holder(std::uint32_t partition, TimePoint now) const {
  const auto &it = Shares[partition];
  return it.Holder == Self || now < it.Until ? it.Holder : VmName();
}

void ShareCounter::setIncarnation(std::uint64_t incarnation) {
  if (incarnation == Incarnation)
    return;
  Incarnation = incarnation;
  All = {};
}

void ShareCounter::setDaemons(std::uint32_t daemons) {
  OwnDaemons = daemons;
  for (auto &it : All)
    it.SumUntil = {};
}

messages::Challenge ShareCounter::issueChallenge(TimePoint now) const {
  // The challenge that confirms a release is later than the release, also
  // within a microsecond: the share may be delegated with it again.
  return {Incarnation, std::max(microsOf(now), LastReleaseMicros + 1)};
}

std::vector<std::uint32_t> ShareCounter::handle(const messages::Delegation &it,
                                                TimePoint now) {
  std::vector<std::uint32_t> released;
  auto nowMicros = microsOf(now);
  for (auto n : it.Released) {
    if (n >= limits::Partitions)
      continue;
    auto &held = All[n].Delegations[it.Vm];
    // A report sent before the release may arrive after it.
    held.Until = now;
    held.ReleasedMicros = nowMicros;
    LastReleaseMicros = nowMicros;
    All[n].SumUntil = {};
    released.push_back(n);
  }
  if (!it.LastChallenge || it.LastChallenge->Incarnation != Incarnation ||
      it.LastChallenge->IssuedMicros > nowMicros)
    return released;
  auto issued = it.LastChallenge->IssuedMicros;
  TimePoint until =
      TimePoint(std::chrono::microseconds(issued)) + limits::DelegationTime;
  if (now >= until)
    return released;
  for (auto n : it.Partitions) {
    if (n >= limits::Partitions)
      continue;
    auto &held = All[n].Delegations[it.Vm];
    if (issued <= held.ReleasedMicros)
      continue;
    bool begins = held.Until <= now;
    if (begins)
      held.Since = now;
    if (begins || it.Daemons > held.Daemons)
      All[n].SumUntil = {};
    held.Until = std::max(held.Until, until);
    held.Daemons = it.Daemons;
  }
  return released;
}

void ShareCounter::holdOwn(const VmName &self, std::uint32_t partition,
                           TimePoint now) {
  auto &held = All[partition].Delegations[self];
  if (held.Until > now)
    return;
  held = {now, TimePoint::max(), OwnDaemons, 0};
  All[partition].SumUntil = {};
}

void ShareCounter::drop(const VmName &vm, std::uint32_t partition) {
  if (All[partition].Delegations.erase(vm) != 0)
    All[partition].SumUntil = {};
}

void ShareCounter::sum(Partition &it, TimePoint now) const {
  std::erase_if(it.Delegations, [now](const auto &entry) {
    return entry.second.Until <= now &&
           now - entry.second.Until >= limits::EndedDelegationAge;
  });
  std::uint32_t daemons = OwnDaemons;
  std::uint32_t held = 0;
  it.SumUntil = now + limits::ShareSumAge;
  it.LastBegin = {};
  for (const auto &[vm, entry] : it.Delegations) {
    if (entry.Until <= now)
      continue;
    ++held;
    daemons = std::max(daemons, entry.Daemons);
    it.SumUntil = std::min(it.SumUntil, entry.Until);
    it.LastBegin = std::max(it.LastBegin, entry.Since);
  }
  // Never more than the whole, whatever number of daemons is known.
  it.Daemons = std::max(daemons, held);
  it.Sum = held > 0 ? held / it.Daemons : 0;
}

HeldShares ShareCounter::shares(std::uint32_t partition, TimePoint since,
                                TimePoint now) {
  auto &it = All[partition];
  if (now >= it.SumUntil)
    sum(it, now);
  HeldShares out{it.Sum, it.Sum, it.Sum * secondsOf(now - since)};
  if (it.LastBegin <= since)
    return out;
  out.Kept = 0;
  out.Seconds = 0;
  for (const auto &[vm, entry] : it.Delegations) {
    if (entry.Until <= now)
      continue;
    if (entry.Since <= since)
      out.Kept += 1 / it.Daemons;
    out.Seconds += secondsOf(now - std::max(entry.Since, since)) / it.Daemons;
  }
  return out;
}

} // namespace peridotfall::quota
