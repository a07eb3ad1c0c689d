#include "peridotfall/quota.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct BucketFixture {
  ManualClock Time;
  QuotaBucket Bucket{{100, 50}, 10, Time.now()};
};

} // namespace

// Guards against an account that gets its burst anew with each restart of the
// daemon that counts it.
TEST_CASE_FIXTURE(BucketFixture, "bucket, just begun, grants only the excess") {
  CHECK(Bucket.take(100, Time.now()) == 10);
}

TEST_CASE_FIXTURE(BucketFixture, "bucket, idle, holds no more than its burst") {
  Time.advance(seconds(60));
  CHECK(Bucket.take(100, Time.now()) == 60);
  CHECK(Bucket.take(1, Time.now()) == 0);
  Time.advance(milliseconds(100));
  CHECK(Bucket.take(100, Time.now()) == 10);
}

TEST_CASE_FIXTURE(BucketFixture,
                  "bucket, more run than allowed, is repaid before grants") {
  Time.advance(seconds(60));
  Bucket.spend(80, Time.now());
  CHECK(Bucket.take(1, Time.now()) == 0);
  CHECK(Bucket.untilNext(Time.now()) > milliseconds(200));
  Time.advance(milliseconds(210));
  CHECK(Bucket.take(5, Time.now()) == 1);
}

TEST_CASE_FIXTURE(BucketFixture, "bucket, running low, has daemons ask") {
  Time.advance(seconds(60));
  CHECK(Bucket.mode(Time.now()) == QuotaMode::Report);
  Bucket.spend(10, Time.now());
  CHECK(Bucket.mode(Time.now()) == QuotaMode::ReportAtOnce);
  Bucket.spend(20, Time.now());
  CHECK(Bucket.mode(Time.now()) == QuotaMode::Ask);
}

// Guards against a lowered limit that the former burst outlasts.
TEST_CASE_FIXTURE(BucketFixture, "limit lowered, level is cut to the new one") {
  Time.advance(seconds(60));
  Bucket.update({2, 4}, 1, Time.now());
  CHECK(Bucket.take(100, Time.now()) == 5);
}

TEST_CASE_FIXTURE(BucketFixture, "limit of zero, nothing is ever granted") {
  Bucket.update({0, 0}, 0, Time.now());
  Time.advance(seconds(60));
  CHECK(Bucket.take(1, Time.now()) == 0);
  CHECK(Bucket.untilNext(Time.now()) > seconds(1));
}

// Each daemon may run one operation before it has been told anything.
TEST_CASE("initial mode, more daemons than the account may exceed its limit "
          "by, is to ask") {
  QuotaTolerance tolerance{milliseconds(5'000), 0.1, 20};
  CHECK(initialMode({120, 120}, tolerance, 75) == QuotaMode::Report);
  CHECK(initialMode({8, 8}, tolerance, 75) == QuotaMode::Ask);
  CHECK(initialMode({8, 8}, tolerance, 6) == QuotaMode::Report);
}
