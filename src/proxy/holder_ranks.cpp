#include "proxy/holder_ranks.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

namespace {

bool hasSamePlace(const Member &a, const Member &b) {
  return a.Domain == b.Domain && a.Region == b.Region;
}

bool contains(const std::vector<OwnerRank> &ranks, const VmName &vm) {
  return std::any_of(ranks.begin(), ranks.end(),
                     [&](const OwnerRank &it) { return it.Vm == vm; });
}

} // namespace

void HolderRanks::setMembers(const std::vector<Member> &live) {
  std::map<VmName, Member> next;
  std::vector<const Member *> joined;
  for (const auto &it : live) {
    if (it.Leaving || it.ServesTarget)
      continue;
    next.emplace(it.Vm, it);
    auto before = Eligible.find(it.Vm);
    if (before == Eligible.end() || !hasSamePlace(before->second, it))
      joined.push_back(&it);
  }
  std::vector<VmName> left;
  for (const auto &[vm, it] : Eligible) {
    auto now = next.find(vm);
    if (now == next.end() || !hasSamePlace(now->second, it))
      left.push_back(vm);
  }
  Eligible = std::move(next);
  for (auto &entry : Rankings) {
    auto &ranking = entry.second;
    if (std::any_of(left.begin(), left.end(), [&](const VmName &vm) {
          return contains(ranking.First, vm);
        }))
      ranking.Stale = true;
    if (ranking.Stale)
      continue;
    for (const auto *it : joined)
      insert(*it, entry.first, ranking);
  }
}

std::optional<OwnerRank> HolderRanks::rankOf(const Member &member,
                                             const TargetName &target,
                                             const Ranking &ranking) {
  ++Computed;
  return ownerRank(member, target, ranking.Domain, ranking.Region);
}

void HolderRanks::insert(const Member &member, const TargetName &target,
                         Ranking &ranking) {
  auto rank = rankOf(member, target, ranking);
  auto &first = ranking.First;
  bool full = first.size() >= ranking.Wanted;
  if (!rank || (full && (first.empty() || first.back() < *rank)))
    return;
  first.insert(std::upper_bound(first.begin(), first.end(), *rank),
               std::move(*rank));
  if (first.size() > ranking.Wanted)
    first.pop_back();
}

void HolderRanks::rankAll(const TargetName &target, Ranking &ranking) {
  ranking.First.clear();
  ranking.Stale = false;
  for (const auto &[vm, it] : Eligible)
    insert(it, target, ranking);
}

std::vector<VmName> HolderRanks::first(const TargetEntry &target,
                                       std::size_t count) {
  auto &ranking = Rankings[target.Name];
  if (ranking.Stale || ranking.Wanted != count ||
      ranking.Domain != target.Domain || ranking.Region != target.Region) {
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

void HolderRanks::retain(const TargetList &targets) {
  std::erase_if(Rankings,
                [&](const auto &it) { return !targets.contains(it.first); });
}

} // namespace peridotfall::proxy
