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
/// Within which a configuration must be in force.
constexpr milliseconds ConfigurationLimit{3'000};
const milliseconds Fresh = freshFor(ConfigurationLimit);
/// The store, with one object that the test changes. A watch that it does not
/// answer is passed over.
struct FakeStore final : ObjectSource {
  void list(const std::string &, const std::string &, milliseconds,
            OnPage done) override {
    ++Calls;
    if (Reached)
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
    bool changed = Reached && Revision > From;
    if (!over && !changed)
      return;
    auto done = std::exchange(Pending, nullptr);
    ObjectChanges none{ReadOutcome::Done, {}, false, Revision};
    if (changed)
      done(page());
    else
      done(Reached ? none : ObjectChanges{});
  }

  explicit FakeStore(const Clock &clock) : Time(clock) {}

  const Clock &Time;
  std::uint64_t Revision = 7;
  bool Reached = true;
  unsigned Calls = 0;
  std::uint64_t From = 0;
  TimePoint Until{};
  OnChanges Pending;
};

/// A daemon that watches for others, reached without delay; or silent.
struct FakeLink final : WatcherPort {
  void watch(const std::string &address, const messages::WatchRequest &request,
             milliseconds limit, OnWatchAnswer done) override {
    Asked.push_back(address);
    auto shared = std::make_shared<OnWatchAnswer>(std::move(done));
    Pending = {shared, Time.now() + limit};
    if (Silent)
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
  bool Silent = false;
  std::vector<std::string> Asked;
  std::pair<std::shared_ptr<OnWatchAnswer>, TimePoint> Pending;
};

/// One daemon that watches for its failure domain and one that asks it.
struct SharedWatchFixture {
  ManualClock Time;
  FakeStore WatchersStore{Time};
  FakeStore OwnStore{Time};
  WatchHost Host{Time};
  FakeLink Link{Host, Time};
  Mirror Theirs{{.Kind = Kind, .WatchWait = Fresh / limits::FreshParts},
                WatchersStore,
                Time};
  SharedWatch Watch{OwnStore, Link, Kind, Fresh, Time};
  Mirror Own{{.Kind = Kind, .WatchWait = milliseconds(8'000)}, Watch, Time};

  SharedWatchFixture() {
    Host.add(Theirs, true);
    Watch.takeMembers(asking(), Here, membersOf(6));
    Theirs.start();
    Own.start();
  }
  /// \return a daemon that does not watch the store itself.
  static VmName asking() {
    for (const auto &it : membersOf(6))
      if (!planWatches(it.Vm, Here, membersOf(6)).Ask.empty())
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
      Theirs.tick();
      Host.tick();
      Link.tick();
      Own.tick();
    }
  }
};

} // namespace

TEST_CASE("failure domain with many daemons, two watch and the others ask") {
  auto live = membersOf(13);
  std::size_t watching = 0;
  for (const auto &it : live) {
    auto plan = planWatches(it.Vm, Here, live);
    watching += plan.Ask.empty();
    CHECK(plan.ForOthers == plan.Ask.empty());
    CHECK((plan.Ask.empty() || plan.Ask.size() == limits::WatchersOfDomain));
  }
  CHECK(watching == limits::WatchersOfDomain);
  CHECK(planWatches(live[0].Vm, DomainName("other"), live).Ask.empty());
  CHECK(planWatches(live[0].Vm, Here, membersOf(3)).Ask.empty());
}

// Guards against copies that leave over the narrowest links of a domain.
TEST_CASE(
    "failure domain with links of two widths, daemons on wide links watch "
    "for the others") {
  auto live = membersOf(13);
  for (auto &it : live)
    it.LinkMbps = 10;
  live[3].LinkMbps = 200;
  live[9].LinkMbps = 200;
  for (std::size_t n = 0; n < live.size(); ++n)
    CHECK(planWatches(live[n].Vm, Here, live).ForOthers == (n == 3 || n == 9));
  live[3].Leaving = true;
  CHECK(planWatches(live[9].Vm, Here, live).ForOthers);
  CHECK(planWatches(live[0].Vm, Here, live).Ask.size() ==
        limits::WatchersOfDomain);
}

// Load: all daemons watch the store, whose calls are few. A change reaches the
// one that asks at once, without a call of its own.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "change of the store, reaches the daemon that asks another") {
  pass(milliseconds(500));
  change();
  pass(milliseconds(60));
  CHECK(Own.revision() == WatchersStore.Revision);
  pass(milliseconds(60'000));
  constexpr unsigned List = 1;
  CHECK(OwnStore.Calls == List);
}

// A target that has gone must leave all copies, also when the daemon that
// watches learnt so by a list.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "object deleted, daemon that asks is told") {
  Theirs.refresh();
  auto since = Theirs.revision();
  CHECK(Theirs.changesSince(since).Objects.empty());
  auto done = std::exchange(WatchersStore.Pending, nullptr);
  done({ReadOutcome::Done, {{"main", "", 9, true}}, false, 9});
  auto changes = Theirs.changesSince(since);
  REQUIRE(changes.Objects.size() == 1);
  CHECK(changes.Objects[0].Deleted);
  CHECK(Theirs.changesSince(since - 1).Outcome == ReadOutcome::Gone);
}

// The daemon that watches for others is cut from the store. It goes on
// answering that nothing is new, while a configuration is accepted; the daemon
// that asks it must know that one in time all the same.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "watching daemon cut from the store, change is known in "
                  "time") {
  pass(milliseconds(3'100));
  WatchersStore.Reached = false;
  change();
  pass(ConfigurationLimit);
  CHECK(Own.revision() == OwnStore.Revision);
}

// The same with a daemon that is frozen: it does not answer at all.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "watching daemon silent, change is known in time") {
  pass(milliseconds(3'100));
  Link.Silent = true;
  Link.Pending = {};
  Own.refresh();
  change();
  pass(ConfigurationLimit);
  CHECK(Own.revision() == OwnStore.Revision);
}

// Guards against a copy that is told as new by a daemon that has it, old, from
// another one.
TEST_CASE_FIXTURE(SharedWatchFixture,
                  "daemon that asks another, tells how old its copy is") {
  WatchHost second(Time);
  second.add(Own, true);
  pass(milliseconds(1'100));
  WatchersStore.Reached = false;
  constexpr milliseconds SinceThen{900};
  pass(SinceThen);
  std::optional<messages::WatchAnswer> told;
  second.begin({Kind, 0, milliseconds(0)},
               [&](const messages::WatchAnswer &it) { told = it; });
  second.tick();
  REQUIRE(told);
  CHECK(told->Age >= SinceThen);
}
