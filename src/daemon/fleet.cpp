#include "daemon/fleet.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

Fleet::Fleet(http::Loops &loops, Member self, http::ChannelOptions options)
    : Loops(loops), Self(std::move(self)),
      Options(std::move(options)), Members{Self} {}

std::vector<Member> Fleet::members() const {
  std::lock_guard guard(Lock);
  return Members;
}

bool Fleet::setMembers(std::vector<Member> members) {
  std::sort(members.begin(), members.end());
  std::lock_guard guard(Lock);
  if (members == Members)
    return false;
  Members = std::move(members);
  return true;
}

std::optional<Member> Fleet::find(const VmName &vm) const {
  std::lock_guard guard(Lock);
  auto it = std::find_if(Members.begin(), Members.end(),
                         [&](const Member &n) { return n.Vm == vm; });
  return it == Members.end() ? std::nullopt : std::optional(*it);
}

std::vector<Member> Fleet::ranked(const Configuration &config,
                                  const TargetConfig &target) const {
  return rankOwners(members(), target.Name, target.Domain,
                    regionOf(config, target.Domain));
}

std::shared_ptr<http::Channel> Fleet::channel(const std::string &address) {
  std::lock_guard guard(Lock);
  auto &it = Channels[address];
  if (!it)
    it = std::make_shared<http::Channel>(Loops.next(), address, Options);
  return it;
}

void Fleet::close() {
  std::lock_guard guard(Lock);
  for (auto &[address, it] : Channels)
    it->close();
  Channels.clear();
}

} // namespace peridotfall
