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
  /// Runs the action as an event at the current time.
  void schedule(Action action) { Sim.after(Duration(0), std::move(action)); }
  TimePoint now() const { return Sim.now(); }
  Random &random() { return Sim.Rng; }
  StepHooks &steps() { return Hooks; }

  /// Injects the fault. \return the action that ends it.
  Action inject(const Fault &it);
  void killPrimary();
  void applyConfiguration() { Admin->apply(); }
  /// Marks the primary as leaving, and shuts one daemon down gracefully.
  void leave();
  void leaveReplica() { replica()->setLeaving(true); }
  void restartAll();

  /// Ends all faults, lets callers continue for a while, then ends the run.
  const History &finish();
  const History &history() const { return RunHistory; }
  std::size_t failovers() const;
  FakeTarget *primary();

private:
  void makeNodes();
  void makeDaemons(const CallerOptions &callers);
  Daemon *find(const VmName &vm);
  Daemon *pick();
  Daemon *ownerOf(const TargetName &target);
  FakeTarget *replica();
  NodeId nodeAt(FaultLocation location);
  void killTarget(FakeTarget &it);
  void killNode(NodeId node);
  void startNode(NodeId node);
  /// \return the directed links from the location (\p out) and to it (\p in).
  std::vector<std::pair<NodeId, NodeId>> linksAt(FaultLocation location,
                                                 bool out, bool in);
  Action injectLinkFault(const Fault &it);
  Action pauseLeader();
  void publishMembers();

  Safeguards Guards;
  Simulation Sim;
  Network Net;
  History RunHistory;
  StepHooks Hooks;
  RunContext Context;
  NodeId CallerNode;
  std::unique_ptr<FakePlatform> Platform;
  std::vector<std::unique_ptr<FakeTarget>> Targets;
  std::vector<std::unique_ptr<Daemon>> Daemons;
  std::unique_ptr<Callers> Traffic;
  std::unique_ptr<Operators> Admin;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_WORLD_H
