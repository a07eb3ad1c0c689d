#include "peridotfall/quota.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using std::chrono::milliseconds;

// Each daemon may run one operation before it has been told anything.
TEST_CASE("initial mode, more daemons than the account may exceed its limit "
          "by, is to ask") {
  QuotaTolerance tolerance{milliseconds(5'000), 0.1, 20};
  CHECK(initialMode({120, 120}, tolerance, 75) == QuotaMode::Report);
  CHECK(initialMode({8, 8}, tolerance, 75) == QuotaMode::Ask);
  CHECK(initialMode({8, 8}, tolerance, 6) == QuotaMode::Report);
}
