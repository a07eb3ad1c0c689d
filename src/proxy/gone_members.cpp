#include "proxy/gone_members.h"

#include <algorithm>
#include <set>

namespace peridotfall::proxy {

std::vector<VmName> GoneMembers::update(const std::vector<VmName> &listed,
                                        const std::vector<Member> &live,
                                        bool isLeader, TimePoint now) {
  std::set<VmName> alive;
  for (const auto &it : live)
    alive.insert(it.Vm);
  std::map<VmName, TimePoint> next;
  std::vector<VmName> out;
  for (const auto &it : listed) {
    if (alive.contains(it))
      continue;
    auto before = MissingSince.find(it);
    auto since = before == MissingSince.end() ? now : before->second;
    next[it] = since;
    if (isLeader && now - since >= limits::DaemonGoneAfter &&
        out.size() < limits::MaxRemoved)
      out.push_back(it);
  }
  MissingSince = std::move(next);
  return out;
}

} // namespace peridotfall::proxy
