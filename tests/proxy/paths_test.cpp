#include "proxy/paths.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::milliseconds;

namespace {

struct PathsFixture {
  ManualClock Time;
  Paths Ways;
  VmName One{"one"};
  VmName Two{"two"};
  VmName Self{"self"};

  PathsFixture() { Ways.setHolders({One, Two}); }
};

} // namespace

TEST_CASE("holders, few connections before many daemons, have some each") {
  CHECK(planHolders(16, 2, 9).Holders == 3);
  CHECK(planHolders(38, 3, 6).Holders == 6);
  CHECK(planHolders(30, 2, 79).Holders == 4);
  CHECK(planHolders(1, 1, 1'700).Holders == 1);
  CHECK(planHolders(0, 0, 0).Holders == 1);
}

// Callers' orders and lookups alike are refused by a target whose queue is
// full. Seventy daemons share 186 connections to one that runs three
// statements; were each connection's holder to send its least, the target
// would have five times of what it takes.
TEST_CASE(
    "holders, many connections before few slots, send no more than runs") {
  for (std::size_t daemons : {1, 6, 9, 70, 79, 1'700})
    for (std::size_t connections : {16, 30, 38, 186, 2'000})
      for (std::size_t slots : {1, 2, 3, 8}) {
        auto plan = planHolders(connections, slots, daemons);
        CHECK(plan.Holders * plan.Running <= slots * limits::RunningPerSlot);
        CHECK(plan.Holders * plan.Connections <= connections);
      }
}

TEST_CASE_FIXTURE(PathsFixture,
                  "statements of one daemon, spread over holders") {
  CHECK(Ways.choose(Self, true) == One);
  Ways.started(One);
  CHECK(Ways.choose(Self, true) == Two);
  Ways.started(Two);
  Ways.ended(One, false, Time.now());
  CHECK(Ways.choose(Self, true) == One);
}

TEST_CASE_FIXTURE(PathsFixture,
                  "holder itself, connections free, asks nobody") {
  Ways.setHolders({One, Self});
  CHECK(Ways.choose(Self, true) == Self);
  Ways.started(Self);
  CHECK(Ways.choose(Self, false) == One);
}

// Callers wait for a holder that is dead or cut off, while another one of the
// same target answers.
TEST_CASE_FIXTURE(PathsFixture, "path that failed, is passed over and probed") {
  Ways.started(One);
  Ways.ended(One, true, Time.now());
  CHECK(Ways.choose(Self, true) == Two);
  CHECK_FALSE(Ways.unreachableSince());
  CHECK(Ways.probesDue(Time.now()).empty());
  Time.advance(limits::PathProbe);
  CHECK(Ways.probesDue(Time.now()) == std::vector<VmName>{One});
  CHECK(Ways.probesDue(Time.now()).empty());
  Ways.ended(One, false, Time.now());
  CHECK(Ways.choose(Self, true) == One);
}

TEST_CASE_FIXTURE(PathsFixture, "all paths failed, target is unreachable") {
  auto first = Time.now();
  Ways.ended(One, true, first);
  Time.advance(milliseconds(100));
  Ways.ended(Two, true, Time.now());
  CHECK(Ways.unreachableSince() == Time.now());
  CHECK(Ways.choose(Self, true) == One);
  Ways.setHolders({Two});
  CHECK(Ways.unreachableSince());
  Ways.ended(Two, false, Time.now());
  CHECK_FALSE(Ways.unreachableSince());
}

// Load: callers that leave while a holder works for them. Nothing is answered
// then, and the holder must not be taken for the busier one for good.
TEST_CASE_FIXTURE(PathsFixture, "work given up, its path is free again") {
  Ways.started(One);
  CHECK(Ways.choose(Self, true) == Two);
  Ways.dropped(One);
  CHECK(Ways.choose(Self, true) == One);
}
