#include "membership/stable_hash.h"
#include "peridotfall/membership.h"

#include <algorithm>
#include <tuple>

namespace peridotfall {

namespace {

int distance(const Member &it, const DomainName &domain,
             const RegionName &region) {
  if (it.Domain == domain)
    return 0;
  return it.Region == region ? 1 : 2;
}

} // namespace

std::vector<Member> rankOwners(const std::vector<Member> &members,
                               const TargetName &target,
                               const DomainName &domain,
                               const RegionName &region) {
  std::vector<std::tuple<int, std::uint64_t, VmName, const Member *>> ranked;
  for (const auto &it : members) {
    // A leaving daemon accepts no new work, so it must own no target.
    if (!it.Leaving && !it.ServesTarget)
      ranked.emplace_back(distance(it, domain, region),
                          ~stableHash(it.Vm.Value, target.Value), it.Vm, &it);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<Member> out;
  out.reserve(ranked.size());
  for (const auto &it : ranked)
    out.push_back(*std::get<3>(it));
  return out;
}

} // namespace peridotfall
