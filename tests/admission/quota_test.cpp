#include "peridotfall/quota.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using std::chrono::milliseconds;

// Each daemon may run one operation before it has been told anything.
TEST_CASE("initial mode, more daemons than the account may exceed its limit "
          "by, is to ask") {
  QuotaTolerance tolerance{milliseconds(5'000), 0.1, 20};
  CHECK(initialMode({400, 400}, tolerance, 75) == QuotaMode::Report);
  CHECK(initialMode({120, 120}, tolerance, 75) == QuotaMode::Ask);
  CHECK(initialMode({8, 8}, tolerance, 75) == QuotaMode::Ask);
  CHECK(initialMode({8, 8}, tolerance, 6) == QuotaMode::Report);
}

// Guards against operations that daemons run uncounted beyond what is kept back
// for them.
TEST_CASE("operations not yet reported, of all daemons, are within the excess "
          "that isn't granted") {
  QuotaTolerance tolerance{milliseconds(5'000), 0.1, 20};
  for (AccountQuota quota :
       {AccountQuota{8, 8}, AccountQuota{400, 400}, AccountQuota{10, 4'000}})
    for (std::size_t daemons : {1, 9, 75, 300}) {
      auto unreported = unreportedLimit(quota, tolerance, daemons) * daemons;
      CHECK(static_cast<double>(unreported) <=
            toleratedExcess(quota, tolerance) * (1 - GrantedExcess));
    }
}
