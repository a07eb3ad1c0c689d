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
/// Of a probe or an announcement: several times what the slowest link between
/// regions needs, and short enough that three lost in a row stay within the
/// two seconds in which a change has to be in force.
constexpr milliseconds NewsLimit{500};
constexpr milliseconds FetchLimit{800};
constexpr milliseconds SeedPeriod{1'000};
constexpr milliseconds CleaningPeriod{10'000};
constexpr std::size_t MostSeenTrees = 4'096;
/// Records of third members in one message: what a bad day changes in ten
/// seconds, in about 3 KB.
constexpr std::size_t MostRecords = 32;

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
      Tried("no peers known") {}

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

std::string ConfigurationRelay::peersTried() const {
  std::lock_guard guard(TriedLock);
  return Tried;
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
    bool changed = std::exchange(Generation, it.generation()) != Generation;
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
    askSeeds();
  }
  if (now >= NextCleaning) {
    NextCleaning = now + CleaningPeriod;
    Peers.closeIdle();
  }
  Timer.expires_after(TickPeriod);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec && !self->Stopped)
      self->tick();
  });
}

void ConfigurationRelay::askSeeds() {
  for (const auto &it : Seeds) {
    fetchConfiguration(it, true, [] {});
    if (Vms.stamp() == 0)
      fetchList(it, [] {});
  }
}

messages::News
ConfigurationRelay::makeNews(const std::vector<MemberRecord> &members) {
  messages::News it;
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
  auto told = Peers.withMembership([&](Membership &it) {
    auto records = it.recent(now, MostRecords);
    for (auto &record : it.about(member.Vm))
      records.push_back(std::move(record));
    return records;
  });
  call(member.InnerAddress, messages::NewsPath,
       messages::encode(makeNews(told)), http::wholeWithin(NewsLimit),
       [this, member](const http::CallResult &result) {
         auto news = result && result.value().Status == http::StatusOk
                         ? messages::decodeNews(result.value().Body)
                         : Result<messages::News>(Error{});
         Peers.withMembership([&](Membership &it) {
           if (news)
             it.takeAnswer(member, news.value().From, Time.now());
           else
             it.takeMiss(member, Time.now());
         });
         if (news)
           take(news.value(), true, [] {});
       });
}

messages::News ConfigurationRelay::answerNews(const messages::News &news) {
  auto now = Time.now();
  auto told = Peers.withMembership([&](Membership &it) {
    auto records = it.recent(now, MostRecords);
    for (auto &record : it.about(news.From.It.Vm))
      records.push_back(std::move(record));
    return records;
  });
  return makeNews(told);
}

void ConfigurationRelay::take(const messages::News &news, bool spread,
                              const Done &done) {
  Peers.withMembership([&](Membership &it) {
    it.takeContact(news.From, Time.now());
    it.takeNews(news.Members, Time.now());
  });
  auto it = news;
  if (it.Holder.empty())
    it.Holder = it.From.It.InnerAddress;
  takeRevision(it, spread, [this, it, done] { takeStamp(it, done); });
}

void ConfigurationRelay::land(Flight &it) {
  it.Busy = false;
  for (const auto &next : std::exchange(it.Waiting, {}))
    next();
}

void ConfigurationRelay::takeRevision(const messages::News &news, bool spread,
                                      const Done &done) {
  auto config = Config.get();
  if (news.Revision <= (config ? config->Revision : 0))
    return done();
  if (!ConfigurationFlight.Busy)
    return fetchConfiguration(news.Holder, spread, done);
  ConfigurationFlight.Waiting.push_back(
      [this, news, spread, done] { takeRevision(news, spread, done); });
}

void ConfigurationRelay::takeStamp(const messages::News &news,
                                   const Done &done) {
  if (!Vms.wants(news.ListStamp, news.ListDigest, wallMillis()))
    return done();
  if (!ListFlight.Busy)
    return fetchList(news.Holder, done);
  ListFlight.Waiting.push_back([this, news, done] { takeStamp(news, done); });
}

void ConfigurationRelay::tried(const std::string &address,
                               const std::string &why) {
  std::lock_guard guard(TriedLock);
  Tried = "peer " + address + ": " + why;
}

