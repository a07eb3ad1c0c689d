#include "proof/daemon.h"

#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds TickInterval{25};
/// Time for every other daemon to learn that this one leaves.
constexpr milliseconds DrainNotice{1'500};
constexpr milliseconds DrainLimit{10'000};
constexpr milliseconds DrainPoll{20};

Coordinator::Dependencies
coordinatorDependencies(const Daemon::Dependencies &dependencies, Peers &known,
                        Owner &owner) {
  return {dependencies.Targets, dependencies.Platform,
          [find = dependencies.Find](const VmName &vm) -> Coordinator * {
            auto *it = find(vm);
            return it ? &it->Failover : nullptr;
          },
          [&known](const GroupView &it) { known.offerView(it); },
          [&owner](TimePoint until) { owner.holdWrites(until); }};
}

} // namespace

Daemon::Daemon(RunContext context, NodeId node, Member member,
               Dependencies dependencies)
    : Requests(context, node, member, dependencies.Localities, KnownPeers,
               [find = dependencies.Find](
                   const VmName &vm) -> std::optional<OwnerLink> {
                 auto *it = find(vm);
                 if (!it)
                   return std::nullopt;
                 return OwnerLink{it->node(), &it->TargetOwner};
               }),
      TargetOwner(context, node, dependencies.Targets,
                  dependencies.Connections),
      KnownPeers(context, node, member, *dependencies.Platform),
      Failover(context, node, member.Vm,
               coordinatorDependencies(dependencies, KnownPeers, TargetOwner)),
      Context(context), Node(node), OwnMember(std::move(member)),
      Deps(std::move(dependencies)) {}

void Daemon::start() {
  ++Incarnation;
  IsDraining = false;
  Context.Net.start(Node);
  Requests.reset();
  TargetOwner.reset();
  Failover.reset();
  KnownPeers.start(Deps.Others(OwnMember.Vm), Incarnation);
  tick();
}

void Daemon::tick() {
  Failover.tick(Requests.owned());
  KnownPeers.setObserves(Failover.observes());
  Context.Net.timer(Node, TickInterval, [this] { tick(); });
}

void Daemon::drain() {
  IsDraining = true;
  Requests.drain();
  KnownPeers.setLeaving();
  Context.Hooks.reached(Step::Draining);
  if (!Context.Guards.DrainWaits) {
    endWhenIdle(Context.Sim.now());
    return;
  }
  Context.Net.timer(Node, DrainNotice,
                    [this] { endWhenIdle(Context.Sim.now() + DrainLimit); });
}

void Daemon::endWhenIdle(TimePoint limit) {
  auto n = Requests.inFlight() + TargetOwner.inFlight();
  if (n > 0 && Context.Sim.now() < limit) {
    Context.Net.timer(Node, DrainPoll, [this, limit] { endWhenIdle(limit); });
    return;
  }
  Context.RunHistory.CutByShutdown += n;
  Context.Net.kill(Node);
}

} // namespace peridotfall::proof
