#include "proxy/object_cache.h"

#include "telemetry/log_writer.h"

#include <doctest/doctest.h>
#include <string>
#include <utility>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Keeps calls pending until the test answers them.
struct FakeSource final : ObjectSource {
  void list(const std::string &, const std::string &after, milliseconds,
            OnPage done) override {
    After.push_back(after);
    Lists.push_back(std::move(done));
  }
  void watch(const std::string &, std::uint64_t revision, milliseconds wait,
             OnChanges done) override {
    WatchedFrom = revision;
    Wait = wait;
    Watch = std::move(done);
  }
  bool watchShared(const std::string &, std::uint64_t revision, milliseconds,
                   const OnChanges &done) override {
    SharedFrom.push_back(revision);
    if (HasWatcher)
      Shared = done;
    return HasWatcher;
  }
  bool isReceiving(const std::string &) const override { return Receiving; }

  bool HasWatcher = false; ///< Whether another daemon can be called.
  OnChanges Shared;
  std::vector<std::uint64_t> SharedFrom;

  bool Receiving = false;
  std::vector<std::string> After;
  std::vector<OnPage> Lists;
  OnChanges Watch;
  std::uint64_t WatchedFrom = 0;
  milliseconds Wait{};
};

struct MirrorFixture {
  ManualClock Time;
  FakeSource Source;
  ObjectCache Cache{
      {.Kind = "targets", .KeepAfterOutage = true, .ChangePause = {}},
      Source,
      Time};
  Objects Seen;
  std::set<std::string> Changed; ///< Since the last call.

  MirrorFixture() {
    Cache.OnChange = [this](const Objects &it,
                            const std::set<std::string> &changed) {
      Seen = it;
      Changed = changed;
    };
    Cache.start();
  }
  static StoredObject object(const char *name, std::uint64_t revision,
                             bool deleted = false) {
    return {name, "{}", revision, deleted};
  }
  static ObjectPage page(std::vector<StoredObject> objects,
                         std::uint64_t revision, bool more = false) {
    return {ReadOutcome::Done, std::move(objects), more, revision};
  }
  void pass(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      Cache.tick();
    }
  }
};

} // namespace

// A watch from the last page's revision would miss a change of an object of the
// first page that happened between the two pages.
TEST_CASE_FIXTURE(MirrorFixture,
                  "list of two pages, watch starts at the first page's "
                  "revision") {
  Source.Lists[0](page({object("a", 3)}, 10, true));
  REQUIRE(Source.After.size() == 2);
  CHECK(Source.After[1] == "a");
  Source.Lists[1](page({object("b", 4)}, 15));
  CHECK(Seen.size() == 2);
  CHECK(Source.WatchedFrom == 10);
}

// Guards against targets that are lost, and against lists without end.
TEST_CASE_FIXTURE(MirrorFixture,
                  "page without a new name, is the last one and the objects "
                  "after it are kept") {
  Source.Lists[0](page({object("a", 3), object("b", 4), object("d", 5)}, 10));
  for (bool isRepeated : {false, true}) {
    Cache.refresh();
    Source.Lists.back()(page({object("a", 3), object("b", 6)}, 20, true));
    auto lists = Source.Lists.size();
    auto second = page({}, 20, true);
    if (isRepeated)
      second.Objects = {object("b", 6)};
    else
      second.Nameless = 1;
    Source.Lists.back()(second);
    CHECK(Source.Lists.size() == lists);
    CHECK(Cache.objects().size() == 3);
    CHECK(Cache.objects().at("b").Revision == 6);
    CHECK(Source.WatchedFrom == 20);
  }
}

// Guards against a log that is filled by one object.
TEST_CASE_FIXTURE(MirrorFixture,
                  "object without a readable name, is logged once") {
  std::size_t lines = 0;
  telemetry::setLineSink([&](const std::string &line) {
    lines += line.find("entry unreadable") != std::string::npos;
  });
  auto list = [this](std::size_t nameless) {
    auto it = page({object("a", 3)}, 10);
    it.Nameless = nameless;
    Source.Lists.back()(it);
    Cache.refresh();
  };
  for (std::size_t n : {0, 1, 1, 1})
    list(n);
  CHECK(lines == 1);
  for (std::size_t n : {2, 2, 0, 1})
    list(n);
  CHECK(lines == 3);
  telemetry::setLineSink(nullptr);
}

TEST_CASE_FIXTURE(MirrorFixture, "watch, history gone, lists again") {
  Source.Lists[0](page({object("a", 3)}, 10));
  Source.Watch({ReadOutcome::Gone, {}, false, 0});
  CHECK(Source.Lists.size() == 2);
}

TEST_CASE_FIXTURE(MirrorFixture,
                  "watch, deletion without an outage, is applied at once") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  Source.Watch(page({object("a", 11, true)}, 11));
  CHECK(Seen.size() == 1);
  CHECK(Source.WatchedFrom == 11);
}

