#include "proxy/linked_calls.h"
#include "proxy/members.h"
#include "proxy/shared_watch.h"
#include "proxy/snapshot_exchange.h"
#include "proxy/watch_calls.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace peridotfall;
using namespace peridotfall::proxy;
using peridotfall::testing::configurationText;
using peridotfall::testing::LinkedCalls;
using peridotfall::testing::LinkModel;
using peridotfall::testing::memberOf;

namespace {

constexpr auto Members = "members";
constexpr auto Configuration = "configuration";
constexpr auto StoreName = "store";
constexpr milliseconds Bound{8'000};
constexpr milliseconds Step{20};
constexpr double MegabitPerSecond = 1e6 / 8;
constexpr double NarrowLink = 20 * MegabitPerSecond;
constexpr double WideLink = 1'000 * MegabitPerSecond;
constexpr double RegionLink = 36 * MegabitPerSecond;
constexpr std::size_t Domains = 3;
constexpr std::size_t DaemonsPerDomain = 40;
constexpr std::size_t WidePerDomain = 3;
constexpr std::size_t Routes = 3'252;
constexpr std::size_t MemberBytes = 130;

using Stored = std::map<std::string, Objects>;

std::size_t bytesOf(const Objects &objects) {
  std::size_t out = 0;
  for (const auto &[name, it] : objects)
    out += it.Spec.size();
  return out;
}

/// The store as one daemon reaches it. It answers only while reachable; other
/// calls time out.
class RegionStore final : public ObjectSource {
public:
  RegionStore(const Stored &objects, LinkModel &links, std::string self,
              const Clock &clock)
      : Content(objects), Links(links), Self(std::move(self)), Time(clock) {}

  void list(const std::string &kind, const std::string &, milliseconds limit,
            OnPage done) override {
    ++Lists;
    begin({kind, Time.now() + limit, Time.now() + limit, true, done});
  }
  void watch(const std::string &kind, std::uint64_t, milliseconds wait,
             OnChanges done) override {
    begin({kind, Time.now() + wait,
           Time.now() + wait + peridotfall::proxy::limits::WatchSlack, false,
           done});
  }
  bool isReceiving(const std::string &kind) const override {
    return std::any_of(Calls.begin(), Calls.end(), [&](const CallPtr &it) {
      return it->Flow && it->Kind == kind;
    });
  }
  void tick() {
    auto now = Time.now();
    for (const auto &it : std::vector(Calls)) {
      if (it->Flow)
        continue;
      if (Reachable && (it->IsList || now >= it->Until))
        answer(it);
      else if (now >= it->TimesOutAt) {
        std::erase(Calls, it);
        it->Done({});
      }
    }
  }

  bool Reachable = true;
  std::size_t Lists = 0;

private:
  struct Call {
    std::string Kind;
    TimePoint Until;
    TimePoint TimesOutAt;
    bool IsList = false;
    OnPage Done;
    LinkModel::FlowPtr Flow = nullptr;
  };
  using CallPtr = std::shared_ptr<Call>;

  void begin(Call call) {
    Calls.push_back(std::make_shared<Call>(std::move(call)));
  }
  void answer(const CallPtr &it) {
    constexpr std::size_t Headers = 200;
    ObjectPage page{ReadOutcome::Done, {}, false, 1};
    if (it->IsList)
      for (const auto &[name, object] : Content.at(it->Kind))
        page.Objects.push_back(object);
    auto bytes = Headers + (it->IsList ? bytesOf(Content.at(it->Kind)) : 0);
    it->Flow = Links.send(StoreName, Self, bytes, [this, it, page] {
      std::erase(Calls, it);
      auto out = page;
      out.Received = it->Flow->received(Time.now());
      it->Done(std::move(out));
    });
  }

  const Stored &Content;
  LinkModel &Links;
  std::string Self;
  const Clock &Time;
  std::vector<CallPtr> Calls;
};

/// A daemon that knows only the first watcher of its failure domain.
struct Daemon {
  Daemon(const Member &self, const Stored &objects, LinkModel &links,
         LinkedCalls::Handle handle, const Clock &clock)
      : Self(self), Store(objects, links, self.InnerAddress, clock),
        Calls(links, self.InnerAddress, std::move(handle), clock), Host(clock),
        Watch(Store, WatchLinks, Configuration, maxCacheAge(Bound), clock),
        MemberCache({.Kind = Members}, Watch, clock),
        Cache({.Kind = Configuration,
               .ListAfterOutage = true,
               .WatchWait = maxWatchWait(Bound)},
              Watch, clock) {
    for (auto *it : {&MemberCache, &Cache})
      WatchLinks.add(*it);
    Host.add(MemberCache);
    Host.add(Cache, true);
    Watch.updateMembers(Self.Vm, Self.Domain, {Self});
  }
  void handle(const http::Request &request, const http::Respond &respond) {
    handleWatch({Host, Packer, Counts}, request, respond);
  }
  /// Starts the cache of the kind that others could pass on.
  void startShared() {
    if (!std::exchange(SharedStarted, true))
      Cache.start();
  }
  void tick() {
    Store.tick();
    Calls.tick();
    MemberCache.tick();
    Cache.tick();
    Host.tick();
  }

  Member Self;
  ProxyMetrics Counts = makeProxyMetrics();
  RegionStore Store;
  LinkedCalls Calls;
  ObjectPacker Packer;
  WatchCalls WatchLinks{Calls};
  WatchHost Host;
  SharedWatch Watch;
  ObjectCache MemberCache;
  ObjectCache Cache;
  bool SharedStarted = false;
};

/// A region whose daemons all start, behind a narrow link to the store.
struct RegionStartFixture {
  ManualClock Time;
  LinkModel Links{NarrowLink, Time};
  Stored Content;
  std::vector<Member> Live;
  std::vector<std::unique_ptr<Daemon>> All;
  Duration Passed{};

  RegionStartFixture() {
    Links.setRate(StoreName, WideLink);
    Content[Configuration]["main"] = {"main", configurationText(Routes, 500), 1,
                                      false};
    for (std::size_t n = 0; n < Domains * DaemonsPerDomain; ++n) {
      auto it = memberOf(n);
      it.Domain = DomainName("domain-" + std::to_string(n % Domains));
      bool isWide = n / Domains < WidePerDomain;
      it.LinkMbps = isWide ? 1'000 : 20;
      if (isWide)
        Links.setRate(it.InnerAddress, WideLink);
      Content[Members][it.Vm.Value] = {it.Vm.Value,
                                       std::string(MemberBytes, 'm'), 1, false};
      Live.push_back(it);
    }
    std::set<std::string> region;
    for (const auto &it : Live)
      region.insert(it.InnerAddress);
    Links.setRegion(region, RegionLink);
    auto handle = [this](const std::string &address,
                         const http::Request &request, http::Respond respond) {
      for (auto &it : All)
        if (it->Self.InnerAddress == address)
          it->handle(request, respond);
    };
    for (const auto &it : Live)
      All.push_back(std::make_unique<Daemon>(it, Content, Links, handle, Time));
    for (auto &it : All)
      start(*it, firstWatcher(it->Self.Domain));
  }
  /// \return a daemon with a wide link that, by the members, does not watch for
  /// the others of its domain.
  Member firstWatcher(const DomainName &domain) const {
    for (const auto &it : Live)
      if (it.Domain == domain &&
          !planWatches(it.Vm, domain, Live).WatchesForOthers)
        return it;
    return {};
  }
  void start(Daemon &it, const Member &firstWatcher) {
    it.MemberCache.OnChange = [this, &it](const auto &, const auto &) {
      it.Watch.setFirstWatcher(std::nullopt);
      it.Watch.updateMembers(it.Self.Vm, it.Self.Domain, Live);
      it.startShared();
    };
    if (it.Self.Vm != firstWatcher.Vm)
      it.Watch.setFirstWatcher(firstWatcher);
    it.MemberCache.start();
  }
  void pass(Duration span) {
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      Links.pass(Step);
      for (auto &it : All)
        it->tick();
      Passed += Step;
      for (auto &it : All)
        if (isSharedStartDue(it->MemberCache.isCurrent(), Passed))
          it->startShared();
    }
  }
  std::size_t without() const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [](const auto &it) {
          return it->Cache.revision() == 0;
        }));
  }
};

} // namespace

// Guards against a first watcher and the daemons that watch by the members that
// wait for each other.
TEST_CASE_FIXTURE(RegionStartFixture,
                  "domains start, first watchers are not those that watch by "
                  "the members, all have the configuration in time") {
  pass(Bound);
  CHECK(without() == 0);
}

// Guards against a region whose daemons all list the store, because those that
// watch for them have nothing yet, and fill the link behind which it is.
TEST_CASE_FIXTURE(RegionStartFixture,
                  "region behind a narrow link starts, each domain is sent the "
                  "lists once for each daemon that watches") {
  auto lists = static_cast<double>(bytesOf(Content[Configuration]) +
                                   bytesOf(Content[Members]));
  pass(Bound);
  CHECK(without() == 0);
  CHECK(Links.sentBetweenRegions() <
        1.1 * lists * Domains * proxy::limits::WatchersPerDomain);
}
