#include "peridotfall/membership.h"
#include "membership/stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotfall {

namespace {

/// Adds the successors of \p self on the ring of hashed names to \p out.
void addSuccessors(std::vector<std::pair<std::uint64_t, VmName>> ring,
                   const VmName &self, std::size_t count,
                   std::set<VmName> &out) {
  std::sort(ring.begin(), ring.end());
  auto it = std::find_if(ring.begin(), ring.end(),
                         [&](const auto &n) { return n.second == self; });
  if (it == ring.end())
    return;
  auto at = static_cast<std::size_t>(it - ring.begin());
  for (std::size_t n = 1; n < ring.size() && count > 0; ++n) {
    const auto &vm = ring[(at + n) % ring.size()].second;
    if (out.insert(vm).second)
      --count;
  }
}

} // namespace

Membership::Membership(Member self, MembershipOptions options,
                       std::uint64_t seed)
    : Options(options), Random(seed), Self(self.Vm) {
  Entries[Self].Record.Info = std::move(self);
}

bool Membership::isSuspect(const MemberRecord &it) const {
  return it.Info.Vm != Self &&
         (it.Suspecting.count(Self) != 0 ||
          it.Suspecting.size() >= Options.ReportersToSuspect);
}

Membership::Entry *Membership::find(const VmName &vm) {
  auto it = Entries.find(vm);
  return it == Entries.end() ? nullptr : &it->second;
}

void Membership::markChanged(Entry &it, TimePoint now) {
  it.ChangedAt = now;
  ++Generation;
}

void Membership::recordObserved(Entry &it, TimePoint now) {
  markChanged(it, now);
  Observed.push_back(it.Record);
}

Member Membership::effective(const Entry &it) {
  auto member = it.Record.Info;
  member.Leaving |= it.ListLeaving;
  return member;
}

void Membership::updateListed(Entry &entry, const Member &listed,
                              TimePoint now) {
  auto before = effective(entry);
  entry.ListLeaving = listed.Leaving;
  auto &known = entry.Record.Info;
  if (known.Vm != Self) {
    // A changed address in the list means that the VM was replaced. Otherwise
    // the daemon's own report is newer than the list.
    bool moved = listed.InnerAddress != entry.ListAddress;
    entry.ListAddress = listed.InnerAddress;
    auto next = listed;
    next.Incarnation = known.Incarnation;
    next.Leaving = known.Leaving;
    if (!moved && known.Incarnation != 0)
      next.InnerAddress = known.InnerAddress;
    known = next;
  }
  if (effective(entry) != before)
    markChanged(entry, now);
}

void Membership::updateList(const std::vector<Member> &list, TimePoint now) {
  std::set<VmName> listed{Self};
  for (const auto &it : list) {
    listed.insert(it.Vm);
    auto *entry = find(it.Vm);
    if (!entry) {
      entry = &Entries[it.Vm];
      entry->Record.Info = it;
      entry->Record.Info.Leaving = false;
      entry->FirstSeen = now;
      markChanged(*entry, now);
    }
    updateListed(*entry, it, now);
  }
  for (auto it = Entries.begin(); it != Entries.end();) {
    bool drop = listed.count(it->first) == 0 &&
                now - it->second.FirstSeen > Options.ListLag;
    if (drop)
      ++Generation;
    it = drop ? Entries.erase(it) : std::next(it);
  }
}

std::set<VmName> Membership::neighbours() {
  if (NeighboursGeneration == Generation)
    return Neighbours;
  NeighboursGeneration = Generation;
  Neighbours.clear();
  auto domain = Entries[Self].Record.Info.Domain;
  std::vector<std::pair<std::uint64_t, VmName>> all;
  std::vector<std::pair<std::uint64_t, VmName>> own;
  for (const auto &[vm, it] : Entries) {
    // Suspected members are skipped and left to the random comparisons below.
    // Otherwise their prober would keep probing them, and nobody would probe
    // the next live member.
    bool skip = isSuspect(it.Record) && Entries.size() > Options.SmallFleet;
    if (it.Record.Info.ServesTarget || skip)
      continue;
    all.emplace_back(stableHash(vm.Value, "ring"), vm);
    if (it.Record.Info.Domain == domain)
      own.push_back(all.back());
  }
  auto rest =
      all.size() <= Options.SmallFleet ? all.size() : Options.FleetNeighbours;
  addSuccessors(std::move(own), Self, Options.DomainNeighbours, Neighbours);
  addSuccessors(std::move(all), Self, rest, Neighbours);
  return Neighbours;
}

std::vector<Member> Membership::probesDue(TimePoint now) {
  std::vector<Member> due;
  auto add = [&](Entry &it) {
    if (it.InFlight || it.Record.Info.ServesTarget)
      return;
    it.InFlight = true;
    it.NextProbe = now + Options.ProbePeriod;
    due.push_back(it.Record.Info);
  };
  for (const auto &vm : neighbours()) {
    auto *it = find(vm);
    if (it && it->NextProbe <= now)
      add(*it);
  }
  // A random member, suspected or not, so that the end of a network partition
  // is noticed.
  if (now >= NextCompare && Entries.size() > 1) {
    NextCompare = now + Options.ComparePeriod;
    std::uniform_int_distribution<std::size_t> pick(0, Entries.size() - 1);
    auto it = std::next(Entries.begin(), static_cast<long>(pick(Random)));
    if (it->first == Self)
      it = std::next(it) == Entries.end() ? Entries.begin() : std::next(it);
    add(it->second);
  }
  return due;
}

