#include "config/fan_out.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotfall {

namespace {

void addChildren(const std::vector<Member> &domain, std::size_t at,
                 std::vector<Member> &out) {
  for (std::size_t n = 1; n <= FanOut; ++n)
    if (at * FanOut + n < domain.size())
      out.push_back(domain[at * FanOut + n]);
}

} // namespace

bool isWatcher(const std::vector<Member> &live, const Member &self) {
  std::size_t ahead = 0;
  auto rank = [](const Member &it) {
    return std::pair(stableHash(it.Vm.Value, "watcher"), it.Vm);
  };
  for (const auto &it : live)
    if (it.Domain == self.Domain && !it.Leaving && !it.ServesTarget &&
        rank(it) < rank(self))
      ++ahead;
  return ahead < WatchersPerDomain;
}

RelayTreeOrder buildRelayOrder(const std::vector<Member> &live,
                               const RelayTree &tree) {
  std::map<DomainName, std::vector<std::pair<std::uint64_t, const Member *>>>
      ranked;
  for (const auto &it : live)
    if (!it.ServesTarget)
      ranked[it.Domain].emplace_back(
          it.Vm == tree.Root ? 0 : stableHash(it.Vm.Value, tree.Root.Value) | 1,
          &it);
  RelayTreeOrder order;
  for (auto &[domain, members] : ranked) {
    std::sort(members.begin(), members.end(), [](const auto &a, const auto &b) {
      return std::tie(a.first, a.second->Vm) < std::tie(b.first, b.second->Vm);
    });
    auto &out = order[domain];
    out.reserve(members.size());
    for (const auto &it : members)
      out.push_back(*it.second);
  }
  return order;
}

std::vector<Member> childrenOf(const RelayTreeOrder &order,
                               const RelayTree &tree, const VmName &self) {
  std::vector<Member> out;
  for (const auto &[domain, members] : order) {
    auto it = std::find_if(members.begin(), members.end(),
                           [&](const Member &n) { return n.Vm == self; });
    if (it != members.end())
      addChildren(members, static_cast<std::size_t>(it - members.begin()), out);
    else if (self == tree.Root && !tree.DomainOnly)
      out.push_back(members.front());
  }
  return out;
}

} // namespace peridotfall
