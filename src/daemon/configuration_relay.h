/// \file
/// Keeps the configuration, the list of VMs and the membership the same at
/// all daemons: probes, comparisons with peers, and announcements that are
/// passed down a tree.

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

/// Its state is confined to one loop.
class ConfigurationRelay
    : public std::enable_shared_from_this<ConfigurationRelay> {
public:
  /// \param seeds inner addresses of peers to ask until a configuration is in
  /// force, for a start while the platform is down.
  ConfigurationRelay(asio::io_context &loop, const Clock &clock,
                     ConfigurationInForce &config, Fleet &fleet,
                     std::vector<std::string> seeds);

  void start();
  void stop();
  /// Tells the others that this daemon leaves, and owns nothing from now on.
  void leave();
  /// Takes what this daemon read from the platform. From any thread.
  void offerConfiguration(Configuration config);
  void offerList(std::vector<Member> list);
  /// Answers a request of another daemon. \return whether the path is one of
  /// its own. From any thread.
  bool serve(const http::Request &request, const http::Respond &respond);
  /// \return why no configuration could be had from peers, for /readyz.
  std::string peersTried() const;

private:
  using Done = std::function<void()>;

  /// One fetch at a time; who else heard of the same looks again after it.
  /// Load: one change comes along the trees of all watchers within a few
  /// milliseconds. Harm: each copy is up to a megabyte.
  struct Flight {
    bool Busy = false;
    std::vector<Done> Waiting;
  };
  static void land(Flight &it);

  void post(std::function<void()> action);
  void tick();
  void askSeeds();
  messages::News makeNews(const std::vector<MemberRecord> &members);
  void probe(const Member &member);
  messages::News answerNews(const messages::News &news);
  void take(const messages::News &news, bool spread, const Done &done);
  void takeRevision(const messages::News &news, bool spread, const Done &done);
  void takeStamp(const messages::News &news, const Done &done);
  void fetchConfiguration(const std::string &address, bool spread,
                          const Done &done);
  void fetchList(const std::string &address, const Done &done);
  void tried(const std::string &address, const std::string &why);
  bool takeConfiguration(Configuration config);
  bool takeList(const messages::VmList &list);
  void announce(const std::vector<MemberRecord> &members, bool domainOnly);
  void passOn(const messages::News &news, const VmName &node);
  void send(const Member &child, const messages::News &news);
  bool firstTime(std::uint64_t treeId);
  void call(const std::string &address, const char *path, std::string body,
            const http::AnswerLimits &limits, http::OnResult done);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  const Clock &Time;
  ConfigurationInForce &Config;
  Fleet &Peers;
  const std::vector<std::string> Seeds;
  VmListInForce Vms;
  Flight ConfigurationFlight;
  Flight ListFlight;
  std::set<std::uint64_t> SeenTrees;
  std::deque<std::uint64_t> SeenOrder;
  std::mt19937_64 Random;
  TimePoint NextSeeds{};
  TimePoint NextCleaning{};
  std::uint64_t Generation = 0; ///< Of the view last logged.
  bool Stopped = false;
  mutable std::mutex TriedLock;
  std::string Tried;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CONFIGURATION_RELAY_H
