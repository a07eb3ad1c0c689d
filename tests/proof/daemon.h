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
  struct Surroundings {
    std::vector<FakeTarget *> Targets;
    std::vector<TargetPlace> Places;
    FakePlatform *Platform = nullptr;
    unsigned Connections = 0; ///< To one target.
    std::function<Daemon *(const VmName &)> Find;
    std::function<std::vector<Peers::Peer>(const VmName &)> Others;
  };

  Daemon(Setting setting, NodeId node, Member member, Surroundings around);

  /// A new process: nothing is kept of an earlier one.
  void start();
  /// Ends in order: no new requests, then an end once none is under way.
  void drain();
  NodeId node() const { return Node; }
  const Member &member() const { return It; }
  std::uint64_t incarnation() const { return Incarnation; }
  bool draining() const { return IsDraining; }

  Entry Requests;
  Owner Targets;
  Peers Known;
  Coordinator Failover;

private:
  void tick();
  void endWhenIdle(TimePoint limit);

  Setting At;
  NodeId Node;
  Member It;
  Surroundings Around;
  std::uint64_t Incarnation = 0;
  bool IsDraining = false;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_DAEMON_H
