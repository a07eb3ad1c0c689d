#include "config/fan_out.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace peridotfall {

namespace {

struct Ranked {
  std::uint64_t Rank = 0; ///< The root is always first.
  const Member *It = nullptr;
};

using ByDomain = std::map<DomainName, std::vector<Ranked>>;

bool before(const Ranked &a, const Ranked &b) {
  return std::pair(a.Rank, a.It->Vm) < std::pair(b.Rank, b.It->Vm);
}

ByDomain arrange(const std::vector<Member> &live, const Tree &tree) {
  auto salt = tree.Root.Value + "#" + std::to_string(tree.Seed);
  ByDomain domains;
  for (const auto &it : live)
    if (!it.ServesTarget)
      domains[it.Domain].push_back(
          {it.Vm == tree.Root ? 0 : stableHash(it.Vm.Value, salt) | 1, &it});
  for (auto &[name, members] : domains)
    std::sort(members.begin(), members.end(), before);
  return domains;
}

void addShare(const std::vector<Ranked> &domain, std::size_t at,
              std::vector<Member> &out) {
  for (std::size_t n = 1; n <= FanOut; ++n)
    if (at * FanOut + n < domain.size())
      out.push_back(*domain[at * FanOut + n].It);
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
  return ahead < WatchersOfDomain;
}

std::vector<Member> childrenOf(const std::vector<Member> &live,
                               const Tree &tree, const VmName &self) {
  std::vector<Member> out;
  for (const auto &[name, members] : arrange(live, tree)) {
    auto it = std::find_if(members.begin(), members.end(),
                           [&](const Ranked &n) { return n.It->Vm == self; });
    if (it != members.end())
      addShare(members, static_cast<std::size_t>(it - members.begin()), out);
    else if (self == tree.Root && !tree.DomainOnly)
      out.push_back(*members.front().It);
  }
  return out;
}

} // namespace peridotfall
