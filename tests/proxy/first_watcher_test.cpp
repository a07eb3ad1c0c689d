#include "proxy/first_watcher.h"

#include "proxy/shared_watch.h"

#include <doctest/doctest.h>
#include <map>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

using Call = FirstWatcher::Call;

Member daemonOf(std::size_t n, std::uint32_t linkMbps) {
  Member it;
  it.Vm = VmName("vm-" + std::to_string(n));
  it.InnerAddress = it.Vm.Value + ":1";
  it.LinkMbps = linkMbps;
  return it;
}

/// The record of one failure domain in a store that answers at once.
struct WatcherRecordFixture {
  std::optional<WatcherRecord> Record;
  std::size_t Reads = 0;
  std::size_t Writes = 0;

  /// Makes the calls that are due.
  void step(const Member &self, FirstWatcher &search, TimePoint now) {
    auto call = search.next(now);
    if (call == Call::Read) {
      ++Reads;
      search.handleRead(ReadOutcome::Done, Record);
    } else if (call == Call::Write) {
      ++Writes;
      auto present = Record ? Record->Revision : 0;
      bool isRefused = search.replacedRevision() != present;
      if (!isRefused)
        Record = {self, ++Revision};
      search.handleWritten(isRefused ? CallOutcome::Refused
                                     : CallOutcome::Done);
    }
  }
  std::uint64_t Revision = 0; ///< Of the store.
};

} // namespace

