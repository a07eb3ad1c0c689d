#include "proof/peers.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds PingInterval{200};
constexpr milliseconds PingLimit{400};
/// A daemon that has not answered for this long is not considered live.
constexpr milliseconds LiveLimit{800};
constexpr milliseconds ListInterval{1'000};
constexpr milliseconds ConfigurationInterval{300};

} // namespace

std::string writeRevision(const Configuration &it) {
  return fmt::format("{} {}", it.Revision, it.Id);
}

Configuration parseRevision(const std::string &text) {
  Configuration out;
  auto space = text.find(' ');
  if (space == std::string::npos)
    return out;
  out.Revision = std::stoull(text.substr(0, space));
  out.Id = text.substr(space + 1);
  return out;
}

void Peers::start(std::vector<Peer> others, std::uint64_t incarnation) {
  Others = std::move(others);
  OwnMember.Incarnation = incarnation;
  OwnMember.Leaving = false;
  Answered.clear();
  Leaving.clear();
  Listed.clear();
  View = {};
  Observes = false;
  InForce = std::make_unique<ConfigurationInForce>();
  Unguarded = {};
  for (std::size_t n = 0; n < Others.size(); ++n) {
    Listed.push_back(Others[n].MemberInfo);
    Answered[Others[n].MemberInfo.Vm] = Context.Sim.now();
    ping(n);
  }
  readList();
  readConfiguration();
}

std::vector<Member> Peers::live() const {
  std::vector<Member> out{OwnMember};
  for (auto member : Listed) {
    auto answered = Answered.find(member.Vm);
    if (member.Vm == OwnMember.Vm || answered == Answered.end() ||
        Context.Sim.now() - answered->second > LiveLimit)
      continue;
    auto leaving = Leaving.find(member.Vm);
    member.Leaving =
        member.Leaving || (leaving != Leaving.end() && leaving->second);
    out.push_back(std::move(member));
  }
  return out;
}

void Peers::offerView(const GroupView &it) {
  if (!it.Primary.empty() && it.InTerm >= View.InTerm)
    View = it;
}

void Peers::offerConfiguration(const Configuration &it) {
  if (it.Revision == 0)
    return;
  bool accepted = false;
  if (Context.Guards.RevisionNeverFalls) {
    accepted = InForce->updateIfNewer(it);
  } else {
    accepted = Unguarded.Id != it.Id;
    Unguarded = it;
  }
  if (!accepted)
    return;
  Context.RunHistory.Revisions.push_back(
      {this->OwnMember.Vm, this->OwnMember.Incarnation, it.Revision, it.Id});
  auto daemons = std::count_if(
      Context.RunHistory.Revisions.begin(), Context.RunHistory.Revisions.end(),
      [&](const RevisionSeen &n) { return n.Id == it.Id; });
  if (daemons == 1)
    Context.Hooks.reached(Step::ConfigurationPassedOn);
  if (static_cast<std::size_t>(daemons) == Others.size() / 2 + 1)
    Context.Hooks.reached(Step::ConfigurationHalfInForce);
}

GossipMessage Peers::gossip() const {
  auto config = InForce->get();
  return {View,
          !Context.Guards.RevisionNeverFalls ? Unguarded
          : config                           ? *config
                                             : Configuration(),
          OwnMember.Leaving, Observes};
}

void Peers::ping(std::size_t peer) {
  const auto &it = Others[peer];
  Context.Net.call<GossipMessage>(
      Self, it.Node, PingLimit,
      [getGossip = it.GetGossip](auto reply) { reply(getGossip()); },
      [this, vm = it.MemberInfo.Vm](const Result<GossipMessage> &gossip) {
        if (!gossip)
          return;
        Answered[vm] = Context.Sim.now();
        Leaving[vm] = gossip.value().Leaving;
        // A view that a peer did not observe itself may be outdated within the
        // same term and would remove a leaving target again.
        if (gossip.value().Observes || gossip.value().View.InTerm > View.InTerm)
          offerView(gossip.value().View);
        offerConfiguration(gossip.value().InForce);
      });
  Context.Net.timer(Self,
                    PingInterval + milliseconds(Context.Sim.Rng.below(20)),
                    [this, peer] { ping(peer); });
}

void Peers::readList() {
  Platform.listVms(Self, [this](const Result<std::vector<Member>> &it) {
    if (it)
      Listed = it.value();
  });
  Context.Net.timer(Self, ListInterval, [this] { readList(); });
}

void Peers::readConfiguration() {
  Platform.get(Self, ConfigurationObject,
               [this](const Result<StoredObject> &it) {
                 if (it)
                   offerConfiguration(parseRevision(it.value().Value));
               });
  Context.Net.timer(Self, ConfigurationInterval,
                    [this] { readConfiguration(); });
}

} // namespace peridotfall::proof
