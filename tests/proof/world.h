/// \file
/// One run: three failure domains in two regions, each with a target and two
/// entry VMs, the platform, callers and operators, on virtual time.

#ifndef PERIDOTFALL_PROOF_WORLD_H
#define PERIDOTFALL_PROOF_WORLD_H

#include "proof/callers.h"
#include "proof/faults.h"
#include "proof/operators.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotfall::proof {

class World {
public:
  World(std::uint64_t seed, const Safeguards &guards,
        const CallerOptions &callers = {});

  void runFor(Duration span) { Sim.runFor(span); }
  /// Runs the action as the next event of this moment.
  void soon(Action action) { Sim.after(Duration(0), std::move(action)); }
  TimePoint now() const { return Sim.now(); }
  Random &random() { return Sim.Rng; }
  Steps &steps() { return Reached; }

  /// Brings the fault about. \return what ends it.
  Action strike(const Fault &it);
  void killPrimary();
  void applyConfiguration() { Admin->apply(); }
  /// The primary leaves, and one entry daemon ends in order.
  void leave();
  void leaveReplica() { replica()->setLeaving(true); }
  void restartAll();

  /// Heals all, lets callers go on for a while, then ends the run.
  const History &finish();
  const History &history() const { return Past; }
  std::size_t failovers() const;
  FakeTarget *primary();

private:
  void makeNodes();
  void makeDaemons(const CallerOptions &callers);
  Daemon *find(const VmName &vm);
  Daemon *pick();
  Daemon *ownerOf(const TargetName &target);
  FakeTarget *replica();
  NodeId nodeAt(FaultPlace place);
  void killTarget(FakeTarget &it);
  void killNode(NodeId node);
  void startNode(NodeId node);
  /// All directions that the fault touches, first those out of the place.
  std::vector<std::pair<NodeId, NodeId>> linksAt(FaultPlace place, bool out,
                                                 bool in);
  Action strikeLinks(const Fault &it);
  Action pauseHolder();
  void publishMembers();

  Safeguards Guards;
  Simulation Sim;
  Network Net;
  History Past;
  Steps Reached;
  Setting All;
  NodeId CallerNode;
  std::unique_ptr<FakePlatform> Platform;
  std::vector<std::unique_ptr<FakeTarget>> Targets;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::unique_ptr<Callers> Traffic;
  std::unique_ptr<Operators> Admin;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_WORLD_H
