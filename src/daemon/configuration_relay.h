/// \file
/// Synchronizes the configuration, the list of VMs and the membership among
/// all daemons: by probes, by comparison with peers, and by announcements that
/// are forwarded along a tree.

#ifndef PERIDOTFALL_DAEMON_CONFIGURATION_RELAY_H
#define PERIDOTFALL_DAEMON_CONFIGURATION_RELAY_H

#include "config/in_force.h"
#include "daemon/fleet.h"
#include "http/message.h"
#include "membership/vm_list.h"
#include "messages/inner.h"
#include "peridotfall/clock.h"

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace peridotfall {

/// All state is confined to one event loop.
class ConfigurationRelay
    : public std::enable_shared_from_this<ConfigurationRelay> {
public:
  /// \param seeds inner addresses of peers to fetch the configuration from
  /// until one is in force. Allows a start while the platform is down.
  ConfigurationRelay(asio::io_context &loop, const Clock &clock,
                     ConfigurationInForce &config, Fleet &fleet,
                     std::vector<std::string> seeds);

  void start();
  void stop();
  /// Announces to the other members that this daemon is leaving; it owns no
  /// targets from now on.
  void leave();
  /// Applies and announces data read from the platform. Thread-safe.
  void offerConfiguration(Configuration config);
  void offerList(std::vector<Member> list);
  /// Answers a request of another daemon. \return whether the path belongs to
  /// the relay. Thread-safe.
  bool serve(const http::Request &request, const http::Respond &respond);
  /// \return the result of the last configuration fetch, for /readyz.
  std::string lastPeerResult() const;

private:
  using Done = std::function<void()>;

  /// Allows one fetch at a time. Further requests are queued and checked again
  /// when it ends: a change arrives along the trees of all watchers within a
  /// few milliseconds, and each fetch would transfer up to a megabyte.
  struct Fetch {
    bool Busy = false;
    std::vector<Done> Queued;
  };
  static void finishFetch(Fetch &it);

  void post(std::function<void()> action);
  void tick();
  void fetchFromSeeds();
  messages::GossipMessage makeGossip(const std::vector<MemberRecord> &members);
  void probe(const Member &member);
  messages::GossipMessage answerGossip(const messages::GossipMessage &gossip);
  void handleGossip(const messages::GossipMessage &gossip,
                    bool announceToDomain, const Done &done);
  void fetchNewerConfiguration(const messages::GossipMessage &gossip,
                               bool announceToDomain, const Done &done);
  void fetchNewerList(const messages::GossipMessage &gossip, const Done &done);
  void fetchConfiguration(const std::string &address, bool announceToDomain,
                          const Done &done);
  void fetchList(const std::string &address, const Done &done);
  void recordPeerResult(const std::string &address, const std::string &why);
  bool applyConfiguration(Configuration config);
  bool applyList(const messages::VmList &list);
  void announce(const std::vector<MemberRecord> &members, bool domainOnly);
  void forwardToChildren(const messages::GossipMessage &gossip,
                         const VmName &node);
  void send(const Member &child, const messages::GossipMessage &gossip);
  /// \return false if the announcement was seen before.
  bool markSeen(std::uint64_t treeId);
  void call(const std::string &address, const char *path, std::string body,
            const http::AnswerLimits &limits, http::OnResult done);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  const Clock &Time;
  ConfigurationInForce &Config;
  Fleet &Peers;
  const std::vector<std::string> Seeds;
  VmListInForce Vms;
  Fetch ConfigurationFetch;
  Fetch ListFetch;
  std::set<std::uint64_t> SeenTrees;
  std::deque<std::uint64_t> SeenOrder;
  std::mt19937_64 Random;
  TimePoint NextSeeds{};
  TimePoint NextCleanup{};
  std::uint64_t LoggedGeneration = 0; ///< Of the membership view.
  bool Stopped = false;
  mutable std::mutex PeerResultLock;
  std::string PeerResult;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CONFIGURATION_RELAY_H
