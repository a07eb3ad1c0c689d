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

std::string Peers::newsFor(const VmName &vm) {
  messages::News news;
  news.From = View.self();
  news.Members = View.recent(Time.now(), limits::MostNews);
  for (auto &it : View.about(vm))
    news.Members.push_back(std::move(it));
  return messages::encode(news);
}

void Peers::probe(const Member &member) {
  if (member.InnerAddress.empty())
    return;
  auto done = [this, member](const http::CallResult &result) {
    auto now = Time.now();
    bool answered = result && result.value().Status == StatusOk;
    auto news = answered ? messages::decodeNews(result.value().Body)
                         : Result<messages::News>(Error{});
    if (!news) {
      View.takeMiss(member, now);
      Links.drop(member.InnerAddress);
    } else {
      View.takeAnswer(member, news.value().From, now);
      View.takeNews(news.value().Members, now);
    }
    publish();
  };
  Links.call(member.InnerAddress, messages::NewsPath, newsFor(member.Vm),
             limits::PeerLimit, done);
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
    answerNews(request, respond);
  else if (request.Path == messages::LeadViewPath)
    answerLead(request, respond);
  else
    respond({StatusNone, {}, {}});
}

void Peers::answerNews(const http::Request &request,
                       const http::Respond &respond) {
  auto news = messages::decodeNews(request.Body);
  if (!news) {
    respond({StatusBad, {}, news.error().Message});
    return;
  }
  auto now = Time.now();
  View.takeContact(news.value().From, now);
  View.takeNews(news.value().Members, now);
  respond({StatusOk, {}, newsFor(news.value().From.It.Vm)});
  publish();
}

void Peers::answerLead(const http::Request &request,
                       const http::Respond &respond) {
  auto question = messages::decodeLeadQuestion(request.Body);
  if (!question) {
    respond({StatusBad, {}, question.error().Message});
    return;
  }
  messages::LeadView out;
  auto *group = Targets.use(question.value().Group);
  out.Known = group && !group->Targets.empty();
  if (out.Known) {
    auto proof = group->View.lastProof();
    out.Reaches = !group->LeaderMissing && proof &&
                  Time.now() - *proof <= limits::ReachedWithin;
  }
  respond({StatusOk, {}, messages::encode(out)});
}

void Peers::askLead(const GroupName &group,
                    std::function<void(PeerEvidence)> done) {
  struct Poll {
    std::size_t Left = 0;
    PeerEvidence Heard;
  };
  auto poll = std::make_shared<Poll>();
  std::vector<std::string> addresses;
  for (const auto &it : View.live())
    if (it.Vm != View.self().It.Vm && !it.InnerAddress.empty() &&
        addresses.size() < limits::MostAsked)
      addresses.push_back(it.InnerAddress);
  poll->Left = addresses.size();
  if (addresses.empty()) {
    done({});
    return;
  }
  auto body = messages::encode(messages::LeadQuestion{group});
  for (const auto &address : addresses) {
    auto heard = [poll, done](const http::CallResult &result) {
      if (result && result.value().Status == StatusOk) {
        auto view = messages::decodeLeadView(result.value().Body);
        if (view && view.value().Known) {
          ++poll->Heard.Answered;
          poll->Heard.Reach += view.value().Reaches;
        }
      }
      if (--poll->Left == 0)
        done(poll->Heard);
    };
    Links.call(address, messages::LeadViewPath, body, limits::EvidenceLimit,
               heard);
  }
}

} // namespace peridotfall::proxy
