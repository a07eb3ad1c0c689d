/// \file
/// What one daemon knows of the others and of the configuration: the
/// platform's lagging list corrected by its own probes, views of the group
/// and revisions compared with peers.

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

/// What daemons tell each other.
struct News {
  GroupView View;
  Configuration InForce;
  bool Leaving = false;
  bool Observes = false; ///< It sees the targets itself.

  auto operator<=>(const News &) const = default;
};

class Peers {
public:
  struct Peer {
    Member It;
    NodeId Node;
    std::function<News()> Tell; ///< Runs at the peer.
  };

  Peers(Setting setting, NodeId self, Member member, FakePlatform &platform)
      : At(setting), Self(self), It(std::move(member)), Platform(platform) {}

  void start(std::vector<Peer> others, std::uint64_t incarnation);
  /// Those that are listed and answer, and this daemon.
  std::vector<Member> live() const;
  const GroupView &view() const { return View; }
  /// Takes a view of a term that is not lower.
  void offerView(const GroupView &it);
  /// Whether this daemon sees the targets itself.
  void setObserves(bool observes) { Observes = observes; }
  void offerConfiguration(const Configuration &it);
  News news() const;
  void setLeaving() { It.Leaving = true; }

private:
  void ping(std::size_t peer);
  void readList();
  void readConfiguration();

  Setting At;
  NodeId Self;
  Member It;
  FakePlatform &Platform;
  std::vector<Peer> Others;
  std::map<VmName, TimePoint> Answered;
  std::map<VmName, bool> Leaving;
  std::vector<Member> Listed;
  GroupView View;
  bool Observes = false;
  std::unique_ptr<ConfigurationInForce> InForce;
  Configuration Unguarded; ///< In place of it, without the safeguard.
};

std::string writeRevision(const Configuration &it);
Configuration parseRevision(const std::string &text);

inline constexpr auto ConfigurationObject = "peridotfall/configuration";

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_PEERS_H
