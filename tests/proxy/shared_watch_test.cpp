#include "proxy/shared_watch.h"

#include "proxy/members.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <utility>

using namespace peridotfall;
using namespace peridotfall::proxy;
using peridotfall::testing::Here;
using peridotfall::testing::membersOf;

namespace {

constexpr auto Kind = "configuration";
/// Time within which a configuration must be in force.
constexpr milliseconds ConfigurationLimit{3'000};
const milliseconds MaxAge = maxCacheAge(ConfigurationLimit);
/// A store with one object that the test changes. It ignores a watch that is
/// replaced by another before its answer.
struct FakeStore final : ObjectSource {
  void list(const std::string &, const std::string &, milliseconds,
            OnPage done) override {
    ++Calls;
    if (Reachable)
      done(page());
    else
      done({});
  }
  void watch(const std::string &, std::uint64_t revision, milliseconds wait,
             OnChanges done) override {
    ++Calls;
    Until = Time.now() + wait;
    From = revision;
    Pending = std::move(done);
  }
  ObjectPage page() const {
    return {
        ReadOutcome::Done, {{"main", "{}", Revision, false}}, false, Revision};
  }
  void tick() {
    if (!Pending)
      return;
    bool over = Time.now() >= Until;
    bool changed = Reachable && Revision > From;
    if (!over && !changed)
      return;
    auto done = std::exchange(Pending, nullptr);
    ObjectChanges none{ReadOutcome::Done, {}, false, Revision};
    if (changed)
      done(page());
    else
      done(Reachable ? none : ObjectChanges{});
  }

  explicit FakeStore(const Clock &clock) : Time(clock) {}

  const Clock &Time;
  std::uint64_t Revision = 7;
  bool Reachable = true;
  unsigned Calls = 0;
  std::uint64_t From = 0;
  TimePoint Until{};
  OnChanges Pending;
};

/// A watcher that is reached without delay, or is unresponsive.
struct FakeLink final : WatcherPort {
  void watch(const std::string &address, const messages::WatchRequest &request,
             milliseconds limit, OnWatchAnswer done) override {
    Called.push_back(address);
    auto shared = std::make_shared<OnWatchAnswer>(std::move(done));
    Pending = {shared, Time.now() + limit};
    if (Unresponsive)
      return;
    Host.begin(request, [shared](const messages::WatchAnswer &it) {
      if (auto then = std::exchange(*shared, nullptr))
        then({it});
    });
  }
  void tick() {
    auto call = Pending.first;
    if (!call || !*call || Time.now() < Pending.second)
      return;
    std::exchange(*call, nullptr)({});
  }

  FakeLink(WatchHost &host, const Clock &clock) : Host(host), Time(clock) {}

  WatchHost &Host;
  const Clock &Time;
  bool Unresponsive = false;
  std::vector<std::string> Called;
  std::pair<std::shared_ptr<OnWatchAnswer>, TimePoint> Pending;
};

/// One daemon that watches for its failure domain, and one that uses it.
struct SharedWatchFixture {
  ManualClock Time;
  FakeStore WatchersStore{Time};
  FakeStore OwnStore{Time};
  WatchHost Host{Time};
  FakeLink Link{Host, Time};
  ObjectCache WatcherCache{
      {.Kind = Kind, .WatchWait = MaxAge / limits::MaxAgeDivisor},
      WatchersStore,
      Time};
  SharedWatch Watch{OwnStore, Link, Kind, MaxAge, Time};
  ObjectCache OwnCache{
      {.Kind = Kind, .WatchWait = milliseconds(8'000)}, Watch, Time};

  SharedWatchFixture() {
    Host.add(WatcherCache, true);
    Watch.updateMembers(sharingDaemon(), Here, membersOf(6));
    WatcherCache.start();
    OwnCache.start();
  }
  /// \return a daemon that does not watch the store itself.
  static VmName sharingDaemon() {
    for (const auto &it : membersOf(6))
      if (!planWatches(it.Vm, Here, membersOf(6)).Watchers.empty())
        return it.Vm;
    return {};
  }
  void change() {
    ++WatchersStore.Revision;
    ++OwnStore.Revision;
  }
  void pass(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      WatchersStore.tick();
      OwnStore.tick();
      WatcherCache.tick();
      Host.tick();
      Link.tick();
      OwnCache.tick();
    }
  }
};

} // namespace

TEST_CASE("failure domain with many daemons, two watch for the others") {
  auto live = membersOf(13);
  std::size_t watching = 0;
  for (const auto &it : live) {
    auto plan = planWatches(it.Vm, Here, live);
    watching += plan.Watchers.empty();
    CHECK(plan.WatchesForOthers == plan.Watchers.empty());
    CHECK((plan.Watchers.empty() ||
           plan.Watchers.size() == limits::WatchersPerDomain));
  }
  CHECK(watching == limits::WatchersPerDomain);
  CHECK(planWatches(live[0].Vm, DomainName("other"), live).Watchers.empty());
  CHECK(planWatches(live[0].Vm, Here, membersOf(3)).Watchers.empty());
}

// Guards against snapshots sent over the narrowest links of a failure domain.
TEST_CASE(
    "failure domain with links of two widths, daemons on wide links watch "
    "for the others") {
  auto live = membersOf(13);
  for (auto &it : live)
    it.LinkMbps = 10;
  live[3].LinkMbps = 200;
  live[9].LinkMbps = 200;
  for (std::size_t n = 0; n < live.size(); ++n)
    CHECK(planWatches(live[n].Vm, Here, live).WatchesForOthers ==
          (n == 3 || n == 9));
  live[3].Leaving = true;
  CHECK(planWatches(live[9].Vm, Here, live).WatchesForOthers);
  CHECK(planWatches(live[0].Vm, Here, live).Watchers.size() ==
        limits::WatchersPerDomain);
}

// Guards against watches of the store by all daemons, as its call rate is low.
// A change must reach the daemon that uses a watcher at once, without a call of
// the store.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "change in the store, reaches the daemon behind a watcher") {
  pass(milliseconds(500));
  change();
  pass(milliseconds(60));
  CHECK(OwnCache.revision() == WatchersStore.Revision);
  pass(milliseconds(60'000));
  CHECK(OwnStore.Calls == 0);
}

// Guards against hundreds of daemons that list and watch each kind at the store
// when they start together.
TEST_CASE("daemon starts, reads shared kinds once it knows who watches") {
  CHECK(isDaemonListDue(false, milliseconds(0)));
  CHECK_FALSE(isDaemonListDue(true, milliseconds(0)));
  CHECK(isDaemonListDue(true, limits::FleetStartDelay));
  CHECK_FALSE(isSharedStartDue(false, milliseconds(0)));
  CHECK(isSharedStartDue(true, milliseconds(0)));
  CHECK(isSharedStartDue(false, limits::HedgeDelay));
}

// Guards against a start that waits for a watcher which does not answer.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "daemon starts, watcher unresponsive, lists the store soon") {
  ObjectCache started({.Kind = Kind}, Watch, Time);
  Link.Unresponsive = true;
  Watch.updateMembers(sharingDaemon(), Here, membersOf(6));
  started.start();
  Time.advance(limits::HedgeDelay);
  started.tick();
  CHECK(started.revision() == OwnStore.Revision);
}

// Guards against a link between regions that is full of lists: where the two
// that watch for a domain are not served in time, all others listed the store,
// and their lists kept those of the two from ending.
TEST_CASE("domain of 160 daemons starts, watchers have nothing yet, a few list "
          "the store at a time") {
  constexpr std::size_t Daemons = 160;
  auto members = membersOf(Daemons);
  ManualClock time;
  std::map<Duration, std::size_t> hedges;
  std::size_t calledInOutage = 0;
  for (const auto &self : members) {
    FakeStore store(time);
    struct Unavailable final : WatcherPort {
      void watch(const std::string &, const messages::WatchRequest &,
                 milliseconds, OnWatchAnswer done) override {
        done({messages::WatchAnswer{}});
      }
    } link;
    SharedWatch watch(store, link, "config", milliseconds(1'500), time);
    watch.updateMembers(self.Vm, Here, members);
    if (watch.plan().WatchesForOthers)
      continue;
    REQUIRE(watch.hedgeDelay());
    ++hedges[*watch.hedgeDelay()];
    ObjectCache cache({.Kind = "config"}, watch, time);
    cache.start();
    calledInOutage += store.Calls;
  }
  CHECK(calledInOutage <= 3 * limits::DirectListsAtOnce);
  for (const auto &[delay, n] : hedges)
    CHECK(n <= 3 * limits::DirectListsAtOnce);
  CHECK(hedges.size() >= Daemons / limits::DirectListsAtOnce / 2);
}

// Guards against lists by all daemons while their number is not known yet.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "first watcher called, no list is sent beside") {
  Watch.updateMembers(membersOf(1)[0].Vm, Here, membersOf(1));
  Watch.setFirstWatcher(membersOf(2)[1]);
  CHECK_FALSE(Watch.hedgeDelay());
}

// Guards against a deleted target that remains in a cache: the deletion must be
// forwarded, also where the watcher learned of it by a list.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "object deleted, daemon behind a watcher is told") {
  WatcherCache.refresh();
  auto since = WatcherCache.revision();
  CHECK(WatcherCache.changesSince(since).Objects.empty());
  auto done = std::exchange(WatchersStore.Pending, nullptr);
  done({ReadOutcome::Done, {{"main", "", 9, true}}, false, 9});
  auto changes = WatcherCache.changesSince(since);
  REQUIRE(changes.Objects.size() == 1);
  CHECK(changes.Objects[0].Deleted);
  CHECK(WatcherCache.changesSince(since - 1).Outcome == ReadOutcome::Gone);
}

// Guards against a missed configuration when the watcher is cut off from the
// store and keeps answering that nothing has changed.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "watcher cut off from the store, change is known in time") {
  pass(milliseconds(3'100));
  WatchersStore.Reachable = false;
  change();
  pass(ConfigurationLimit);
  CHECK(OwnCache.revision() == OwnStore.Revision);
}

// The same with a frozen watcher, which does not answer at all.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "watcher unresponsive, change is known in time") {
  pass(milliseconds(3'100));
  Link.Unresponsive = true;
  Link.Pending = {};
  OwnCache.refresh();
  change();
  pass(ConfigurationLimit);
  CHECK(OwnCache.revision() == OwnStore.Revision);
}

// Guards against a daemon that starts being taken for one that has lost the
// store.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "watcher without objects, answers that it is starting") {
  ObjectCache empty({.Kind = "other"}, WatchersStore, Time);
  Host.add(empty);
  std::vector<messages::WatchAnswer> answers;
  auto ask = [&] {
    Host.begin({"other", 0, milliseconds(0)},
               [&](const messages::WatchAnswer &it) { answers.push_back(it); });
    Host.tick();
  };
  ask();
  empty.start();
  WatchersStore.Reachable = false;
  empty.refresh();
  ask();
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].Starting);
  CHECK_FALSE(answers[1].Starting);
}

// Guards against an answer that presents old data as new when the daemon has it
// from a watcher.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "daemon behind a watcher, reports the age of its data") {
  WatchHost second(Time);
  second.add(OwnCache, true);
  pass(milliseconds(1'100));
  WatchersStore.Reachable = false;
  constexpr milliseconds SinceThen{900};
  pass(SinceThen);
  std::optional<messages::WatchAnswer> answer;
  second.begin({Kind, 0, milliseconds(0)},
               [&](const messages::WatchAnswer &it) { answer = it; });
  second.tick();
  REQUIRE(answer);
  CHECK(answer->Age >= SinceThen);
}
