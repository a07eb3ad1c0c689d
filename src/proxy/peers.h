/// \file
/// The other daemons: membership, and their reports about a group's primary.

#ifndef PERIDOTFALL_PROXY_PEERS_H
#define PERIDOTFALL_PROXY_PEERS_H

#include "http/message.h"
#include "peridotfall/membership.h"
#include "proxy/failover_controller.h"
#include "proxy/relay.h"
#include "proxy/update_pace.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Timeout of a probe. It is well above a round trip of 16 ms plus the delay of
/// a busy VM; two missed answers in a row make a daemon suspected.
inline constexpr milliseconds ProbeTimeout{500};
/// Timeout of a leader query, which delays a change of the primary.
inline constexpr milliseconds LeaderQueryTimeout{250};
/// Timeout of the check of a primary that the asked daemon does not use; the
/// rest of the query's time is for the way there and back.
inline constexpr milliseconds PrimaryCheckTimeout{180};
/// A primary that answered within this span is reported as reachable.
inline constexpr milliseconds ReachableWithin{700};
/// Maximum number of daemons in a leader query, evenly chosen by name and so
/// from all failure domains. A majority of 15 distinguishes a cut link from a
/// failed target; querying all 1,700 would take longer.
inline constexpr std::size_t MaxPeersQueried = 15;
/// Maximum number of recent members in one gossip message.
inline constexpr std::size_t MaxGossipMembers = 32;

} // namespace limits

/// \return \p count of the values at even distances, or all if there are fewer.
std::vector<std::string> chooseEvenly(std::vector<std::string> all,
                                      std::size_t count);

/// All calls on the loop's thread.
class Peers {
public:
  Peers(Channels &channels, Member self, Groups &groups, const Clock &clock);

  /// Called when the live members have changed; under many changes at a bounded
  /// rate, with all changes since the last call.
  std::function<void(const std::vector<Member> &live)> OnMembers;

  /// Updates the membership from the store's list of daemons.
  void updateMembers(const std::vector<Member> &list);
  void tick();
  void leave();
  void raiseIncarnation(std::uint64_t incarnation);
  const Membership &members() const { return View; }

  /// Answers a request of another daemon.
  void handle(const http::Request &request, const http::Respond &respond);
  void queryLeader(const GroupName &group,
                   std::function<void(PeerReports)> done);
  /// Reports a missing primary to the failover leader. Only daemons that use a
  /// group notice that its primary fails, and the leader of a large fleet uses
  /// few groups.
  void reportMissing(const GroupName &group, const VmName &leader);

private:
  void probe(const Member &member);
  void answerGossip(const http::Request &request, const http::Respond &respond);
  void answerLeaderQuery(const http::Request &request,
                         const http::Respond &respond);
  void acceptMissingReport(const http::Request &request,
                           const http::Respond &respond);
  /// \return the addresses of the daemons to ask for their view.
  std::vector<std::string> queryAddresses() const;
  std::string gossipFor(const VmName &vm);
  /// Calls OnMembers if there are changes and an update is due.
  void publish();

  Channels &Links;
  Groups &Targets;
  const Clock &Time;
  Membership View;
  std::uint64_t Published = 0;
  UpdatePace Pace;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_PEERS_H
