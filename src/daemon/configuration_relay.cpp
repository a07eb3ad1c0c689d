#include "daemon/configuration_relay.h"

#include "config/fan_out.h"
#include "http/status.h"
#include "telemetry/events.h"

#include <asio/post.hpp>
#include <utility>

namespace peridotfall {

namespace {

using std::chrono::milliseconds;
using telemetry::Event;
using telemetry::field;

constexpr milliseconds TickPeriod{100};
/// For a probe or an announcement: several times the round trip of the slowest
/// link between regions, and short enough that three losses in a row stay
/// within the two seconds in which a change has to be in force.
constexpr milliseconds GossipTimeout{500};
constexpr milliseconds FetchTimeout{800};
constexpr milliseconds SeedPeriod{1'000};
constexpr milliseconds CleanupPeriod{10'000};
constexpr std::size_t MaxSeenTrees = 4'096;
/// Records of other members in one gossip message, about 3 KB. Covers the
/// changes of ten seconds with many failures.
constexpr std::size_t MaxRelayedRecords = 32;

Stamp wallMillis() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Stamp>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

ConfigurationRelay::ConfigurationRelay(asio::io_context &loop,
                                       const Clock &clock,
                                       ConfigurationInForce &config,
                                       Fleet &fleet,
                                       std::vector<std::string> seeds)
    : Loop(loop), Timer(loop), Time(clock), Config(config), Peers(fleet),
      Seeds(std::move(seeds)),
      Random(fleet.self().Incarnation ^ std::hash<VmName>{}(fleet.self().Vm)),
      PeerResult("no peers known") {}

void ConfigurationRelay::post(std::function<void()> action) {
  asio::post(Loop, [self = shared_from_this(), action = std::move(action)] {
    if (!self->Stopped)
      action();
  });
}

void ConfigurationRelay::start() {
  post([this] { tick(); });
}

void ConfigurationRelay::stop() {
  asio::post(Loop, [self = shared_from_this()] {
    self->Stopped = true;
    self->Timer.cancel();
  });
}

void ConfigurationRelay::leave() {
  post([this] {
    Peers.withMembership([&](Membership &it) { it.leave(Time.now()); });
    tick();
  });
}

std::string ConfigurationRelay::lastPeerResult() const {
  std::lock_guard guard(PeerResultLock);
  return PeerResult;
}

void ConfigurationRelay::tick() {
  auto now = Time.now();
  struct Work {
    std::vector<Member> Probes;
    std::vector<MemberRecord> Observed;
    std::size_t Live = 0;
    bool Changed = false;
  };
  auto work = Peers.withMembership([&](Membership &it) {
    bool changed =
        std::exchange(LoggedGeneration, it.generation()) != LoggedGeneration;
    return Work{it.probesDue(now), it.takeObserved(),
                changed ? it.live().size() : 0, changed};
  });
  if (work.Changed)
    telemetry::log(Event::MembersChanged, {field("live", work.Live)});
  for (const auto &it : work.Probes)
    probe(it);
  if (!work.Observed.empty())
    announce(work.Observed, false);
  if (!Config.get() && now >= NextSeeds) {
    NextSeeds = now + SeedPeriod;
    fetchFromSeeds();
  }
  if (now >= NextCleanup) {
    NextCleanup = now + CleanupPeriod;
    Peers.closeIdle();
  }
  Timer.expires_after(TickPeriod);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec && !self->Stopped)
      self->tick();
  });
}

void ConfigurationRelay::fetchFromSeeds() {
  for (const auto &it : Seeds) {
    fetchConfiguration(it, true, [] {});
    if (Vms.stamp() == 0)
      fetchList(it, [] {});
  }
}

messages::GossipMessage
ConfigurationRelay::makeGossip(const std::vector<MemberRecord> &members) {
  messages::GossipMessage it;
  it.From = Peers.withMembership([](Membership &n) { return n.self(); });
  auto config = Config.get();
  it.Revision = config ? config->Revision : 0;
  it.ListStamp = Vms.stamp();
  it.ListDigest = Vms.digest();
  it.Members = members;
  return it;
}

void ConfigurationRelay::call(const std::string &address, const char *path,
                              std::string body,
                              const http::AnswerLimits &limits,
                              http::OnResult done) {
  http::Request request;
  request.Method = "POST";
  request.Path = path;
  request.Body = std::move(body);
  Peers.channel(address)->call(
      std::move(request), limits,
      [self = shared_from_this(), done = std::move(done)](http::CallResult it) {
        self->post([done, it = std::move(it)] { done(it); });
      });
}

void ConfigurationRelay::probe(const Member &member) {
  auto now = Time.now();
  auto gossipRecords = Peers.withMembership([&](Membership &it) {
    auto records = it.recentChanges(now, MaxRelayedRecords);
    for (auto &record : it.recordsAbout(member.Vm))
      records.push_back(std::move(record));
    return records;
  });
  call(member.InnerAddress, messages::GossipPath,
       messages::encode(makeGossip(gossipRecords)),
       http::totalTimeout(GossipTimeout),
       [this, member](const http::CallResult &result) {
         auto gossip = result && result.value().Status == http::StatusOk
                           ? messages::decodeGossip(result.value().Body)
                           : Result<messages::GossipMessage>(Error{});
         Peers.withMembership([&](Membership &it) {
           if (gossip)
             it.handleAnswer(member, gossip.value().From, Time.now());
           else
             it.handleMiss(member, Time.now());
         });
         if (gossip)
           handleGossip(gossip.value(), true, [] {});
       });
}

messages::GossipMessage
ConfigurationRelay::answerGossip(const messages::GossipMessage &gossip) {
  auto now = Time.now();
  auto gossipRecords = Peers.withMembership([&](Membership &it) {
    auto records = it.recentChanges(now, MaxRelayedRecords);
    for (auto &record : it.recordsAbout(gossip.From.Info.Vm))
      records.push_back(std::move(record));
    return records;
  });
  return makeGossip(gossipRecords);
}

void ConfigurationRelay::handleGossip(const messages::GossipMessage &gossip,
                                      bool announceToDomain, const Done &done) {
  Peers.withMembership([&](Membership &it) {
    it.handleContact(gossip.From, Time.now());
    it.handleGossip(gossip.Members, Time.now());
  });
  auto it = gossip;
  if (it.FetchAddress.empty())
    it.FetchAddress = it.From.Info.InnerAddress;
  fetchNewerConfiguration(it, announceToDomain,
                          [this, it, done] { fetchNewerList(it, done); });
}

void ConfigurationRelay::finishFetch(Fetch &it) {
  it.Busy = false;
  for (const auto &next : std::exchange(it.Queued, {}))
    next();
}

void ConfigurationRelay::fetchNewerConfiguration(
    const messages::GossipMessage &gossip, bool announceToDomain,
    const Done &done) {
  auto config = Config.get();
  if (gossip.Revision <= (config ? config->Revision : 0))
    return done();
  if (!ConfigurationFetch.Busy)
    return fetchConfiguration(gossip.FetchAddress, announceToDomain, done);
  ConfigurationFetch.Queued.push_back([this, gossip, announceToDomain, done] {
    fetchNewerConfiguration(gossip, announceToDomain, done);
  });
}

void ConfigurationRelay::fetchNewerList(const messages::GossipMessage &gossip,
                                        const Done &done) {
  if (!Vms.shouldFetch(gossip.ListStamp, gossip.ListDigest, wallMillis()))
    return done();
  if (!ListFetch.Busy)
    return fetchList(gossip.FetchAddress, done);
  ListFetch.Queued.push_back(
      [this, gossip, done] { fetchNewerList(gossip, done); });
}

void ConfigurationRelay::recordPeerResult(const std::string &address,
                                          const std::string &why) {
  std::lock_guard guard(PeerResultLock);
  PeerResult = "peer " + address + ": " + why;
}

void ConfigurationRelay::fetchConfiguration(const std::string &address,
                                            bool announceToDomain,
                                            const Done &done) {
  ConfigurationFetch.Busy = true;
  call(address, messages::ConfigurationPath, "",
       http::firstByteTimeout(FetchTimeout),
       [this, announceToDomain, address, done](const http::CallResult &result) {
         auto config =
             result && result.value().Status == http::StatusOk
                 ? messages::decodeConfiguration(result.value().Body)
                 : Result<Configuration>(Error{ErrorCode::NotFound,
                                               result ? "has no configuration"
                                                      : "did not answer"});
         recordPeerResult(address, config ? "taken" : config.error().Message);
         if (config && applyConfiguration(std::move(config.value())) &&
             announceToDomain)
           announce({}, true);
         done();
         finishFetch(ConfigurationFetch);
       });
}

void ConfigurationRelay::fetchList(const std::string &address,
                                   const Done &done) {
  ListFetch.Busy = true;
  call(address, messages::MembersPath, "", http::firstByteTimeout(FetchTimeout),
       [this, done](const http::CallResult &result) {
         if (result && result.value().Status == http::StatusOk) {
           auto list = messages::decodeVmList(result.value().Body);
           if (list)
             applyList(list.value());
         }
         done();
         finishFetch(ListFetch);
       });
}

bool ConfigurationRelay::applyConfiguration(Configuration config) {
  auto revision = config.Revision;
  auto id = config.Id;
  if (!Config.updateIfNewer(std::move(config)))
    return false;
  telemetry::log(Event::ConfigurationInForce,
                 {field("revision", revision), field("id", id)});
  return true;
}

bool ConfigurationRelay::applyList(const messages::VmList &list) {
  if (!Vms.updateRelayed(list.Members, list.Stamp, wallMillis()))
    return false;
  Peers.setMembers(Vms.list());
  return true;
}

void ConfigurationRelay::offerConfiguration(Configuration config) {
  post([this, config = std::move(config)] {
    if (applyConfiguration(config))
      announce({}, false);
  });
}

void ConfigurationRelay::offerList(std::vector<Member> list) {
  post([this, list = std::move(list)] {
    if (!Vms.updatePolled(list, wallMillis()))
      return;
    Peers.setMembers(Vms.list());
    announce({}, false);
  });
}

bool ConfigurationRelay::markSeen(std::uint64_t treeId) {
  if (!SeenTrees.insert(treeId).second)
    return false;
  SeenOrder.push_back(treeId);
  if (SeenOrder.size() > MaxSeenTrees) {
    SeenTrees.erase(SeenOrder.front());
    SeenOrder.pop_front();
  }
  return true;
}

void ConfigurationRelay::announce(const std::vector<MemberRecord> &members,
                                  bool domainOnly) {
  auto gossip = makeGossip(members);
  gossip.TreeId = Random() | 1;
  gossip.ForwardTree = {Peers.self().Vm, domainOnly};
  markSeen(gossip.TreeId);
  forwardToChildren(gossip, Peers.self().Vm);
}

void ConfigurationRelay::forwardToChildren(
    const messages::GossipMessage &gossip, const VmName &node) {
  auto order = buildRelayOrder(Peers.members(), gossip.ForwardTree);
  for (const auto &it : childrenOf(order, gossip.ForwardTree, node))
    if (it.Vm != Peers.self().Vm)
      send(it, gossip);
}

void ConfigurationRelay::send(const Member &child,
                              const messages::GossipMessage &gossip) {
  call(child.InnerAddress, messages::GossipPath, messages::encode(gossip),
       http::totalTimeout(GossipTimeout),
       [this, child, gossip](const http::CallResult &result) {
         // If an inner node of the tree is dead or cut off, all members below
         // it would learn of the change only when they compare state with a
         // peer. Every member knows the tree, so the sender serves the node's
         // children in its place.
         if (!result || result.value().Status != http::StatusOk)
           forwardToChildren(gossip, child.Vm);
       });
}

bool ConfigurationRelay::serve(const http::Request &request,
                               const http::Respond &respond) {
  if (request.Path == messages::ConfigurationPath) {
    auto config = Config.get();
    respond(config
                ? http::Response{http::StatusOk, {}, messages::encode(*config)}
                : http::Response{http::StatusNotFound, {}, ""});
    return true;
  }
  if (request.Path == messages::MembersPath) {
    post([this, respond] {
      if (Vms.stamp() == 0)
        respond({http::StatusNotFound, {}, ""});
      else
        respond({http::StatusOk,
                 {},
                 messages::encode(messages::VmList{Vms.stamp(), Vms.list()})});
    });
    return true;
  }
  if (request.Path != messages::GossipPath)
    return false;
  auto gossip = messages::decodeGossip(request.Body);
  if (!gossip) {
    respond({http::StatusBadRequest, {}, ""});
    return true;
  }
  post([this, gossip = std::move(gossip.value()), respond] {
    respond({http::StatusOk, {}, messages::encode(answerGossip(gossip))});
    bool isNew = gossip.TreeId != 0 && markSeen(gossip.TreeId);
    handleGossip(gossip, gossip.TreeId == 0, [this, gossip, isNew] {
      if (!isNew)
        return;
      auto next = gossip;
      auto own = makeGossip(gossip.Members);
      // If this daemon already has the change, the children fetch it here.
      if (own.Revision >= gossip.Revision) {
        next = own;
        next.TreeId = gossip.TreeId;
        next.ForwardTree = gossip.ForwardTree;
      } else {
        next.From = own.From;
        next.FetchAddress = gossip.FetchAddress.empty()
                                ? gossip.From.Info.InnerAddress
                                : gossip.FetchAddress;
      }
      forwardToChildren(next, Peers.self().Vm);
    });
  });
  return true;
}

} // namespace peridotfall
