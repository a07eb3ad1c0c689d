#include "proof/world.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr int Domains = 3;
constexpr int DaemonsPerDomain = 2;
constexpr unsigned TargetConnections = 12;
constexpr unsigned OwnerConnections = TargetConnections / 2;
constexpr milliseconds OneWay{1};
constexpr milliseconds ShipLag{5};
constexpr milliseconds ResetDelay{1};
// At the end of a run callers continue for HealedSpan without faults; then
// QuietSpan without new requests lets every request get its answer.
constexpr milliseconds HealedSpan{8'000};
constexpr milliseconds QuietSpan{6'000};

std::string regionOf(int domain) { return domain < 2 ? "near" : "far"; }

Member memberOf(int domain, int n) {
  auto vm = fmt::format("vm{}{}", domain, n);
  return {VmName(vm),
          DomainName(fmt::format("d{}", domain)),
          RegionName(regionOf(domain)),
          vm,
          1,
          false};
}

} // namespace

World::World(std::uint64_t seed, const Safeguards &guards,
             const CallerOptions &callers)
    : Guards(guards), Sim(seed),
      Net(Sim, OneWay), Context{Sim, Net, RunHistory, Guards, Hooks} {
  makeNodes();
  makeDaemons(callers);
  for (auto &it : Targets) {
    it->ShipLag = ShipLag;
    it->initialize(it == Targets.front(), Targets.front().get());
  }
  publishMembers();
  for (auto &it : Daemons)
    it->start();
  Admin->apply();
  Traffic->start();
}

void World::makeNodes() {
  CallerNode = Net.add();
  Platform = std::make_unique<FakePlatform>(Context, Net.add());
  for (int n = 0; n < Domains; ++n)
    Targets.push_back(std::make_unique<FakeTarget>(
        Context, Net.add(), TargetName(fmt::format("t{}", n)),
        TargetConnections));
  Admin = std::make_unique<Operators>(Context, CallerNode, *Platform);
}

void World::makeDaemons(const CallerOptions &callers) {
  Daemon::Dependencies dependencies;
  for (int n = 0; n < Domains; ++n) {
    auto &target = Targets[static_cast<std::size_t>(n)];
    dependencies.Targets.push_back(target.get());
    dependencies.Localities.push_back({target->name(),
                                       DomainName(fmt::format("d{}", n)),
                                       RegionName(regionOf(n))});
  }
  dependencies.Platform = Platform.get();
  dependencies.Connections = OwnerConnections;
  dependencies.Find = [this](const VmName &vm) { return find(vm); };
  dependencies.Others = [this](const VmName &self) {
    std::vector<Peers::Peer> out;
    for (auto &it : Daemons)
      if (it->member().Vm != self)
        out.push_back({it->member(), it->node(), [peer = it.get()] {
                         return peer->KnownPeers.gossip();
                       }});
    return out;
  };
  for (int domain = 0; domain < Domains; ++domain)
    for (int n = 0; n < DaemonsPerDomain; ++n)
      Daemons.push_back(std::make_unique<Daemon>(
          Context, Net.add(), memberOf(domain, n), dependencies));
  Traffic = std::make_unique<Callers>(Context, CallerNode, callers,
                                      [this] { return pick(); });
}

Daemon *World::find(const VmName &vm) {
  for (auto &it : Daemons)
    if (it->member().Vm == vm)
      return it.get();
  return nullptr;
}

Daemon *World::pick() { return Daemons[Sim.Rng.below(Daemons.size())].get(); }

void World::publishMembers() {
  std::vector<Member> members;
  for (auto &it : Daemons) {
    auto member = it->member();
    member.Incarnation = it->incarnation();
    member.Leaving = it->draining();
    if (Net.isUp(it->node()))
      members.push_back(std::move(member));
  }
  Platform->setMembers(std::move(members));
}

FakeTarget *World::primary() {
  FakeTarget *best = Targets.front().get();
  for (auto &it : Targets) {
    auto report = it->report();
    auto known = best->report();
    if (report.IsPrimary &&
        (!known.IsPrimary || report.CurrentTerm > known.CurrentTerm))
      best = it.get();
  }
  return best;
}

FakeTarget *World::replica() {
  auto *leader = primary();
  auto n = Sim.Rng.below(Targets.size());
  if (Targets[n].get() == leader)
    n = (n + 1) % Targets.size();
  return Targets[n].get();
}

Daemon *World::ownerOf(const TargetName &target) {
  for (const auto &it : Daemons.front()->Requests.owned())
    if (it.Name == target)
      if (auto *daemon = find(it.Owner))
        return daemon;
  return Daemons.front().get();
}

std::size_t World::failovers() const {
  return RunHistory.Promotions.size() - 1;
}

void World::killTarget(FakeTarget &it) {
  Net.kill(it.node());
  for (auto &daemon : Daemons)
    if (!Net.link(it.node(), daemon->node()).Cut)
      Net.timer(daemon->node(), ResetDelay, [&daemon, name = it.name()] {
        daemon->TargetOwner.targetClosed(name);
      });
}

void World::killPrimary() { killTarget(*primary()); }

void World::killNode(NodeId node) {
  for (auto &it : Targets)
    if (it->node() == node)
      killTarget(*it);
  for (auto &it : Daemons)
    if (it->node() == node)
      Net.kill(node);
  publishMembers();
}

void World::startNode(NodeId node) {
  if (Net.isUp(node))
    return;
  Net.start(node);
  for (auto &it : Targets)
    if (it->node() == node)
      it->restart();
  for (auto &it : Daemons)
    if (it->node() == node)
      it->start();
  publishMembers();
}

void World::restartAll() {
  for (auto &it : Targets) {
    it->setLeaving(false);
    startNode(it->node());
  }
  for (auto &it : Daemons) {
    // A daemon that is still draining is ended first, then started anew.
    if (it->draining())
      Net.kill(it->node());
    startNode(it->node());
  }
}

void World::leave() {
  primary()->setLeaving(true);
  auto *daemon = pick();
  daemon->drain();
  publishMembers();
}

const History &World::finish() {
  Net.healAll();
  for (auto &it : Targets) {
    Net.resume(it->node());
    it->ShipLag = ShipLag;
  }
  for (auto &it : Daemons)
    Net.resume(it->node());
  Platform->Fault = PlatformFault::None;
  Platform->setListLag(false);
  restartAll();
  RunHistory.HealedAt = Sim.now();
  runFor(HealedSpan);
  Traffic->stop();
  runFor(QuietSpan);
  RunHistory.Surviving = primary()->log();
  for (auto &it : Daemons) {
    auto gossip = it->KnownPeers.gossip();
    RunHistory.RevisionsAtEnd.push_back({it->member().Vm, it->incarnation(),
                                         gossip.InForce.Revision,
                                         gossip.InForce.Id});
  }
  return RunHistory;
}

} // namespace peridotfall::proof
