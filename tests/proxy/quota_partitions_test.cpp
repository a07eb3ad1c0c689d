#include "quota_fleet.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

// Guards against both sides of a network partition granting the whole limit.
TEST_CASE("network partitioned and healed, the limit is kept") {
  struct Load {
    std::size_t Side;
    bool OneWay;
    double Use;
  };
  for (auto load :
       {Load{37, false, 0.6}, Load{37, false, 1}, Load{37, false, 5},
        Load{7, false, 1}, Load{7, false, 5}, Load{37, true, 1},
        Load{37, true, 5}, Load{68, false, 5}, Load{7, true, 5}}) {
    for (auto quota : {Large, Small}) {
      CAPTURE(quota.RatePerSecond);
      CAPTURE(load.Side);
      CAPTURE(load.OneWay);
      CAPTURE(load.Use);
      Fleet fleet(75, quota);
      auto rate = quota.RatePerSecond * load.Use;
      fleet.run(rate, seconds(6));
      fleet.Cut = between(fleet, load.Side, load.OneWay);
      fleet.run(rate, seconds(3));
      if (!load.OneWay)
        separateMembers(fleet, load.Side);
      fleet.run(rate, seconds(12));
      joinMembers(fleet);
      fleet.run(rate, seconds(12));
      CAPTURE(fleet.Refused);
      CAPTURE(fleet.Asked);
      CHECK(fleet.mostInWindow() <= allowed(quota));
    }
  }
}

// Guards against an account that gets a limit from each of the counters that
// follow one another.
TEST_CASE("three network partitions in 10 s, the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 5;
    fleet.run(rate, seconds(5));
    for (std::size_t side : {37, 10, 60}) {
      fleet.Cut = between(fleet, side);
      fleet.run(rate, milliseconds(1'500));
      separateMembers(fleet, side);
      fleet.run(rate, milliseconds(1'000));
      joinMembers(fleet);
      fleet.run(rate, milliseconds(800));
    }
    fleet.run(rate, seconds(10));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

TEST_CASE("counter killed during a network partition, the limit is kept") {
  Fleet fleet(75, Large);
  auto rate = Large.RatePerSecond * 5;
  fleet.run(rate, seconds(5));
  fleet.Cut = between(fleet, 37);
  fleet.run(rate, seconds(2));
  separateMembers(fleet, 37);
  fleet.run(rate, seconds(1));
  fleet.restart(fleet.indexOf(fleet.counter()));
  fleet.run(rate, seconds(10));
  CHECK(fleet.mostInWindow() <= allowed(Large));
}

TEST_CASE("limit lowered during a network partition, it binds") {
  constexpr AccountQuota Lowered{20, 20};
  Fleet fleet(75, Large);
  fleet.run(100, seconds(5));
  fleet.Cut = between(fleet, 37);
  fleet.run(100, seconds(3));
  fleet.apply(Lowered);
  fleet.run(100, seconds(1));
  fleet.Ran.clear();
  fleet.run(100, seconds(10));
  CHECK(fleet.mostInWindow() <= allowed(Lowered));
}

// Guards against an unused limit that is spent both before a partition and by
// the counters after it.
TEST_CASE("idle account at twenty times its limit before a network partition, "
          "the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 20;
    fleet.run(rate, seconds(1));
    fleet.Cut = between(fleet, 37);
    fleet.run(rate, seconds(2));
    separateMembers(fleet, 37);
    fleet.run(rate, seconds(10));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against one operation more from each of many daemons whose shares are
// less than one.
TEST_CASE("daemons reach no counter, idle and then all at once, the limit is "
          "kept") {
  Fleet fleet(300, Small);
  fleet.Cut = [](const std::string &, const std::string &) { return true; };
  fleet.run(0, seconds(3));
  fleet.run(10, seconds(60));
  fleet.run(2'000, seconds(3));
  CHECK(fleet.mostInWindow() <= allowed(Small));
}
