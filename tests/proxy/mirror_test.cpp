#include "proxy/mirror.h"

#include "telemetry/log_writer.h"

#include <doctest/doctest.h>
#include <string>
#include <utility>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Calls wait here until the test answers them.
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
  bool isReceiving(const std::string &) const override { return Receiving; }

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
  Mirror Copy{{.Kind = "targets", .KeepWhileAway = true, .ChangePause = {}},
              Source,
              Time};
  Objects Seen;

  MirrorFixture() {
    Copy.OnChange = [this](const Objects &it) { Seen = it; };
    Copy.start();
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
      Copy.tick();
    }
  }
};

} // namespace

// A change between two pages is never seen, when the watch goes on from the
// last page's revision: the object stood on the first one.
TEST_CASE_FIXTURE(MirrorFixture,
                  "list of two pages, watch goes on from the first") {
  Source.Lists[0](page({object("a", 3)}, 10, true));
  REQUIRE(Source.After.size() == 2);
  CHECK(Source.After[1] == "a");
  Source.Lists[1](page({object("b", 4)}, 15));
  CHECK(Seen.size() == 2);
  CHECK(Source.WatchedFrom == 10);
}

TEST_CASE_FIXTURE(MirrorFixture, "watch, history gone, lists again") {
  Source.Lists[0](page({object("a", 3)}, 10));
  Source.Watch({ReadOutcome::Gone, {}, false, 0});
  CHECK(Source.Lists.size() == 2);
}

TEST_CASE_FIXTURE(MirrorFixture, "watch, deletion in calm, is taken at once") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  Source.Watch(page({object("a", 11, true)}, 11));
  CHECK(Seen.size() == 1);
  CHECK(Source.WatchedFrom == 11);
}

