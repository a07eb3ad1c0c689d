#include "quota/paced_bucket.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Limit of a window: 550, at 110 a second. Excess: 10.
struct PacedBucketFixture {
  ManualClock Time;
  PacedBucket Bucket{{100, 50}, 10, seconds(5), Time.now()};

  /// Lets time pass in which the shares are held.
  void pass(Duration by, double share = 1) {
    Time.advance(by);
    refill({share, share, share * std::chrono::duration<double>(by).count()});
  }
  void refill(const HeldShares &shares, double least = 0) {
    Bucket.refill(shares, least, Time.now());
  }
};

} // namespace

// Guards against an account that gets its excess anew with each restart of the
// daemon that counts it.
TEST_CASE_FIXTURE(PacedBucketFixture, "bucket just begun, grants nothing") {
  refill({1, 0, 0});
  CHECK(Bucket.take(100) == 0);
  CHECK(Bucket.mode() == QuotaMode::Ask);
}

TEST_CASE_FIXTURE(PacedBucketFixture, "bucket idle, holds only the excess") {
  pass(seconds(60));
  CHECK(Bucket.take(100) == 10);
  CHECK(Bucket.take(1) == 0);
}

TEST_CASE_FIXTURE(PacedBucketFixture, "lasting burst, gets its limit evenly") {
  pass(seconds(60));
  std::uint32_t ran = 0;
  for (int n = 0; n < 250; ++n) {
    ran += Bucket.take(1'000);
    pass(milliseconds(20));
  }
  CHECK(ran <= 560);
  CHECK(ran >= 545);
}

TEST_CASE_FIXTURE(PacedBucketFixture,
                  "more run than allowed, is repaid before grants") {
  pass(seconds(60));
  Bucket.spend(32);
  CHECK(Bucket.take(1) == 0);
  CHECK(Bucket.untilNext() > milliseconds(200));
  pass(milliseconds(210));
  CHECK(Bucket.take(5) == 1);
}

TEST_CASE_FIXTURE(PacedBucketFixture, "bucket running low, has daemons ask") {
  pass(seconds(60));
  CHECK(Bucket.mode() == QuotaMode::Report);
  Bucket.spend(2);
  CHECK(Bucket.mode() == QuotaMode::ReportAtOnce);
  Bucket.spend(4);
  CHECK(Bucket.mode() == QuotaMode::Ask);
}

// Guards against the depth of a share that two counters spend.
TEST_CASE_FIXTURE(PacedBucketFixture,
                  "share returns after a break, it brings none of its depth") {
  pass(seconds(60));
  refill({1, 0.5, 0});
  CHECK(Bucket.take(100) == 5);
}

TEST_CASE_FIXTURE(PacedBucketFixture, "share lost, its depth is lost") {
  pass(seconds(60));
  refill({0.3, 0.3, 0});
  CHECK(Bucket.take(100) == 3);
}

// Guards against a lowered limit that the former one outlasts.
TEST_CASE_FIXTURE(PacedBucketFixture, "limit lowered, level is cut to it") {
  pass(seconds(60));
  Bucket.update({2, 4}, 1);
  pass(seconds(60));
  CHECK(Bucket.take(100) == 1);
}

TEST_CASE_FIXTURE(PacedBucketFixture, "limit of zero, nothing is granted") {
  Bucket.update({0, 0}, 10);
  pass(seconds(60));
  CHECK(Bucket.take(1) == 0);
  CHECK(Bucket.untilNext() > seconds(1));
}

// Guards against an account whose share at each daemon is below one operation.
TEST_CASE_FIXTURE(PacedBucketFixture, "least of one, one operation is saved") {
  Time.advance(seconds(60));
  refill({0.001, 0.001, 0.06}, 1);
  CHECK(Bucket.take(9) == 1);
  CHECK(Bucket.take(9) == 0);
}
