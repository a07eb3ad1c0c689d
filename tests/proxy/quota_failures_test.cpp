#include "quota_fleet.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

// Guards against two limits for callers that alternate between two counters.
TEST_CASE("counters lose answers in turn, the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto counters = fleet.counters();
    auto rate = quota.RatePerSecond * 5;
    for (int n = 0; n < 12; ++n) {
      auto silent = counters.at(n % 2).InnerAddress;
      fleet.Cut = [silent](const std::string &from, const std::string &) {
        return from == silent;
      };
      fleet.run(rate, milliseconds(1'300));
    }
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against sequences of failures that nobody has thought of.
TEST_CASE("300 daemons, random failures, the limit is kept") {
  for (std::uint32_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    auto quota = seed % 2 == 0 ? Small : AccountQuota{400, 300};
    Fleet fleet(300, quota);
    std::mt19937 random(seed);
    auto anyOf = [&](std::size_t n) { return random() % n; };
    for (int step = 0; step < 20; ++step) {
      switch (anyOf(5)) {
      case 0:
        fleet.Cut = between(fleet, 1 + anyOf(298), anyOf(2) == 0);
        break;
      case 1:
        fleet.Cut = [&](const std::string &, const std::string &) {
          return anyOf(10) == 0;
        };
        break;
      case 2:
        separateMembers(fleet, 1 + anyOf(298));
        break;
      case 3:
        joinMembers(fleet);
        break;
      default:
        for (int n = 0; n < 20; ++n) {
          auto restarted = anyOf(300);
          fleet.restart(restarted, n % 2 == 0);
        }
      }
      if (anyOf(2) == 0)
        while (!fleet.Unconfigured.empty())
          fleet.configure(*fleet.Unconfigured.begin());
      fleet.run(quota.RatePerSecond * static_cast<double>(1 + anyOf(9)) / 2,
                milliseconds(200 + anyOf(1'800)));
    }
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}
