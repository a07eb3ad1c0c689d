/// \file
/// One daemon of a run: entry, owner, peers and coordinator on one node.

#ifndef PERIDOTFALL_PROOF_DAEMON_H
#define PERIDOTFALL_PROOF_DAEMON_H

#include "proof/entry.h"

#include <functional>
#include <vector>

namespace peridotfall::proof {

class Daemon {
public:
  struct Dependencies {
    std::vector<FakeTarget *> Targets;
    std::vector<TargetLocality> Localities;
    FakePlatform *Platform = nullptr;
    unsigned Connections = 0; ///< To one target.
    std::function<Daemon *(const VmName &)> Find;
    std::function<std::vector<Peers::Peer>(const VmName &)> Others;
  };

  Daemon(RunContext context, NodeId node, Member member,
         Dependencies dependencies);

  /// Starts a new process, without any state of an earlier one.
  void start();
  /// Shuts down gracefully: refuses new requests, then ends when none is in
  /// flight.
  void drain();
  NodeId node() const { return Node; }
  const Member &member() const { return OwnMember; }
  std::uint64_t incarnation() const { return Incarnation; }
  bool draining() const { return IsDraining; }

  Entry Requests;
  Owner TargetOwner;
  Peers KnownPeers;
  Coordinator Failover;

private:
  void tick();
  void endWhenIdle(TimePoint limit);

  RunContext Context;
  NodeId Node;
  Member OwnMember;
  Dependencies Deps;
  std::uint64_t Incarnation = 0;
  bool IsDraining = false;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_DAEMON_H
