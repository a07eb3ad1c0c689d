#include "daemon/fleet.h"

#include "peridotfall/limits.h"

#include <algorithm>

namespace peridotfall {

namespace {

/// Members cached per target: the owner and enough substitutes.
constexpr std::size_t MaxRanks = 8;
/// Longer than any request may run, so that no call in flight is cut off. The
/// comparison with random peers contacts all 1,700 daemons within an hour; if
/// kept open, these connections would use most of a small VM's memory.
constexpr auto IdleTimeout = 2 * limits::MaxDeadline;

} // namespace

Fleet::Fleet(http::Loops &loops, Member self, http::ChannelOptions options,
             MembershipOptions membership)
    : Loops(loops), Self(std::move(self)), Options(std::move(options)),
      View(Self, membership, Self.Incarnation) {}

std::vector<Member> Fleet::members() const {
  std::lock_guard guard(Lock);
  return View.live();
}

bool Fleet::setMembers(const std::vector<Member> &members) {
  std::lock_guard guard(Lock);
  auto before = View.generation();
  View.updateList(members, Time.now());
  return View.generation() != before;
}

std::optional<Member> Fleet::find(const VmName &vm) const {
  std::lock_guard guard(Lock);
  return View.findMember(vm);
}

std::vector<Member> Fleet::membersByRank(const Configuration &config,
                                         const TargetConfig &target) const {
  std::lock_guard guard(Lock);
  auto &it = RankCache[target.Name];
  if (it.Generation == View.generation() && it.Revision == config.Revision)
    return it.Members;
  auto live = View.live();
  for (auto &member : live)
    member.Leaving |= isDrained(config, member.Vm);
  it = {View.generation(), config.Revision,
        rankOwners(live, target.Name, target.Domain,
                   regionOf(config, target.Domain))};
  if (it.Members.size() > MaxRanks)
    it.Members.resize(MaxRanks);
  return it.Members;
}

void Fleet::setListenPort(std::uint16_t port) {
  auto address = Self.InnerAddress;
  auto host = address.substr(0, address.rfind(':'));
  // A daemon that listens on all addresses announces none; other daemons then
  // use its address from the list of VMs.
  bool any = host.empty() || host == "0.0.0.0" || host == "[::]";
  std::lock_guard guard(Lock);
  View.setOwnAddress(any ? "" : host + ":" + std::to_string(port));
}

std::shared_ptr<http::Channel> Fleet::channel(const std::string &address) {
  std::lock_guard guard(ChannelLock);
  auto &it = Channels[address];
  if (!it.Channel)
    it.Channel =
        std::make_shared<http::Channel>(Loops.next(), address, Options);
  it.LastUse = Time.now();
  return it.Channel;
}

void Fleet::closeIdle() {
  std::lock_guard guard(ChannelLock);
  auto now = Time.now();
  for (auto it = Channels.begin(); it != Channels.end();) {
    if (now - it->second.LastUse < IdleTimeout) {
      ++it;
      continue;
    }
    it->second.Channel->close();
    it = Channels.erase(it);
  }
}

void Fleet::close() {
  std::lock_guard guard(ChannelLock);
  for (auto &[address, it] : Channels)
    it.Channel->close();
  Channels.clear();
}

} // namespace peridotfall