// Callers find no target after an outage. The entries lapsed while the store
// was away, and their writers are back a moment after it.
TEST_CASE_FIXTURE(MirrorFixture,
                  "entries lapsed while the store was away, are kept a while") {
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

// The same by a list: an entry that is missing at first and back in the next
// list must not be dropped when the grace is over.
TEST_CASE_FIXTURE(MirrorFixture,
                  "entry missing in one list, back in the next, stays") {
  Source.Lists[0](page({object("a", 3), object("b", 4)}, 10));
  Source.Watch({});
  pass(milliseconds(500));
  Source.Watch({ReadOutcome::Gone, {}, false, 0});
  Source.Lists[1](page({object("b", 4)}, 20));
  CHECK(Seen.size() == 2);
  Copy.refresh();
  Source.Lists[2](page({object("a", 21), object("b", 4)}, 21));
  pass(milliseconds(2'500));
  CHECK(Seen.size() == 2);
}

// Callers are not served beyond the outage's end. The daemon started while
// the store was away; its first call hangs, and the one made beside it is
// answered as soon as the store is back.
TEST_CASE_FIXTURE(MirrorFixture,
                  "first list hangs, one asked beside it is taken") {
  pass(milliseconds(450));
  REQUIRE(Source.Lists.size() == 2);
  Source.Lists[1](page({object("a", 3)}, 10));
  CHECK(Seen.size() == 1);
  Source.Lists[0](page({}, 9));
  CHECK(Seen.size() == 1);
}

TEST_CASE_FIXTURE(MirrorFixture, "all lists hang, only a few are asked") {
  pass(std::chrono::seconds(20));
  CHECK(Source.Lists.size() == limits::MostLists);
}

// Guards against lists that fill a link beside the one that is on its way.
TEST_CASE_FIXTURE(MirrorFixture,
                  "list on its way, none is asked for beside it until it has "
                  "failed") {
  Source.Receiving = true;
  pass(std::chrono::seconds(5));
  CHECK(Source.Lists.size() == 1);
  Source.Receiving = false;
  Source.Lists[0]({});
  pass(std::chrono::seconds(1));
  CHECK(Source.Lists.size() > 1);
}

// Requests are handled by an old configuration, seconds after the store is
// back. A watch that is sent into the outage is never answered; so it may
// wait only for a short time while the store is lost.
TEST_CASE_FIXTURE(MirrorFixture,
                  "watch while the store is lost, waits for a short time") {
  Source.Lists[0](page({object("a", 3)}, 10));
  CHECK(Source.Wait == limits::WatchWait);
  unsigned regained = 0;
  Copy.OnRegained = [&] { ++regained; };
  Source.Watch({});
  pass(milliseconds(500));
  CHECK(Source.Wait == limits::LostWatchWait);
  CHECK(regained == 0);
  Source.Watch(page({}, 10));
  CHECK(regained == 1);
  CHECK(Source.Wait == limits::WatchWait);
}

// A daemon that the store turns away goes on by an old configuration. What
// another daemon has read is newer; what is older is never taken back.
TEST_CASE_FIXTURE(MirrorFixture,
                  "copy of another daemon, store lost, newer one is taken") {
  Source.Lists[0](page({object("a", 3)}, 10));
  Objects newer{{"a", object("a", 12)}};
  CHECK_FALSE(Copy.takeCopy(newer, 12));
  Source.Watch({});
  CHECK_FALSE(Copy.takeCopy({}, 9));
  CHECK(Copy.takeCopy(newer, 12));
  CHECK(Seen.at("a").Revision == 12);
  CHECK_FALSE(Copy.takeCopy({}, 12));
}

// Seventy daemons announce themselves within a second, and each has a watch
// that every announcement ends: nearly five thousand calls at once, which the
// store then turns away. The first change is seen at once; those that follow
// within the pause come with one call.
TEST_CASE("kind changes often, watched again after a pause") {
  ManualClock clock;
  FakeSource source;
  MirrorOptions options;
  options.Kind = "daemons";
  options.ChangePause = limits::OwnChangePause;
  Mirror copy(options, source, clock);
  copy.start();
  source.Lists[0](MirrorFixture::page({}, 5));
  std::exchange(source.Watch, nullptr)(
      MirrorFixture::page({MirrorFixture::object("a", 6)}, 6));
  CHECK(copy.objects().contains("a"));
  CHECK_FALSE(source.Watch);
  clock.advance(limits::OwnChangePause);
  copy.tick();
  REQUIRE(source.Watch);
  CHECK(source.WatchedFrom == 6);
  // A watch that ends without a change is followed by the next at once.
  std::exchange(source.Watch, nullptr)(MirrorFixture::page({}, 7));
  CHECK(source.Watch);
}

// Guards against a silent call that is noticed when the bound is over, with no
// time left to ask again.
TEST_CASE("watch of the configuration, its silence leaves time to ask again") {
  for (auto bound :
       {milliseconds(3'000), milliseconds(5'000), milliseconds(6'000),
        milliseconds(7'000), milliseconds(10'000), milliseconds(60'000)}) {
    auto noticed = watchWait(bound) + peridotfall::proxy::limits::WatchSlack;
    CHECK(noticed + peridotfall::proxy::limits::RecoveryReserve <= bound);
  }
  CHECK(watchWait(milliseconds(3'000)) == milliseconds(1'500));
  CHECK(watchWait(milliseconds(5'000)) == milliseconds(3'500));
  CHECK(watchWait(milliseconds(100)) ==
        peridotfall::proxy::limits::LeastWatchWait);
  CHECK(watchWait(milliseconds(60'000)) ==
        peridotfall::proxy::limits::WatchWait);
}

// Guards against a call that hangs and leaves an old copy in force unseen.
TEST_CASE("copy not confirmed in time while a call hangs, is reported once") {
  std::string lines;
  telemetry::setLineSink(
      [&](const std::string &line) { lines += line + "\n"; });
  ManualClock clock;
  FakeSource source;
  MirrorOptions options;
  options.Kind = "configuration";
  options.ReportAge = milliseconds(3'000);
  Mirror copy(options, source, clock);
  copy.start();
  source.Lists[0](MirrorFixture::page({}, 5));
  clock.advance(milliseconds(3'100));
  copy.tick();
  copy.tick();
  auto unconfirmed = lines.find("PF2009");
  REQUIRE(unconfirmed != std::string::npos);
  CHECK(lines.find("call_pending=yes") != std::string::npos);
  CHECK(lines.find("PF2009", unconfirmed + 1) == std::string::npos);
  std::exchange(source.Watch, nullptr)(MirrorFixture::page({}, 7));
  copy.tick();
  CHECK(lines.find("PF2010") != std::string::npos);
  telemetry::setLineSink(nullptr);
}

// Guards against an age that counts from the answer of another daemon, whose
// own copy is older.
TEST_CASE_FIXTURE(MirrorFixture,
                  "answer of another daemon, copy is as old as that one's") {
  Source.Lists[0](page({}, 5));
  auto listed = Copy.confirmedAt();
  pass(milliseconds(2'000));
  auto changes = page({}, 6);
  changes.Age = milliseconds(1'500);
  Source.Watch(changes);
  CHECK(Copy.confirmedAt() == listed + milliseconds(500));
}