void Membership::handleAnswer(const Member &asked, const MemberRecord &answered,
                              TimePoint now) {
  // If a VM was replaced, another daemon may listen on its address. Without
  // this check the probed member would count as alive, and work for it would go
  // to a daemon that holds none of its connections. The name and incarnation in
  // the answer distinguish the two.
  if (answered.Info.Vm != asked.Vm) {
    handleMiss(asked, now);
    handleContact(answered, now);
    return;
  }
  if (auto *it = find(asked.Vm))
    it->InFlight = false;
  handleContact(answered, now);
}

void Membership::handleContact(const MemberRecord &from, TimePoint now) {
  if (from.Info.Vm == Self)
    return;
  auto *it = find(from.Info.Vm);
  // Ignore a late answer of a previous incarnation.
  if (it && from.Info.Incarnation < it->Record.Info.Incarnation)
    return;
  auto reported = from;
  reported.Suspecting.clear();
  merge(reported, now);
  it = find(from.Info.Vm);
  it->Misses = 0;
  if (it->Record.Suspecting.erase(Self) != 0)
    markChanged(*it, now);
}

void Membership::handleMiss(const Member &asked, TimePoint now) {
  auto *it = find(asked.Vm);
  if (!it)
    return;
  it->InFlight = false;
  it->NextProbe = now + Options.RetryPause;
  if (it->Record.Info.Incarnation != asked.Incarnation)
    return;
  if (++it->Misses < Options.MissesToSuspect)
    return;
  if (it->Record.Suspecting.insert(Self).second)
    recordObserved(*it, now);
}

void Membership::handleGossip(const std::vector<MemberRecord> &records,
                              TimePoint now) {
  for (const auto &it : records) {
    if (it.Info.Vm != Self)
      merge(it, now);
    else if (it.Info.Incarnation == Entries[Self].Record.Info.Incarnation &&
             !it.Suspecting.empty())
      refute(it.Version, now);
  }
}

void Membership::refute(std::uint64_t version, TimePoint now) {
  auto &own = Entries[Self];
  if (version < own.Record.Version)
    return;
  own.Record.Version = version + 1;
  recordObserved(own, now);
}

void Membership::merge(const MemberRecord &record, TimePoint now) {
  auto &entry = Entries[record.Info.Vm];
  auto &known = entry.Record;
  auto address = known.Info.InnerAddress;
  bool isNew = known.Info.Vm.empty();
  auto rank = std::pair(known.Info.Incarnation, known.Version);
  auto next = std::pair(record.Info.Incarnation, record.Version);
  if (isNew || next > rank) {
    if (isNew)
      entry.FirstSeen = now;
    if (known.Info.Incarnation != record.Info.Incarnation)
      entry.Misses = 0;
    known = record;
    if (known.Info.InnerAddress.empty())
      known.Info.InnerAddress = address;
    // Only this daemon's own probes decide whether it suspects the member.
    known.Suspecting.erase(Self);
    markChanged(entry, now);
    return;
  }
  if (next < rank)
    return;
  auto before = known;
  for (const auto &it : record.Suspecting)
    if (it != Self)
      known.Suspecting.insert(it);
  known.Info.Leaving |= record.Info.Leaving;
  if (known != before)
    markChanged(entry, now);
}

void Membership::leave(TimePoint now) {
  auto &own = Entries[Self];
  if (own.Record.Info.Leaving)
    return;
  own.Record.Info.Leaving = true;
  ++own.Record.Version;
  recordObserved(own, now);
}

void Membership::raiseIncarnation(std::uint64_t incarnation) {
  auto &own = Entries[Self].Record.Info;
  own.Incarnation = std::max(own.Incarnation, incarnation);
  ++Generation;
}

void Membership::setOwnAddress(std::string address) {
  Entries[Self].Record.Info.InnerAddress = std::move(address);
  ++Generation;
}

std::vector<Member> Membership::live() const {
  std::vector<Member> out;
  for (const auto &[vm, it] : Entries)
    if (!it.Record.Info.ServesTarget && !isSuspect(it.Record))
      out.push_back(effective(it));
  return out;
}

std::vector<Member> Membership::known() const {
  std::vector<Member> out;
  for (const auto &[vm, it] : Entries)
    out.push_back(effective(it));
  return out;
}

MemberRecord Membership::self() const { return Entries.at(Self).Record; }

std::optional<Member> Membership::findMember(const VmName &vm) const {
  auto it = Entries.find(vm);
  return it == Entries.end() ? std::nullopt
                             : std::optional(effective(it->second));
}

bool Membership::isSuspected(const VmName &vm) const {
  auto it = Entries.find(vm);
  return it != Entries.end() && isSuspect(it->second.Record);
}

std::vector<MemberRecord>
Membership::recentChanges(TimePoint now, std::size_t maxRecords) const {
  std::vector<const Entry *> found;
  for (const auto &[vm, it] : Entries)
    if (it.Record.Info.Incarnation != 0 &&
        now - it.ChangedAt < Options.GossipAge)
      found.push_back(&it);
  std::sort(found.begin(), found.end(), [](const Entry *a, const Entry *b) {
    return std::tie(b->ChangedAt, a->Record) <
           std::tie(a->ChangedAt, b->Record);
  });
  std::vector<MemberRecord> out;
  for (std::size_t n = 0; n < std::min(maxRecords, found.size()); ++n)
    out.push_back(found[n]->Record);
  return out;
}

std::vector<MemberRecord> Membership::recordsAbout(const VmName &vm) const {
  auto it = Entries.find(vm);
  if (it == Entries.end() || it->second.Record.Suspecting.empty())
    return {};
  return {it->second.Record};
}

std::vector<MemberRecord> Membership::takeObserved() {
  return std::exchange(Observed, {});
}

} // namespace peridotfall
