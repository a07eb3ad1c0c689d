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
  CHECK(holderCount(15, 9) == 3);
  CHECK(holderCount(36, 6) == 6);
  CHECK(holderCount(28, 79) == 5);
  CHECK(holderCount(1, 1'700) == 1);
  CHECK(holderCount(0, 0) == 1);
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
