#include "proxy/peers.h"

#include "messages/inner.h"
#include "messages/lease.h"
#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNone = 404;

} // namespace

std::vector<std::string> chooseEvenly(std::vector<std::string> all,
                                      std::size_t count) {
  if (all.size() <= count)
    return all;
  std::vector<std::string> out;
  for (std::size_t n = 0; n < count; ++n)
    out.push_back(std::move(all[n * all.size() / count]));
  return out;
}

Peers::Peers(Channels &channels, Member self, Groups &groups,
             const Clock &clock)
    : Links(channels), Targets(groups), Time(clock),
      View(self, MembershipOptions{}, self.Incarnation) {}

void Peers::updateMembers(const std::vector<Member> &list) {
  View.updateList(list, Time.now());
  publish();
}

void Peers::publish() {
  auto began = Time.now();
  if (View.generation() == Published || !Pace.isDue(began))
    return;
  Published = View.generation();
  auto live = View.live();
  telemetry::log(telemetry::Event::MembersChanged,
                 {telemetry::field("live", live.size()),
                  telemetry::field("known", View.known().size())});
  if (OnMembers)
    OnMembers(live);
  Pace.ran(began, Time.now());
}

std::string Peers::gossipFor(const VmName &vm) {
  messages::GossipMessage gossip;
  gossip.From = View.self();
  gossip.Members = View.recentChanges(Time.now(), limits::MaxGossipMembers);
  for (auto &it : View.recordsAbout(vm))
    gossip.Members.push_back(std::move(it));
  return messages::encode(gossip);
}

void Peers::probe(const Member &member) {
  if (member.InnerAddress.empty())
    return;
  auto done = [this, member](const http::CallResult &result) {
    auto now = Time.now();
    bool answered = result && result.value().Status == StatusOk;
    auto gossip = answered ? messages::decodeGossip(result.value().Body)
                           : Result<messages::GossipMessage>(Error{});
    if (!gossip) {
      View.handleMiss(member, now);
      Links.drop(member.InnerAddress);
    } else {
      View.handleAnswer(member, gossip.value().From, now);
      View.handleGossip(gossip.value().Members, now);
    }
    publish();
  };
  Links.call(member.InnerAddress, messages::GossipPath, gossipFor(member.Vm),
             limits::ProbeTimeout, done);
}

void Peers::tick() {
  for (const auto &it : View.probesDue(Time.now()))
    probe(it);
  publish();
}

void Peers::raiseIncarnation(std::uint64_t incarnation) {
  View.raiseIncarnation(incarnation);
  publish();
}

void Peers::leave() { View.leave(Time.now()); }

void Peers::handle(const http::Request &request, const http::Respond &respond) {
  if (request.Path == messages::GossipPath)
    answerGossip(request, respond);
  else if (request.Path == messages::LeaderViewPath)
    answerLeaderQuery(request, respond);
  else if (request.Path == messages::MissingPrimaryPath)
    acceptMissingReport(request, respond);
  else
    respond({StatusNone, {}, {}});
}

void Peers::answerGossip(const http::Request &request,
                         const http::Respond &respond) {
  auto gossip = messages::decodeGossip(request.Body);
  if (!gossip) {
    respond({StatusBadRequest, {}, gossip.error().Message});
    return;
  }
  auto now = Time.now();
  View.handleContact(gossip.value().From, now);
  View.handleGossip(gossip.value().Members, now);
  respond({StatusOk, {}, gossipFor(gossip.value().From.Info.Vm)});
  publish();
}

void Peers::answerLeaderQuery(const http::Request &request,
                              const http::Respond &respond) {
  auto query = messages::decodeLeaderQuery(request.Body);
  if (!query) {
    respond({StatusBadRequest, {}, query.error().Message});
    return;
  }
  auto *group = Targets.markUsed(query.value().Group);
  auto answer = [respond, known = group && !group->Targets.empty()](bool it) {
    messages::LeaderView out;
    out.GroupKnown = known;
    out.PrimaryReachable = it;
    respond({StatusOk, {}, messages::encode(out)});
  };
  auto proof = group ? group->View.lastConfirmed() : std::nullopt;
  bool isRecent = proof && Time.now() - *proof <= limits::ReachableWithin;
  // In a large fleet most daemons have not used the group for long.
  if (group && !group->LeaderMissingSince && !isRecent)
    Targets.checkPrimary(*group, limits::PrimaryCheckTimeout, answer);
  else
    answer(isRecent && !group->LeaderMissingSince);
}

void Peers::acceptMissingReport(const http::Request &request,
                                const http::Respond &respond) {
  auto report = messages::decodeLeaderQuery(request.Body);
  if (!report) {
    respond({StatusBadRequest, {}, report.error().Message});
    return;
  }
  Targets.handleMissingReport(report.value().Group);
  respond({StatusOk, {}, {}});
}

void Peers::reportMissing(const GroupName &group, const VmName &leader) {
  auto it = View.findMember(leader);
  if (!it || it->InnerAddress.empty() || leader == View.self().Info.Vm)
    return;
  Links.call(it->InnerAddress, messages::MissingPrimaryPath,
             messages::encode(messages::LeaderQuery{group}),
             limits::LeaderQueryTimeout, [](const http::CallResult &) {});
}

std::vector<std::string> Peers::queryAddresses() const {
  std::vector<std::string> all;
  for (const auto &it : View.live())
    if (it.Vm != View.self().Info.Vm && !it.InnerAddress.empty())
      all.push_back(it.InnerAddress);
  return chooseEvenly(std::move(all), limits::MaxPeersQueried);
}

void Peers::queryLeader(const GroupName &group,
                        std::function<void(PeerReports)> done) {
  struct Poll {
    std::size_t Left = 0;
    PeerReports Reports;
  };
  auto poll = std::make_shared<Poll>();
  auto addresses = queryAddresses();
  poll->Left = addresses.size();
  if (addresses.empty()) {
    done({});
    return;
  }
  auto body = messages::encode(messages::LeaderQuery{group});
  for (const auto &address : addresses) {
    auto handleResult = [poll, done](const http::CallResult &result) {
      if (result && result.value().Status == StatusOk) {
        auto view = messages::decodeLeaderView(result.value().Body);
        if (view && view.value().GroupKnown) {
          ++poll->Reports.Answered;
          poll->Reports.Reachable += view.value().PrimaryReachable;
        }
      }
      if (--poll->Left == 0)
        done(poll->Reports);
    };
    Links.call(address, messages::LeaderViewPath, body,
               limits::LeaderQueryTimeout, handleResult);
  }
}

} // namespace peridotfall::proxy