// Guards against a fleet whose daemons each list all others when they start:
// the answers grow with the square of the daemons, and filled the link between
// the regions.
TEST_CASE_FIXTURE(WatcherRecordFixture,
                  "first watcher, domain of 160 daemons starts, one with a "
                  "wide link lists for all, each of the others makes a call") {
  constexpr std::size_t Wide = 10;
  std::vector<Member> members;
  for (std::size_t n = 0; n < 160; ++n)
    members.push_back(daemonOf(n, n < Wide ? 1'000 : 20));
  TimePoint start{milliseconds(1'000)};
  std::vector<FirstWatcher> searches;
  for (const auto &it : members)
    searches.emplace_back(it, true, start);
  for (auto now = start; now < start + milliseconds(2'500);
       now += milliseconds(20))
    for (std::size_t n = 0; n < members.size(); ++n)
      step(members[n], searches[n], now);
  REQUIRE(Record);
  CHECK(Record->Named->LinkMbps == 1'000);
  // Those that look for the record in the same moment all find none.
  CHECK(Writes <= 3);
  CHECK(Reads <= members.size() + Writes);
  std::size_t listing = 0;
  for (const auto &it : searches) {
    CHECK(it.isOver(start + milliseconds(2'500)));
    listing += !it.watcher();
  }
  CHECK(listing == 1);
}

TEST_CASE_FIXTURE(WatcherRecordFixture,
                  "first watcher, daemon restarts, reads the record at once") {
  Record = {daemonOf(1, 1'000), 1};
  FirstWatcher search(daemonOf(2, 20), false, TimePoint{});
  step(daemonOf(2, 20), search, TimePoint{});
  REQUIRE(search.isOver(TimePoint{}));
  REQUIRE(search.watcher());
  CHECK(search.watcher()->Vm == Record->Named->Vm);
}

// Guards against a daemon that waits for itself to pass on the list.
TEST_CASE_FIXTURE(WatcherRecordFixture,
                  "first watcher, daemon named by the record restarts, calls "
                  "the store") {
  Record = {daemonOf(1, 1'000), 1};
  FirstWatcher search(daemonOf(1, 1'000), false, TimePoint{});
  step(daemonOf(1, 1'000), search, TimePoint{});
  CHECK(search.isOver(TimePoint{}));
  CHECK_FALSE(search.watcher());
}

// Guards against a domain whose daemons all list the store, or wait without
// end, because the record names a daemon that is lost.
TEST_CASE_FIXTURE(WatcherRecordFixture,
                  "daemon named by the record is lost, one takes its place and "
                  "the others call it") {
  constexpr std::size_t Waiting = 160;
  Record = {daemonOf(Waiting, 20), ++Revision};
  std::vector<FirstWatcher> searches;
  for (std::size_t n = 0; n < Waiting; ++n) {
    searches.emplace_back(daemonOf(n, 20), false, TimePoint{});
    step(daemonOf(n, 20), searches[n], TimePoint{});
    REQUIRE(searches[n].watcher()->Vm == daemonOf(Waiting, 20).Vm);
    searches[n].handleLost(TimePoint{});
  }
  for (TimePoint now{}; now < TimePoint{} + milliseconds(1'000);
       now += milliseconds(20))
    for (std::size_t n = 0; n < Waiting; ++n)
      step(daemonOf(n, 20), searches[n], now);
  std::size_t listing = 0;
  for (const auto &it : searches) {
    CHECK(it.isOver(TimePoint{} + milliseconds(1'000)));
    listing += !it.watcher();
    CHECK((!it.watcher() || it.watcher()->Vm == Record->Named->Vm));
  }
  CHECK(listing == 1);
}

// Guards against a daemon that starts while the store is down and never lists.
TEST_CASE("first watcher, store does not answer, search ends") {
  FirstWatcher failed(daemonOf(2, 20), false, TimePoint{});
  REQUIRE(failed.next(TimePoint{}) == Call::Read);
  CHECK(failed.next(TimePoint{}) == Call::None);
  failed.handleRead(ReadOutcome::Unavailable, std::nullopt);
  CHECK(failed.isOver(TimePoint{}));

  FirstWatcher silent(daemonOf(2, 20), false, TimePoint{});
  REQUIRE(silent.next(TimePoint{}) == Call::Read);
  CHECK_FALSE(silent.isOver(TimePoint{}));
  CHECK(silent.isOver(TimePoint{} + proxy::limits::RecordTimeout));
}

// Guards against a domain whose daemons all list the store at each start.
TEST_CASE_FIXTURE(WatcherRecordFixture,
                  "first watcher, record unreadable, one replaces it and the "
                  "others call that one") {
  Record = {std::nullopt, ++Revision};
  FirstWatcher first(daemonOf(1, 20), false, TimePoint{});
  FirstWatcher second(daemonOf(2, 20), false, TimePoint{});
  for (int n = 0; n < 4; ++n) {
    step(daemonOf(1, 20), first, TimePoint{});
    step(daemonOf(2, 20), second, TimePoint{});
  }
  REQUIRE(Record->Named);
  CHECK(Record->Named->Vm == daemonOf(1, 20).Vm);
  CHECK_FALSE(first.watcher());
  REQUIRE(second.watcher());
  CHECK(second.watcher()->Vm == daemonOf(1, 20).Vm);
}

// Guards against calls without end if the record cannot be read.
TEST_CASE("first watcher, record refused and unreadable, makes three calls") {
  FirstWatcher search(daemonOf(2, 20), false, TimePoint{});
  REQUIRE(search.next(TimePoint{}) == Call::Read);
  search.handleRead(ReadOutcome::Done, std::nullopt);
  REQUIRE(search.next(TimePoint{}) == Call::Write);
  search.handleWritten(CallOutcome::Refused);
  REQUIRE(search.next(TimePoint{}) == Call::Read);
  search.handleRead(ReadOutcome::Done, std::nullopt);
  CHECK(search.next(TimePoint{}) == Call::None);
  CHECK(search.isOver(TimePoint{}));
}

TEST_CASE("watcher record, named daemon lost, is renewed by the first watcher "
          "only") {
  std::vector<Member> live{daemonOf(1, 20), daemonOf(2, 20)};
  CHECK_FALSE(isRecordRenewalDue(true, live[1], live));
  CHECK(isRecordRenewalDue(true, std::nullopt, live));
  CHECK(isRecordRenewalDue(true, daemonOf(3, 20), live));
  CHECK_FALSE(isRecordRenewalDue(false, daemonOf(3, 20), live));
  auto moved = live[1];
  moved.InnerAddress = "elsewhere:1";
  CHECK(isRecordRenewalDue(true, moved, live));
}

// Guards against daemons that wait without end for a first watcher, and against
// lists by all of them beside.
TEST_CASE("first watcher silent or without objects, counts as lost and the "
          "store is not listed") {
  for (bool isSilent : {true, false}) {
    struct NoObjects final : WatcherPort {
      bool Silent = false;
      void watch(const std::string &, const messages::WatchRequest &,
                 milliseconds, OnWatchAnswer done) override {
        done({Silent ? std::nullopt
                     : std::optional(messages::WatchAnswer{.Starting = true})});
      }
    } link;
    link.Silent = isSilent;
    struct CountedStore final : ObjectSource {
      std::size_t Calls = 0;
      void list(const std::string &, const std::string &, milliseconds,
                OnPage) override {
        ++Calls;
      }
      void watch(const std::string &, std::uint64_t, milliseconds,
                 OnChanges) override {
        ++Calls;
      }
    } store;
    ManualClock time;
    SharedWatch watch(store, link, "config", milliseconds(1'500), time);
    ObjectCache cache({.Kind = "config"}, watch, time);
    watch.setFirstWatcher(daemonOf(1, 20));
    cache.start();
    CHECK(watch.isFirstWatcherLost() == isSilent);
    for (Duration passed{}; passed < 2 * proxy::limits::ListTimeout;
         passed += milliseconds(20)) {
      time.advance(milliseconds(20));
      cache.tick();
    }
    CHECK(watch.isFirstWatcherLost());
    CHECK(store.Calls == 0);
    std::vector<Member> heardOf;
    for (std::size_t n = 0; n < 6; ++n)
      heardOf.push_back(daemonOf(n, n < 2 ? 1'000 : 20));
    watch.updateMembers(daemonOf(5, 20).Vm, DomainName(), heardOf);
    CHECK(watch.plan().Watchers.size() == 2);
    watch.updateMembers(daemonOf(5, 20).Vm, DomainName(), {});
    watch.setFirstWatcher(std::nullopt);
    cache.resync();
    CHECK(store.Calls == 1);
  }
}

// Guards against a daemon that starts without members and calls the store
// although its failure domain has a watcher.
TEST_CASE("shared watch, first watcher set, is called until members are "
          "known") {
  auto domain = DomainName("here");
  std::vector<Member> live;
  for (std::size_t n = 0; n < 6; ++n) {
    live.push_back(daemonOf(n, 20));
    live.back().Domain = domain;
  }
  struct NoStore final : ObjectSource {
    void list(const std::string &, const std::string &, milliseconds,
              OnPage) override {}
    void watch(const std::string &, std::uint64_t, milliseconds,
               OnChanges) override {}
  } store;
  struct NoLink final : WatcherPort {
    void watch(const std::string &, const messages::WatchRequest &,
               milliseconds, OnWatchAnswer) override {}
  } link;
  ManualClock time;
  SharedWatch watch(store, link, "config", milliseconds(1'500), time);
  watch.updateMembers(live[0].Vm, domain, {live[0]});
  CHECK(watch.plan().Watchers.empty());
  watch.setFirstWatcher(live[5]);
  REQUIRE(watch.plan().Watchers.size() == 1);
  CHECK(watch.plan().Watchers[0].Vm == live[5].Vm);
  watch.updateMembers(live[0].Vm, domain, {live[0], live[1]});
  CHECK(watch.plan().Watchers.size() == 1);
  watch.updateMembers(live[0].Vm, domain, live);
  CHECK(watch.plan().Watchers.size() == 1);
  watch.updateMembers(live[0].Vm, domain, {live[0], live[1]});
  watch.setFirstWatcher(std::nullopt);
  CHECK(watch.plan().Watchers.empty());
  watch.updateMembers(live[0].Vm, domain, live);
  CHECK((watch.plan().WatchesForOthers || watch.plan().Watchers.size() == 2));
}
