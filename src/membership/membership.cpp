#include "peridotfall/membership.h"
#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

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
  if (it.InRecent)
    RecentlyChanged.splice(RecentlyChanged.begin(), RecentlyChanged, it.Recent);
  else
    RecentlyChanged.push_front(it.Record.Info.Vm);
  it.Recent = RecentlyChanged.begin();
  it.InRecent = true;
  countChange(it);
}

void Membership::countChange(Entry &it) {
  std::pair now(isSuspect(it.Record), effective(it));
  if (it.Counted == now)
    return;
  it.Counted = std::move(now);
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
    // The list tells of hundreds of restarts at once, gossip of a few with each
    // message. Who was suspected before its restart is probed anew.
    if (!entry.Record.Suspecting.empty() &&
        listed.Incarnation > known.Incarnation) {
      next.Incarnation = listed.Incarnation;
      next.Leaving = false;
      entry.Record.Version = 0;
      entry.Record.Suspecting.clear();
      entry.Misses = 0;
    }
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
    if (drop) {
      ++Generation;
      if (it->second.InRecent)
        RecentlyChanged.erase(it->second.Recent);
    }
    it = drop ? Entries.erase(it) : std::next(it);
  }
}

std::uint64_t Membership::ringHash(Entry &it) {
  if (it.RingHash == 0)
    it.RingHash = stableHash(it.Record.Info.Vm.Value, "ring");
  return it.RingHash;
}

/// Suspected members are skipped and left to the random comparisons. Otherwise
/// their prober would keep probing them, and nobody would probe the next live
/// member.
bool Membership::isOnRing(const MemberRecord &it) const {
  bool skip = isSuspect(it) && Entries.size() > Options.SmallFleet;
  return !it.Info.ServesTarget && !skip;
}

/// \return the next members on the ring of hashed names after this daemon, by
/// one pass over all members for each: sorting the ring at each change of a
/// member would take longer.
std::vector<VmName> Membership::successors(bool domainOnly, std::size_t count) {
  auto &own = Entries[Self];
  std::pair<std::uint64_t, const VmName *> last(ringHash(own), &Self);
  auto less = [](const auto &a, const auto &b) {
    return a.first != b.first ? a.first < b.first : *a.second < *b.second;
  };
  std::vector<VmName> out;
  while (out.size() < count) {
    // The next one after the last, or else the first of the ring.
    std::optional<std::pair<std::uint64_t, const VmName *>> next;
    std::optional<std::pair<std::uint64_t, const VmName *>> first;
    for (auto &[vm, it] : Entries) {
      bool elsewhere =
          domainOnly && it.Record.Info.Domain != own.Record.Info.Domain;
      if (elsewhere || !isOnRing(it.Record))
        continue;
      std::pair place(ringHash(it), &vm);
      if (!first || less(place, *first))
        first = place;
      if (less(last, place) && (!next || less(place, *next)))
        next = place;
    }
    auto chosen = next ? next : first;
    if (!chosen || *chosen->second == Self)
      break;
    out.push_back(*chosen->second);
    last = *chosen;
  }
  return out;
}

const std::set<VmName> &Membership::neighbours() {
  if (NeighboursGeneration == Generation)
    return Neighbours;
  NeighboursGeneration = Generation;
  Neighbours.clear();
  auto all = static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [this](const auto &it) {
        return isOnRing(it.second.Record);
      }));
  for (auto &vm : successors(true, Options.DomainNeighbours))
    Neighbours.insert(std::move(vm));
  // One of the fleet's successors may be a neighbour in the domain already.
  auto rest = all <= Options.SmallFleet ? all : Options.FleetNeighbours;
  auto more = successors(false, rest + Neighbours.size());
  for (const auto &vm : more) {
    if (rest == 0)
      break;
    rest -= Neighbours.insert(vm).second;
  }
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
  std::vector<MemberRecord> out;
  for (const auto &vm : RecentlyChanged) {
    const auto &it = Entries.at(vm);
    if (out.size() >= maxRecords || now - it.ChangedAt >= Options.GossipAge)
      break;
    if (it.Record.Info.Incarnation != 0)
      out.push_back(it.Record);
  }
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
