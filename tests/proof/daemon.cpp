#include "proof/daemon.h"

#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds TickInterval{25};
/// Until every other daemon has learnt that this one leaves.
constexpr milliseconds DrainNotice{1'500};
constexpr milliseconds DrainLimit{10'000};
constexpr milliseconds DrainPoll{20};

Coordinator::Links linksOf(const Daemon::Surroundings &around, Peers &known,
                           Owner &owner) {
  return {around.Targets, around.Platform,
          [find = around.Find](const VmName &vm) -> Coordinator * {
            auto *it = find(vm);
            return it ? &it->Failover : nullptr;
          },
          [&known](const GroupView &it) { known.offerView(it); },
          [&owner](TimePoint until) { owner.holdWrites(until); }};
}

} // namespace

Daemon::Daemon(Setting setting, NodeId node, Member member, Surroundings around)
    : Requests(
          setting, node, member, around.Places, Known,
          [find = around.Find](const VmName &vm) -> std::optional<OwnerLink> {
            auto *it = find(vm);
            if (!it)
              return std::nullopt;
            return OwnerLink{it->node(), &it->Targets};
          }),
      Targets(setting, node, around.Targets, around.Connections),
      Known(setting, node, member, *around.Platform),
      Failover(setting, node, member.Vm, linksOf(around, Known, Targets)),
      At(setting), Node(node), It(std::move(member)),
      Around(std::move(around)) {}

void Daemon::start() {
  ++Incarnation;
  IsDraining = false;
  At.Net.start(Node);
  Requests.reset();
  Targets.reset();
  Failover.reset();
  Known.start(Around.Others(It.Vm), Incarnation);
  tick();
}

void Daemon::tick() {
  Failover.tick(Requests.owned());
  Known.setObserves(Failover.observes());
  At.Net.timer(Node, TickInterval, [this] { tick(); });
}

void Daemon::drain() {
  IsDraining = true;
  Requests.drain();
  Known.setLeaving();
  At.Reached.pass(Step::Draining);
  if (!At.Guards.DrainWaits) {
    endWhenIdle(At.Sim.now());
    return;
  }
  At.Net.timer(Node, DrainNotice,
               [this] { endWhenIdle(At.Sim.now() + DrainLimit); });
}

void Daemon::endWhenIdle(TimePoint limit) {
  auto n = Requests.inFlight() + Targets.inFlight();
  if (n > 0 && At.Sim.now() < limit) {
    At.Net.timer(Node, DrainPoll, [this, limit] { endWhenIdle(limit); });
    return;
  }
  At.Past.CutByShutdown += n;
  At.Net.kill(Node);
}

} // namespace peridotfall::proof
