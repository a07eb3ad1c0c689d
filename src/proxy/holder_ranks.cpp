#include "proxy/holder_ranks.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

namespace {

bool hasSamePlace(const Member &a, const Member &b) {
  return a.Domain == b.Domain && a.Region == b.Region;
}

int distanceOf(const Member &it, const DomainName &domain,
               const RegionName &region) {
  if (it.Domain == domain)
    return 0;
  return it.Region == region ? 1 : 2;
}

} // namespace

bool HolderRanks::setMembers(const std::vector<Member> &live) {
  auto before = changes();
  std::vector<const Member *> next;
  next.reserve(live.size());
  for (const auto &it : live)
    if (!it.Leaving && !it.ServesTarget)
      next.push_back(&it);
  auto byName = [](const Member *a, const Member *b) { return a->Vm < b->Vm; };
  if (!std::is_sorted(next.begin(), next.end(), byName))
    std::sort(next.begin(), next.end(), byName);
  std::vector<VmName> left;
  std::vector<const Member *> joined;
  auto known = Eligible.begin();
  for (const auto *it : next) {
    while (known != Eligible.end() && known->first < it->Vm)
      left.push_back((known++)->first);
    bool isKnown = known != Eligible.end() && known->first == it->Vm;
    if (isKnown && !hasSamePlace(known->second, *it))
      left.push_back(it->Vm);
    if (!isKnown || !hasSamePlace(known->second, *it))
      joined.push_back(it);
    if (isKnown)
      ++known;
  }
  for (; known != Eligible.end(); ++known)
    left.push_back(known->first);
  for (const auto &it : left)
    recordLeft(it);
  for (const auto *it : joined)
    recordJoined(*it);
  // With more changes than daemons, ranking anew takes less.
  while (Changes.size() > Eligible.size()) {
    Changes.pop_front();
    ++FirstChange;
  }
  return changes() != before;
}

void HolderRanks::recordLeft(const VmName &vm) {
  auto it = Eligible.find(vm);
  auto domain = ByDomain.find(it->second.Domain);
  domain->second.erase(vm);
  if (domain->second.empty())
    ByDomain.erase(domain);
  Eligible.erase(it);
  Changes.push_back({vm, std::nullopt});
}

void HolderRanks::recordJoined(const Member &member) {
  Eligible.emplace(member.Vm, member);
  ByDomain[member.Domain].insert(member.Vm);
  Changes.push_back({member.Vm, member});
}

bool HolderRanks::applyChanges(const TargetName &target, Ranking &ranking) {
  if (ranking.UpTo < FirstChange)
    return false;
  for (auto n = ranking.UpTo - FirstChange; n < Changes.size(); ++n) {
    const auto &it = Changes[n];
    if (it.Joined)
      insert(*it.Joined, target, ranking);
    else if (std::any_of(
                 ranking.First.begin(), ranking.First.end(),
                 [&](const OwnerRank &rank) { return rank.Vm == it.Vm; }))
      return false;
  }
  ranking.UpTo = changes();
  return true;
}

void HolderRanks::insert(const Member &member, const TargetName &target,
                         Ranking &ranking) {
  auto &first = ranking.First;
  bool full = first.size() >= ranking.Wanted;
  auto distance = distanceOf(member, ranking.Domain, ranking.Region);
  if (full && (first.empty() || first.back().Distance < distance))
    return;
  ++Computed;
  auto rank = ownerRank(member, target, ranking.Domain, ranking.Region);
  if (!rank || (full && first.back() < *rank))
    return;
  first.insert(std::upper_bound(first.begin(), first.end(), *rank),
               std::move(*rank));
  if (first.size() > ranking.Wanted)
    first.pop_back();
}

void HolderRanks::rankAll(const TargetName &target, Ranking &ranking) {
  ranking.First.clear();
  ranking.UpTo = changes();
  auto near = ByDomain.find(ranking.Domain);
  if (near != ByDomain.end() && near->second.size() >= ranking.Wanted) {
    for (const auto &vm : near->second)
      insert(Eligible.at(vm), target, ranking);
    return;
  }
  for (const auto &[vm, it] : Eligible)
    insert(it, target, ranking);
}

std::vector<VmName> HolderRanks::first(const TargetEntry &target,
                                       std::size_t count) {
  auto &ranking = Rankings[target.Name];
  bool isSame = ranking.Wanted == count && ranking.Domain == target.Domain &&
                ranking.Region == target.Region;
  if (!isSame || !applyChanges(target.Name, ranking)) {
    ranking.Domain = target.Domain;
    ranking.Region = target.Region;
    ranking.Wanted = count;
    rankAll(target.Name, ranking);
  }
  std::vector<VmName> out;
  for (const auto &it : ranking.First)
    out.push_back(it.Vm);
  return out;
}

} // namespace peridotfall::proxy
