#include "membership/stable_hash.h"
#include "peridotfall/membership.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

namespace {

int distance(const Member &it, const DomainName &domain,
             const RegionName &region) {
  if (it.Domain == domain)
    return 0;
  return it.Region == region ? 1 : 2;
}

} // namespace

std::optional<OwnerRank> ownerRank(const Member &member,
                                   const TargetName &target,
                                   const DomainName &domain,
                                   const RegionName &region) {
  // A leaving daemon accepts no new work, so it must own no target.
  if (member.Leaving || member.ServesTarget)
    return std::nullopt;
  return OwnerRank{distance(member, domain, region),
                   ~stableHash(member.Vm.Value, target.Value), member.Vm};
}

std::vector<Member> rankOwners(const std::vector<Member> &members,
                               const TargetName &target,
                               const DomainName &domain,
                               const RegionName &region) {
  std::vector<std::pair<OwnerRank, const Member *>> ranked;
  for (const auto &it : members)
    if (auto rank = ownerRank(it, target, domain, region))
      ranked.emplace_back(std::move(*rank), &it);
  std::sort(ranked.begin(), ranked.end());
  std::vector<Member> out;
  out.reserve(ranked.size());
  for (const auto &it : ranked)
    out.push_back(*it.second);
  return out;
}

} // namespace peridotfall
