#include "proxy/peers.h"

#include "messages/inner.h"
#include "messages/lease.h"
#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBad = 400;
constexpr int StatusNone = 404;

} // namespace

Peers::Peers(Channels &channels, Member self, Groups &groups,
             const Clock &clock)
    : Links(channels), Targets(groups), Time(clock),
      View(self, MembershipOptions{}, self.Incarnation) {}

void Peers::takeList(const std::vector<Member> &list) {
  View.takeList(list, Time.now());
  publish();
}

void Peers::publish() {
  if (View.generation() == Published)
    return;
  Published = View.generation();
  auto live = View.live();
  telemetry::log(telemetry::Event::MembersChanged,
                 {telemetry::field("live", live.size()),
                  telemetry::field("known", View.known().size())});
  if (OnMembers)
    OnMembers(live);
}

std::string Peers::gossipFor(const VmName &vm) {
  messages::News gossip;
  gossip.From = View.self();
  gossip.Members = View.recent(Time.now(), limits::MaxGossipMembers);
  for (auto &it : View.about(vm))
    gossip.Members.push_back(std::move(it));
  return messages::encode(gossip);
}

void Peers::probe(const Member &member) {
  if (member.InnerAddress.empty())
    return;
  auto done = [this, member](const http::CallResult &result) {
    auto now = Time.now();
    bool answered = result && result.value().Status == StatusOk;
    auto gossip = answered ? messages::decodeNews(result.value().Body)
                           : Result<messages::News>(Error{});
    if (!gossip) {
      View.takeMiss(member, now);
      Links.drop(member.InnerAddress);
    } else {
      View.takeAnswer(member, gossip.value().From, now);
      View.takeNews(gossip.value().Members, now);
    }
    publish();
  };
  Links.call(member.InnerAddress, messages::NewsPath, gossipFor(member.Vm),
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
  if (request.Path == messages::NewsPath)
    answerGossip(request, respond);
  else if (request.Path == messages::LeadViewPath)
    answerLeaderQuery(request, respond);
  else
    respond({StatusNone, {}, {}});
}

void Peers::answerGossip(const http::Request &request,
                         const http::Respond &respond) {
  auto gossip = messages::decodeNews(request.Body);
  if (!gossip) {
    respond({StatusBad, {}, gossip.error().Message});
    return;
  }
  auto now = Time.now();
  View.takeContact(gossip.value().From, now);
  View.takeNews(gossip.value().Members, now);
  respond({StatusOk, {}, gossipFor(gossip.value().From.It.Vm)});
  publish();
}

void Peers::answerLeaderQuery(const http::Request &request,
                              const http::Respond &respond) {
  auto query = messages::decodeLeadQuestion(request.Body);
  if (!query) {
    respond({StatusBad, {}, query.error().Message});
    return;
  }
  messages::LeadView out;
  auto *group = Targets.use(query.value().Group);
  out.Known = group && !group->Targets.empty();
  if (out.Known) {
    auto proof = group->View.lastProof();
    out.Reaches = !group->LeaderMissing && proof &&
                  Time.now() - *proof <= limits::ReachableWithin;
  }
  respond({StatusOk, {}, messages::encode(out)});
}

void Peers::askLead(const GroupName &group,
                    std::function<void(PeerEvidence)> done) {
  struct Poll {
    std::size_t Left = 0;
    PeerEvidence Reports;
  };
  auto poll = std::make_shared<Poll>();
  std::vector<std::string> addresses;
  for (const auto &it : View.live())
    if (it.Vm != View.self().It.Vm && !it.InnerAddress.empty() &&
        addresses.size() < limits::MaxPeersQueried)
      addresses.push_back(it.InnerAddress);
  poll->Left = addresses.size();
  if (addresses.empty()) {
    done({});
    return;
  }
  auto body = messages::encode(messages::LeadQuestion{group});
  for (const auto &address : addresses) {
    auto handleResult = [poll, done](const http::CallResult &result) {
      if (result && result.value().Status == StatusOk) {
        auto view = messages::decodeLeadView(result.value().Body);
        if (view && view.value().Known) {
          ++poll->Reports.Answered;
          poll->Reports.Reach += view.value().Reaches;
        }
      }
      if (--poll->Left == 0)
        done(poll->Reports);
    };
    Links.call(address, messages::LeadViewPath, body,
               limits::LeaderQueryTimeout, handleResult);
  }
}

} // namespace peridotfall::proxy
