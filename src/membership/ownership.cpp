#include "peridotfall/membership.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace peridotfall {

namespace {

/// FNV-1a with a final mix. All daemons must agree on it in every version, so
/// it cannot be std::hash, which differs between builds.
std::uint64_t stableHash(std::string_view a, std::string_view b) {
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t h = 14695981039346656037ULL;
  for (auto part : {a, std::string_view("\0", 1), b})
    for (unsigned char c : part)
      h = (h ^ c) * Prime;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

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
    // A leaving daemon takes no new work, so it must own nothing.
    if (!it.Leaving)
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
