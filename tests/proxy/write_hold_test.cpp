#include "proxy/write_hold.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct WriteHoldFixture {
  ManualClock Time;
  HeldWrites Held;

  static WriteHold holdOf(std::uint64_t leadership, std::uint64_t count,
                          const char *target = "p") {
    return {
        GroupName("ledger"), {leadership, count}, TargetName(target), false};
  }
  bool apply(const WriteHold &it) { return Held.apply(it, Time.now()); }
  bool end(WriteHold it) {
    it.Ends = true;
    return apply(it);
  }
  bool covers(const char *target) const {
    return Held.covers(TargetName(target));
  }
};

const std::vector<VmName> Daemons{VmName("a"), VmName("b")};

} // namespace

TEST_CASE_FIXTURE(WriteHoldFixture,
                  "hold of one target, writes to others are not held") {
  CHECK(apply(holdOf(1, 1)));
  CHECK(covers("p"));
  CHECK_FALSE(covers("r"));
}

TEST_CASE_FIXTURE(WriteHoldFixture,
                  "hold without a target, writes to all are held") {
  CHECK(apply(holdOf(1, 1, "")));
  CHECK(covers("r"));
}

// Guards against writes that are held for good by a message that was overtaken.
TEST_CASE_FIXTURE(WriteHoldFixture,
                  "refresh after the end of the hold, is ignored") {
  CHECK(apply(holdOf(1, 1)));
  CHECK(end(holdOf(1, 1)));
  CHECK_FALSE(apply(holdOf(1, 1)));
  CHECK_FALSE(covers("p"));
  CHECK(apply(holdOf(1, 2)));
}

// Guards against the end of a later leader's hold by an earlier leader.
TEST_CASE_FIXTURE(WriteHoldFixture,
                  "hold or end of an earlier leader, is ignored") {
  CHECK(apply(holdOf(5, 1)));
  CHECK_FALSE(apply(holdOf(4, 9, "r")));
  CHECK_FALSE(end(holdOf(4, 9)));
  CHECK(covers("p"));
}

// Guards against writes that are held for good after the leader's end.
TEST_CASE_FIXTURE(WriteHoldFixture,
                  "hold not refreshed, it expires after its limit") {
  apply(holdOf(1, 1));
  Time.advance(proxy::limits::HoldLimit - milliseconds(1));
  CHECK_FALSE(Held.expire(Time.now()));
  apply(holdOf(1, 1));
  Time.advance(milliseconds(1));
  CHECK_FALSE(Held.expire(Time.now()));
  Time.advance(proxy::limits::HoldLimit);
  CHECK(Held.expire(Time.now()));
  CHECK_FALSE(covers("p"));
}

TEST_CASE_FIXTURE(WriteHoldFixture,
                  "daemon does not confirm, it is told again after a pause") {
  HoldRound round(holdOf(1, 1));
  CHECK(round.due(Daemons, Time.now()) == Daemons);
  CHECK(round.due(Daemons, Time.now()).empty());
  round.answered(VmName("a"), true, Time.now());
  round.answered(VmName("b"), false, Time.now());
  CHECK(round.missing(Daemons) == std::vector{VmName("b")});
  Time.advance(proxy::limits::HoldRetryPause);
  CHECK(round.due(Daemons, Time.now()) == std::vector{VmName("b")});
  round.answered(VmName("b"), true, Time.now());
  CHECK(round.missing(Daemons).empty());
}

// Guards against holds that expire while a change takes long.
TEST_CASE_FIXTURE(WriteHoldFixture,
                  "daemon has confirmed, its hold is refreshed in time") {
  HoldRound round(holdOf(1, 1));
  round.due(Daemons, Time.now());
  round.answered(VmName("a"), true, Time.now());
  Time.advance(proxy::limits::HoldRefresh);
  CHECK(round.due(Daemons, Time.now()) == std::vector{VmName("a")});
  CHECK(round.missing({VmName("a")}).empty());
}

TEST_CASE_FIXTURE(WriteHoldFixture,
                  "daemon joins during a hold, it is told and missing") {
  HoldRound round(holdOf(1, 1));
  round.due({VmName("a")}, Time.now());
  round.answered(VmName("a"), true, Time.now());
  CHECK(round.missing(Daemons) == std::vector{VmName("b")});
  CHECK(round.due(Daemons, Time.now()) == std::vector{VmName("b")});
  CHECK(round.told() == Daemons);
}
