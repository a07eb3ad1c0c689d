#include "daemon/failover_driver.h"

#include "daemon/failover_calls.h"
#include "messages/group_view.h"

#include <algorithm>
#include <asio/post.hpp>
#include <random>
#include <utility>

namespace peridotfall {

namespace {

/// Short compared with the shortest timeout of the state machine.
constexpr std::chrono::milliseconds Tick{25};

std::uint64_t randomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

} // namespace

FailoverDriver::FailoverDriver(asio::io_context &loop, const Clock &clock,
                               const ConfigurationInForce &config, Fleet &fleet,
                               Targets &targets, GroupViews &views,
                               platform::Api platform,
                               const failover::Timings &limits)
    : Timer(loop), Time(clock), Config(config), Peers(fleet), Apis(targets),
      Views(views), Platform(std::move(platform)), Limits(limits) {}

void FailoverDriver::start(std::function<void()> onTick) {
  OnTick = std::move(onTick);
  tick();
}

void FailoverDriver::stop() {
  asio::post(Timer.get_executor(), [self = shared_from_this()] {
    self->Stopped = true;
    self->Timer.cancel();
  });
}

void FailoverDriver::tick() {
  refreshGroups();
  std::map<DatabaseName, GroupPtr> groups;
  {
    std::lock_guard guard(Lock);
    groups = Groups;
  }
  for (const auto &[name, group] : groups)
    run(group, [this](failover::GroupState &state) {
      return failover::onTick(state, Time.now());
    });
  OnTick();
  Timer.expires_after(Tick);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec && !self->Stopped)
      self->tick();
  });
}

/// A configuration may have thousands of groups, and the membership changes
/// some hundred times a day. Ranking the owners of every target with each tick
/// would be costly, so it is done only when one of the two has changed.
void FailoverDriver::refreshGroups() {
  auto config = Config.get();
  if (!config)
    return;
  auto members = Peers.members();
  if (config->Revision == Revision && members == Members)
    return;
  Revision = config->Revision;
  Members = std::move(members);
  std::map<DatabaseName, GroupPtr> groups;
  for (const auto &database : config->Databases) {
    if (auto owners = ownersOf(*config, database))
      groups[database.Name] = makeGroup(database, *owners);
  }
  std::lock_guard guard(Lock);
  Groups = std::move(groups);
}

FailoverDriver::GroupPtr FailoverDriver::makeGroup(
    const DatabaseConfig &database,
    const std::vector<failover::OwnedTarget> &owners) const {
  auto now = Time.now();
  auto old = find(database.Name);
  if (!old)
    return std::make_shared<Group>(
        database, failover::makeGroup(database.Name, Peers.self().Vm, owners,
                                      Limits, randomSeed(), now));
  std::lock_guard guard(old->Lock);
  failover::setTargets(old->State, owners, now);
  if (old->Config == database)
    return old;
  // Calls in flight belong to the old group, whose results are ignored.
  return std::make_shared<Group>(database, old->State);
}

/// \return nothing where this daemon owns none of the group's targets.
std::optional<std::vector<failover::OwnedTarget>>
FailoverDriver::ownersOf(const Configuration &config,
                         const DatabaseConfig &database) const {
  std::vector<failover::OwnedTarget> owners;
  bool ours = false;
  for (const auto &it : database.Targets) {
    auto ranked = Peers.membersByRank(config, it);
    owners.push_back({it.Name, ranked.empty() ? VmName() : ranked.front().Vm});
    ours = ours || owners.back().Owner == Peers.self().Vm;
  }
  return ours ? std::optional(std::move(owners)) : std::nullopt;
}

FailoverDriver::GroupPtr
FailoverDriver::find(const DatabaseName &database) const {
  std::lock_guard guard(Lock);
  auto it = Groups.find(database);
  return it == Groups.end() ? nullptr : it->second;
}

void FailoverDriver::run(const GroupPtr &group, const Step &step) {
  // The group may have been replaced or removed while a call was in flight.
  if (find(group->Config.Name) != group)
    return;
  failover::Actions actions;
  {
    std::lock_guard guard(group->Lock);
    actions = step(group->State);
  }
  for (const auto &it : actions)
    std::visit([&](const auto &action) { perform(group, action); }, it);
}

std::optional<std::string>
FailoverDriver::answerView(const std::string &body) const {
  auto request = messages::decodeGroupViewRequest(body);
  auto group = request ? find(request.value().Database) : nullptr;
  if (!group)
    return std::nullopt;
  std::lock_guard guard(group->Lock);
  return messages::encode(messages::GroupViewAnswer{
      request.value().Database, Peers.self().Vm,
      failover::observationsOf(group->State, Time.now()),
      failover::newerObject(group->State, request.value().ObjectVersion)});
}

} // namespace peridotfall
