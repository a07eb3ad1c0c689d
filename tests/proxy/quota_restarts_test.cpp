#include "quota_fleet.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

// Guards against daemons whose predecessor's shares are still in use.
TEST_CASE("daemons restart six at a time at nine times the usual load, the "
          "limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.625 * 9;
    fleet.run(rate, seconds(5));
    for (std::size_t n = 0; n < fleet.Members.size(); ++n) {
      fleet.restart(n);
      if (n % 6 == 5)
        fleet.run(rate, milliseconds(900));
    }
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against a counter that grants all it is asked while it has no table of
// the accounts.
TEST_CASE("counter restarts and has no configuration yet, the limit is kept") {
  for (auto quota : {Large, Small}) {
    for (auto without : {milliseconds(300), milliseconds(2'000)}) {
      CAPTURE(quota.RatePerSecond);
      CAPTURE(without);
      Fleet fleet(75, quota);
      auto rate = quota.RatePerSecond * 5;
      fleet.run(rate, seconds(6));
      auto counter = fleet.indexOf(fleet.counter());
      fleet.restart(counter, false);
      fleet.run(rate, without);
      fleet.configure(counter);
      fleet.run(rate, seconds(6));
      CHECK(fleet.mostInWindow() <= allowed(quota));
    }
  }
}

// Guards against refusals because of a counter that can't count yet.
TEST_CASE("counter restarts below the limit and has no configuration yet, "
          "hardly anything is refused") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.9;
    fleet.run(rate, seconds(6));
    auto counter = fleet.indexOf(fleet.counter());
    fleet.restart(counter, false);
    fleet.run(rate, milliseconds(500));
    fleet.configure(counter);
    fleet.run(rate, seconds(50));
    CAPTURE(fleet.Refused);
    CHECK(fleet.Refused * 200 <= fleet.Asked);
  }
}

// Guards against shares that stay with a counter that gets no configuration.
TEST_CASE("counter restarts below the limit and has no configuration for long, "
          "operations go on") {
  Fleet fleet(75, Large);
  auto rate = Large.RatePerSecond * 0.9;
  fleet.run(rate, seconds(6));
  fleet.restart(fleet.indexOf(fleet.counter()), false);
  fleet.run(rate, seconds(3));
  fleet.Asked = fleet.Refused = 0;
  fleet.run(rate, seconds(10));
  CAPTURE(fleet.Refused);
  CHECK(fleet.Refused * 20 <= fleet.Asked);
}

// Guards against a fleet that has restarted and waits long for counters that
// had no configuration when they were first asked.
TEST_CASE("all daemons restart and get their configurations one by one, "
          "operations go on") {
  Fleet fleet(75, Large);
  auto rate = Large.RatePerSecond * 0.6;
  fleet.run(rate, seconds(5));
  for (std::size_t n = 0; n < fleet.Members.size(); ++n)
    fleet.restart(n, false);
  for (std::size_t n = 0; n < fleet.Members.size(); ++n) {
    fleet.configure(n);
    fleet.run(rate, milliseconds(7));
  }
  fleet.run(rate, milliseconds(500));
  fleet.Ran.clear();
  fleet.run(rate, seconds(2));
  CHECK(static_cast<double>(fleet.Ran.size()) >= rate * 2 * 0.9);
}

// Guards against a configuration that reaches the counters last.
TEST_CASE("account added, its counters have an older configuration, the limit "
          "is kept") {
  Fleet fleet(75, Large);
  auto added = fleet.Table;
  auto counters = fleet.counters();
  for (auto &it : fleet.Daemons)
    it->apply(AccountTable(), Tolerance, 1);
  fleet.run(0, seconds(2));
  for (std::size_t n = 0; n < fleet.Members.size(); ++n)
    if (n != fleet.indexOf(counters[0].InnerAddress) &&
        n != fleet.indexOf(counters[1].InnerAddress))
      fleet.Daemons[n]->apply(added, Tolerance, 2);
  fleet.run(Large.RatePerSecond * 5, seconds(2));
  for (auto &it : fleet.Daemons)
    it->apply(added, Tolerance, 2);
  fleet.run(Large.RatePerSecond * 5, seconds(6));
  CHECK(fleet.mostInWindow() <= allowed(Large));
}

// Guards against operations that daemons may run uncounted after each start,
// where the account has just used up its limit.
TEST_CASE("all daemons that don't count restart at the limit, the limit is "
          "kept") {
  for (auto quota : {Large, AccountQuota{400, 400}}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 6;
    fleet.run(rate, milliseconds(4'700));
    for (std::size_t n = 0; n < fleet.Members.size(); ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n);
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against shares that processes and their predecessors use at once.
TEST_CASE("all daemons restart with the settings of the fleet's first start, "
          "the limit is kept") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 6;
    auto counter = fleet.counter();
    fleet.Down.insert(counter);
    fleet.run(rate, seconds(6));
    fleet.Down.clear();
    for (std::size_t n = 0; n < fleet.Members.size(); ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n, true, true);
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against operations that a process runs unasked after each start and
// reports to nobody before it ends.
TEST_CASE("daemons end soon after each start at the limit, the limit is kept") {
  AccountQuota quota{400, 400};
  Fleet fleet(30, quota);
  auto rate = quota.RatePerSecond * 6;
  fleet.run(rate, seconds(5));
  for (int round = 0; round < 25; ++round) {
    for (std::size_t n = 0; n < 12; ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n);
    fleet.run(rate, milliseconds(200));
  }
  CHECK(fleet.mostInWindow() <= allowed(quota));
}

// Guards against the part of the burst that daemons may run uncounted, where
// others have just used it up.
TEST_CASE("few daemons use up the limit, then all run at once, the limit is "
          "kept") {
  for (auto quota : {Large, AccountQuota{400, 400}}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    fleet.Callers = 3;
    fleet.run(quota.RatePerSecond * 6, milliseconds(4'800));
    fleet.Callers = fleet.Daemons.size();
    fleet.run(quota.RatePerSecond * 20, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against refusals while a counter restarts: half of the daemons
// delegate to the other one.
TEST_CASE("counter restarts below the limit, hardly anything is refused") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.9;
    fleet.run(rate, seconds(6));
    fleet.Down.insert(fleet.counter());
    fleet.run(rate, seconds(1));
    fleet.restart(fleet.indexOf(fleet.counter()));
    fleet.Down.clear();
    fleet.run(rate, seconds(50));
    CAPTURE(fleet.Refused);
    CHECK(fleet.Refused * 200 <= fleet.Asked);
  }
}
