/// \file
/// A daemon's view of its peers and of the configuration: the platform's
/// lagging list, corrected by its own pings, and the group views and
/// configuration revisions exchanged with peers.

#ifndef PERIDOTFALL_PROOF_PEERS_H
#define PERIDOTFALL_PROOF_PEERS_H

#include "config/in_force.h"
#include "proof/coordinator.h"
#include "proof/fake_platform.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace peridotfall::proof {

/// Exchanged between daemons.
struct GossipMessage {
  GroupView View;
  Configuration InForce;
  bool Leaving = false;
  bool Observes = false; ///< The sender probes the targets itself.

  auto operator<=>(const GossipMessage &) const = default;
};

class Peers {
public:
  struct Peer {
    Member MemberInfo;
    NodeId Node;
    std::function<GossipMessage()> GetGossip; ///< Runs at the peer.
  };

  Peers(RunContext context, NodeId self, Member member, FakePlatform &platform)
      : Context(context), Self(self), OwnMember(std::move(member)),
        Platform(platform) {}

  void start(std::vector<Peer> others, std::uint64_t incarnation);
  /// This daemon, and those that are listed and answer.
  std::vector<Member> live() const;
  const GroupView &view() const { return View; }
  /// Replaces the view unless the new one is of a lower term.
  void offerView(const GroupView &it);
  /// Whether this daemon probes the targets itself.
  void setObserves(bool observes) { Observes = observes; }
  void offerConfiguration(const Configuration &it);
  GossipMessage gossip() const;
  void setLeaving() { OwnMember.Leaving = true; }

private:
  void ping(std::size_t peer);
  void readList();
  void readConfiguration();

  RunContext Context;
  NodeId Self;
  Member OwnMember;
  FakePlatform &Platform;
  std::vector<Peer> Others;
  std::map<VmName, TimePoint> Answered;
  std::map<VmName, bool> Leaving;
  std::vector<Member> Listed;
  GroupView View;
  bool Observes = false;
  std::unique_ptr<ConfigurationInForce> InForce;
  Configuration Unguarded; ///< Used instead if the safeguard is disabled.
};

std::string writeRevision(const Configuration &it);
Configuration parseRevision(const std::string &text);

inline constexpr auto ConfigurationObject = "peridotfall/configuration";

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_PEERS_H