void ConfigurationRelay::fetchConfiguration(const std::string &address,
                                            bool spread, const Done &done) {
  ConfigurationFlight.Busy = true;
  call(address, messages::ConfigurationPath, "", http::beginsWithin(FetchLimit),
       [this, spread, address, done](const http::CallResult &result) {
         auto config = result && result.value().Status == http::StatusOk
                           ? messages::decodeConfiguration(result.value().Body)
                           : Result<Configuration>(Error{
                                 ErrorCode::NotFound,
                                 result ? "has none" : "does not answer"});
         tried(address, config ? "taken" : config.error().Message);
         if (config && takeConfiguration(std::move(config.value())) && spread)
           announce({}, true);
         done();
         land(ConfigurationFlight);
       });
}

void ConfigurationRelay::fetchList(const std::string &address,
                                   const Done &done) {
  ListFlight.Busy = true;
  call(address, messages::MembersPath, "", http::beginsWithin(FetchLimit),
       [this, done](const http::CallResult &result) {
         if (result && result.value().Status == http::StatusOk) {
           auto list = messages::decodeVmList(result.value().Body);
           if (list)
             takeList(list.value());
         }
         done();
         land(ListFlight);
       });
}

bool ConfigurationRelay::takeConfiguration(Configuration config) {
  auto revision = config.Revision;
  auto id = config.Id;
  if (!Config.offer(std::move(config)))
    return false;
  telemetry::log(Event::ConfigurationInForce,
                 {field("revision", revision), field("id", id)});
  return true;
}

bool ConfigurationRelay::takeList(const messages::VmList &list) {
  if (!Vms.offerRelayed(list.Members, list.Stamp, wallMillis()))
    return false;
  Peers.setMembers(Vms.list());
  return true;
}

void ConfigurationRelay::offerConfiguration(Configuration config) {
  post([this, config = std::move(config)] {
    if (takeConfiguration(config))
      announce({}, false);
  });
}

void ConfigurationRelay::offerList(std::vector<Member> list) {
  post([this, list = std::move(list)] {
    if (!Vms.offerPolled(list, wallMillis()))
      return;
    Peers.setMembers(Vms.list());
    announce({}, false);
  });
}

bool ConfigurationRelay::firstTime(std::uint64_t treeId) {
  if (!SeenTrees.insert(treeId).second)
    return false;
  SeenOrder.push_back(treeId);
  if (SeenOrder.size() > MostSeenTrees) {
    SeenTrees.erase(SeenOrder.front());
    SeenOrder.pop_front();
  }
  return true;
}

void ConfigurationRelay::announce(const std::vector<MemberRecord> &members,
                                  bool domainOnly) {
  auto news = makeNews(members);
  news.TreeId = Random() | 1;
  news.Along = {Peers.self().Vm, domainOnly};
  firstTime(news.TreeId);
  passOn(news, Peers.self().Vm);
}

void ConfigurationRelay::passOn(const messages::News &news,
                                const VmName &node) {
  auto order = arrange(Peers.members(), news.Along);
  for (const auto &it : childrenOf(order, news.Along, node))
    if (it.Vm != Peers.self().Vm)
      send(it, news);
}

void ConfigurationRelay::send(const Member &child, const messages::News &news) {
  call(child.InnerAddress, messages::NewsPath, messages::encode(news),
       http::wholeWithin(NewsLimit),
       [this, child, news](const http::CallResult &result) {
         // Failure: an inner node of the tree is dead or cut off. Symptom: all
         // below it wait for a comparison with a peer. Telling its children in
         // its place suffices, since the tree is known to all.
         if (!result || result.value().Status != http::StatusOk)
           passOn(news, child.Vm);
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
  if (request.Path != messages::NewsPath)
    return false;
  auto news = messages::decodeNews(request.Body);
  if (!news) {
    respond({http::StatusBad, {}, ""});
    return true;
  }
  post([this, news = std::move(news.value()), respond] {
    respond({http::StatusOk, {}, messages::encode(answerNews(news))});
    bool pass = news.TreeId != 0 && firstTime(news.TreeId);
    take(news, news.TreeId == 0, [this, news, pass] {
      if (!pass)
        return;
      auto next = news;
      auto mine = makeNews(news.Members);
      // The children fetch from here, where the change is held already.
      if (mine.Revision >= news.Revision) {
        next = mine;
        next.TreeId = news.TreeId;
        next.Along = news.Along;
      } else {
        next.From = mine.From;
        next.Holder =
            news.Holder.empty() ? news.From.It.InnerAddress : news.Holder;
      }
      passOn(next, Peers.self().Vm);
    });
  });
  return true;
}

} // namespace peridotfall