// Guards against a list of the store by each daemon that called two watchers
// which have started one after the other.
TEST_CASE_FIXTURE(MirrorFixture,
                  "history gone at another daemon, all objects are fetched "
                  "from it and not from the store") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  auto lists = Source.Lists.size();
  Source.HasWatcher = true;
  Source.Watch({ReadOutcome::Gone, {}, false, 0});
  CHECK(Source.SharedFrom.back() == 0);
  Source.Shared(page({object("b", 4), object("c", 12)}, 12));
  CHECK(Source.Lists.size() == lists);
  CHECK_FALSE(Seen.contains("a"));
  CHECK(Seen.contains("c"));
  CHECK(Cache.revision() == 12);
  CHECK(Source.WatchedFrom == 12);
}

TEST_CASE_FIXTURE(MirrorFixture,
                  "history gone at another daemon, which then fails or has "
                  "older objects, the store is listed") {
  for (const auto &answer : {ObjectPage{}, page({object("a", 2)}, 9)}) {
    Source.HasWatcher = false;
    Cache.refresh();
    Source.Lists.back()(page({object("a", 3)}, 10));
    auto lists = Source.Lists.size();
    Source.HasWatcher = true;
    Source.Watch({ReadOutcome::Gone, {}, false, 0});
    Source.Shared(answer);
    CHECK(Source.Lists.size() == lists + 1);
    CHECK(Cache.revision() == 10);
  }
}

