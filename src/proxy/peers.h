/// \file
/// The other daemons: who is alive, and what they say of a group's primary.

#ifndef PERIDOTFALL_PROXY_PEERS_H
#define PERIDOTFALL_PROXY_PEERS_H

#include "http/message.h"
#include "peridotfall/membership.h"
#include "proxy/relay.h"
#include "proxy/succession.h"

#include <functional>
#include <memory>

namespace peridotfall::proxy {

namespace limits {

/// Longest wait for a daemon's answer. Reason: well above a round trip of
/// 16 ms and a busy VM's delay; two in a row make a suspicion.
inline constexpr milliseconds PeerLimit{500};
/// The same where a change of primary waits for it.
inline constexpr milliseconds EvidenceLimit{250};
/// A primary that answered within this span counts as reached.
inline constexpr milliseconds ReachedWithin{700};
/// Daemons asked about a primary at most. Reason: a majority of 15 tells a
/// cut link from a dead target; asking all 1,700 would take longer.
inline constexpr std::size_t MostAsked = 15;
/// Members told in one message.
inline constexpr std::size_t MostNews = 32;

} // namespace limits

/// All calls on the loop.
class Peers {
public:
  Peers(Channels &channels, Member self, Groups &groups, const Clock &clock);

  std::function<void(const std::vector<Member> &live)> OnMembers;

  /// Takes the daemons that the store lists.
  void takeList(const std::vector<Member> &list);
  void tick();
  void leave();
  void raiseIncarnation(std::uint64_t incarnation);
  const Membership &members() const { return View; }

  /// Answers another daemon.
  void handle(const http::Request &request, const http::Respond &respond);
  void askLead(const GroupName &group, std::function<void(PeerEvidence)> done);

private:
  void probe(const Member &member);
  void answerNews(const http::Request &request, const http::Respond &respond);
  void answerLead(const http::Request &request, const http::Respond &respond);
  std::string newsFor(const VmName &vm);
  void publish();

  Channels &Links;
  Groups &Targets;
  const Clock &Time;
  Membership View;
  std::uint64_t Published = 0;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_PEERS_H
