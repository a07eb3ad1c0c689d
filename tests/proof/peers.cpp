#include "proof/peers.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds PingInterval{200};
constexpr milliseconds PingLimit{400};
/// A daemon that answered nothing for so long is passed over.
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
  It.Incarnation = incarnation;
  It.Leaving = false;
  Answered.clear();
  Leaving.clear();
  Listed.clear();
  View = {};
  Observes = false;
  InForce = std::make_unique<ConfigurationInForce>();
  Unguarded = {};
  for (std::size_t n = 0; n < Others.size(); ++n) {
    Listed.push_back(Others[n].It);
    Answered[Others[n].It.Vm] = At.Sim.now();
    ping(n);
  }
  readList();
  readConfiguration();
}

std::vector<Member> Peers::live() const {
  std::vector<Member> out{It};
  for (auto member : Listed) {
    auto answered = Answered.find(member.Vm);
    if (member.Vm == It.Vm || answered == Answered.end() ||
        At.Sim.now() - answered->second > LiveLimit)
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
  bool taken = false;
  if (At.Guards.RevisionNeverFalls) {
    taken = InForce->offer(it);
  } else {
    taken = Unguarded.Id != it.Id;
    Unguarded = it;
  }
  if (!taken)
    return;
  At.Past.Revisions.push_back(
      {this->It.Vm, this->It.Incarnation, it.Revision, it.Id});
  auto holders =
      std::count_if(At.Past.Revisions.begin(), At.Past.Revisions.end(),
                    [&](const RevisionSeen &n) { return n.Id == it.Id; });
  if (holders == 1)
    At.Reached.pass(Step::ConfigurationPassedOn);
  if (static_cast<std::size_t>(holders) == Others.size() / 2 + 1)
    At.Reached.pass(Step::ConfigurationHalfInForce);
}

News Peers::news() const {
  auto config = InForce->get();
  return {View,
          !At.Guards.RevisionNeverFalls ? Unguarded
          : config                      ? *config
                                        : Configuration(),
          It.Leaving, Observes};
}

void Peers::ping(std::size_t peer) {
  const auto &it = Others[peer];
  At.Net.call<News>(
      Self, it.Node, PingLimit, [tell = it.Tell](auto reply) { reply(tell()); },
      [this, vm = it.It.Vm](const Result<News> &news) {
        if (!news)
          return;
        Answered[vm] = At.Sim.now();
        Leaving[vm] = news.value().Leaving;
        // What a daemon has by hearsay may be old within the same term: a
        // leaving target would be forgotten again.
        if (news.value().Observes || news.value().View.InTerm > View.InTerm)
          offerView(news.value().View);
        offerConfiguration(news.value().InForce);
      });
  At.Net.timer(Self, PingInterval + milliseconds(At.Sim.Rng.below(20)),
               [this, peer] { ping(peer); });
}

void Peers::readList() {
  Platform.listVms(Self, [this](const Result<std::vector<Member>> &it) {
    if (it)
      Listed = it.value();
  });
  At.Net.timer(Self, ListInterval, [this] { readList(); });
}

void Peers::readConfiguration() {
  Platform.get(Self, ConfigurationObject,
               [this](const Result<StoredObject> &it) {
                 if (it)
                   offerConfiguration(parseRevision(it.value().Value));
               });
  At.Net.timer(Self, ConfigurationInterval, [this] { readConfiguration(); });
}

} // namespace peridotfall::proof