// Guards against callers that find no target after an outage: the entries
// expired during it, and their writers return shortly after it.
TEST_CASE_FIXTURE(MirrorFixture,
                  "entries expired in an outage, are kept for a grace period") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  Source.Watch({});
  pass(milliseconds(500));
  Source.Watch(page({object("a", 12, true), object("b", 13, true)}, 13));
  CHECK(Seen.size() == 2);
  Source.Watch(page({object("a", 14)}, 14));
  pass(milliseconds(2'500));
  CHECK(Seen.size() == 1);
  CHECK(Seen.contains("a"));
}

// The same with a list: an entry that is missing in the first list and present
// in the next must not be deleted at the end of the grace period.
TEST_CASE_FIXTURE(MirrorFixture,
                  "entry missing in one list, present in the next, is kept") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  Source.Watch({});
  pass(milliseconds(500));
  Source.Watch({ReadOutcome::Gone, {}, false, 0});
  Source.Lists[1](page({object("b", 4)}, 20));
  CHECK(Seen.size() == 2);
  Cache.refresh();
  Source.Lists[2](page({object("a", 21), object("b", 4)}, 21));
  pass(milliseconds(2'500));
  CHECK(Seen.size() == 2);
}

// Guards against a start that is delayed beyond the end of an outage. The
// daemon starts during the outage and its first call hangs; a parallel call is
// answered as soon as the store is available.
TEST_CASE_FIXTURE(MirrorFixture,
                  "first list hangs, answer of a parallel list is used") {
  pass(milliseconds(450));
  REQUIRE(Source.Lists.size() == 2);
  Source.Lists[1](page({object("a", 3)}, 10));
  CHECK(Seen.size() == 1);
  Source.Lists[0](page({}, 9));
  CHECK(Seen.size() == 1);
}

TEST_CASE_FIXTURE(MirrorFixture,
                  "all lists hang, number of parallel lists is limited") {
  pass(std::chrono::seconds(20));
  CHECK(Source.Lists.size() == limits::MaxParallelLists);
}

// Guards against parallel lists that saturate a link while a list is received.
TEST_CASE_FIXTURE(MirrorFixture,
                  "list being received, no parallel list until it fails") {
  Source.Receiving = true;
  pass(std::chrono::seconds(5));
  CHECK(Source.Lists.size() == 1);
  Source.Receiving = false;
  Source.Lists[0]({});
  pass(std::chrono::seconds(1));
  CHECK(Source.Lists.size() > 1);
}

// Guards against an old configuration in use for seconds after an outage. A
// watch sent during the outage is never answered, so its wait must be short.
TEST_CASE_FIXTURE(MirrorFixture,
                  "watch while the store is unavailable, has a short wait") {
  Source.Lists[0](page({object("a", 3)}, 10));
  CHECK(Source.Wait == limits::WatchWait);
  unsigned regained = 0;
  Cache.OnAvailable = [&] { ++regained; };
  Source.Watch({});
  pass(milliseconds(500));
  CHECK(Source.Wait == limits::OutageWatchWait);
  CHECK(regained == 0);
  Source.Watch(page({}, 10));
  CHECK(regained == 1);
  CHECK(Source.Wait == limits::WatchWait);
}

// Guards against an old configuration on a daemon that the store rejects.
// Another daemon's snapshot is newer; an older one must not be applied.
TEST_CASE_FIXTURE(MirrorFixture,
                  "snapshot of another daemon, store unavailable, is applied "
                  "if newer") {
  Source.Lists[0](page({object("a", 3)}, 10));
  Objects newer{{"a", object("a", 12)}};
  CHECK_FALSE(Cache.applySnapshot(newer, 12));
  Source.Watch({});
  CHECK_FALSE(Cache.applySnapshot({}, 9));
  CHECK(Cache.applySnapshot(newer, 12));
  CHECK(Seen.at("a").Revision == 12);
  CHECK_FALSE(Cache.applySnapshot({}, 12));
}

// Guards against overload of the store: seventy daemons register within a
// second, and each registration ends the watch of each daemon, which makes
// nearly five thousand calls at once. The first change is seen at once, those
// within the pause in one call.
TEST_CASE("kind has changed, next watch starts after a pause") {
  ManualClock clock;
  FakeSource source;
  ObjectCacheOptions options;
  options.Kind = "daemons";
  options.ChangePause = limits::DaemonChangePause;
  ObjectCache cache(options, source, clock);
  cache.start();
  source.Lists[0](MirrorFixture::page({}, 5));
  std::exchange(source.Watch, nullptr)(
      MirrorFixture::page({MirrorFixture::object("a", 6)}, 6));
  CHECK(cache.objects().contains("a"));
  CHECK_FALSE(source.Watch);
  clock.advance(limits::DaemonChangePause);
  cache.tick();
  REQUIRE(source.Watch);
  CHECK(source.WatchedFrom == 6);
  // After a watch without a change the next one starts at once.
  std::exchange(source.Watch, nullptr)(MirrorFixture::page({}, 7));
  CHECK(source.Watch);
}

// Guards against an unanswered call that is noticed only at the end of the
// bound, with no time left for another call.
TEST_CASE("watch of the configuration unanswered, time is left for another") {
  for (auto bound :
       {milliseconds(3'000), milliseconds(5'000), milliseconds(6'000),
        milliseconds(7'000), milliseconds(10'000), milliseconds(60'000)}) {
    auto noticed = maxWatchWait(bound) + peridotfall::proxy::limits::WatchSlack;
    CHECK(noticed + peridotfall::proxy::limits::RecoveryReserve <= bound);
  }
  CHECK(maxWatchWait(milliseconds(3'000)) == milliseconds(1'500));
  CHECK(maxWatchWait(milliseconds(5'000)) == milliseconds(3'500));
  CHECK(maxWatchWait(milliseconds(100)) ==
        peridotfall::proxy::limits::MinWatchWait);
  CHECK(maxWatchWait(milliseconds(60'000)) ==
        peridotfall::proxy::limits::WatchWait);
}

// Guards against a hanging call that leaves old objects in use without a
// report.
TEST_CASE("cache not confirmed in time while a call hangs, is reported once") {
  std::string lines;
  telemetry::setLineSink(
      [&](const std::string &line) { lines += line + "\n"; });
  ManualClock clock;
  FakeSource source;
  ObjectCacheOptions options;
  options.Kind = "configuration";
  options.ReportAge = milliseconds(3'000);
  ObjectCache cache(options, source, clock);
  cache.start();
  source.Lists[0](MirrorFixture::page({}, 5));
  clock.advance(milliseconds(3'100));
  cache.tick();
  cache.tick();
  auto unconfirmed = lines.find("PF2009");
  REQUIRE(unconfirmed != std::string::npos);
  CHECK(lines.find("call_pending=yes") != std::string::npos);
  CHECK(lines.find("PF2009", unconfirmed + 1) == std::string::npos);
  std::exchange(source.Watch, nullptr)(MirrorFixture::page({}, 7));
  cache.tick();
  CHECK(lines.find("PF2010") != std::string::npos);
  telemetry::setLineSink(nullptr);
}

// Guards against an age counted from the answer of another daemon, whose own
// cached objects are older.
TEST_CASE_FIXTURE(MirrorFixture,
                  "answer of another daemon, its age is included") {
  Source.Lists[0](page({}, 5));
  auto listed = Cache.confirmedAt();
  pass(milliseconds(2'000));
  auto changes = page({}, 6);
  changes.Age = milliseconds(1'500);
  Source.Watch(changes);
  CHECK(Cache.confirmedAt() == listed + milliseconds(500));
}

// Guards against work for thousands of objects at each change of one.
TEST_CASE_FIXTURE(MirrorFixture,
                  "watch and list, names of the changed objects, are passed "
                  "on") {
  using Names = std::set<std::string>;
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  CHECK(Changed == Names{"a", "b"});
  Source.Watch(page({object("b", 11), object("c", 12)}, 12));
  CHECK(Changed == Names{"b", "c"});
  Source.Watch(page({object("a", 13, true)}, 13));
  CHECK(Changed == Names{"a"});
  Cache.refresh();
  Source.Lists[1](page({object("b", 11), object("c", 14)}, 15));
  CHECK(Changed == Names{"c"});
}
