#include "proxy/holder_paths.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::milliseconds;

namespace {

struct PathsFixture {
  ManualClock Time;
  HolderPaths TargetPaths;
  VmName One{"one"};
  VmName Two{"two"};
  VmName Self{"self"};

  PathsFixture() { TargetPaths.setHolders({One, Two}); }
};

} // namespace

// Guards against an allocation by another writer's number.
TEST_CASE("plan of holders, slots and connections of any size, is in bounds") {
  constexpr std::size_t Most = 4'294'967'295;
  for (std::size_t slots : {std::size_t{0}, std::size_t{1}, Most})
    for (std::size_t connections : {std::size_t{0}, std::size_t{16}, Most})
      for (std::size_t daemons : {std::size_t{0}, std::size_t{9}}) {
        CAPTURE(slots);
        CAPTURE(connections);
        CAPTURE(daemons);
        auto it = planHolders(connections, slots, daemons, 0.9);
        CHECK(it.Holders >= 1);
        CHECK(it.Holders <= std::max<std::size_t>(daemons, 1));
        CHECK(it.Connections >= 1);
        CHECK(it.Running >= proxy::limits::MinRunningPerHolder);
      }
}

TEST_CASE("holders, few connections for many daemons, have some each") {
  CHECK(planHolders(16, 2, 9).Holders == 3);
  CHECK(planHolders(38, 3, 6).Holders == 6);
  CHECK(planHolders(30, 2, 79).Holders == 4);
  CHECK(planHolders(1, 1, 1'700).Holders == 1);
  CHECK(planHolders(0, 0, 0).Holders == 1);
}

// A target whose queue is full refuses orders and lookups alike. Seventy
// daemons share 186 connections to one that runs three statements; if the
// holder of each connection could send its minimum, the target would get five
// times what it accepts.
TEST_CASE(
    "holders, many connections for few slots, send no more than can run") {
  for (std::size_t daemons : {1, 6, 9, 70, 79, 1'700})
    for (std::size_t connections : {16, 30, 38, 186, 2'000})
      for (std::size_t slots : {1, 2, 3, 8}) {
        auto plan = planHolders(connections, slots, daemons);
        CHECK(plan.Holders * plan.Running <= slots * limits::RunningPerSlot);
        CHECK(plan.Holders * plan.Connections <= connections);
      }
}

// Guards against seconds without service after all VMs lost power: the target
// counts their connections for a while.
TEST_CASE("connections of accounts, those of lost VMs and new ones fit") {
  for (std::size_t connections : {16, 36, 70, 186}) {
    auto plan = planHolders(connections, 4, 77, limits::PlannedShareByAccount);
    CHECK(2 * plan.Holders * plan.Connections <= connections);
  }
}

TEST_CASE_FIXTURE(PathsFixture,
                  "statements of one daemon, spread over holders") {
  CHECK(TargetPaths.choose(Self, true) == One);
  TargetPaths.started(One);
  CHECK(TargetPaths.choose(Self, true) == Two);
  TargetPaths.started(Two);
  TargetPaths.ended(One, false, {}, Time.now());
  CHECK(TargetPaths.choose(Self, true) == One);
}

TEST_CASE_FIXTURE(PathsFixture,
                  "holder itself, connections free, uses its own") {
  TargetPaths.setHolders({One, Self});
  CHECK(TargetPaths.choose(Self, true) == Self);
  TargetPaths.started(Self);
  CHECK(TargetPaths.choose(Self, false) == One);
}

// Guards against callers that wait for a holder which has crashed or is cut
// off, while another holder of the same target answers.
TEST_CASE_FIXTURE(PathsFixture, "path that failed, is skipped and probed") {
  TargetPaths.started(One);
  TargetPaths.ended(One, true, {}, Time.now());
  CHECK(TargetPaths.choose(Self, true) == Two);
  CHECK_FALSE(TargetPaths.unreachableSince());
  CHECK(TargetPaths.probesDue(Time.now()).empty());
  Time.advance(limits::PathProbeInterval);
  CHECK(TargetPaths.probesDue(Time.now()) == std::vector<VmName>{One});
  CHECK(TargetPaths.probesDue(Time.now()).empty());
  TargetPaths.ended(One, false, {}, Time.now());
  CHECK(TargetPaths.choose(Self, true) == One);
}

TEST_CASE_FIXTURE(PathsFixture, "all paths failed, target is unreachable") {
  auto first = Time.now();
  TargetPaths.ended(One, true, {}, first);
  Time.advance(milliseconds(100));
  TargetPaths.ended(Two, true, {}, Time.now());
  CHECK(TargetPaths.unreachableSince() == Time.now());
  CHECK(TargetPaths.choose(Self, true) == One);
  TargetPaths.setHolders({Two});
  CHECK(TargetPaths.unreachableSince());
  TargetPaths.ended(Two, false, {}, Time.now());
  CHECK_FALSE(TargetPaths.unreachableSince());
}

// Guards against a holder that counts as busy for good: callers close their
// sessions while it works for them, so their statements get no answer.
TEST_CASE_FIXTURE(PathsFixture, "work abandoned, its path is free again") {
  TargetPaths.started(One);
  CHECK(TargetPaths.choose(Self, true) == Two);
  TargetPaths.dropped(One);
  CHECK(TargetPaths.choose(Self, true) == One);
}
