#include "peridotfall/placement.h"
#include "peridotfall/retry_budget.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A primary in another failure domain of the region, a replica in the own one
/// and a replica over the link between regions.
struct PlacementFixture {
  ManualClock Time;
  Placement Reads{1};
  Candidate Primary{TargetName("depot"),  true, true, false,
                    Distance::SameRegion, {},   {}};
  Candidate Here{TargetName("press"),  false, true, false,
                 Distance::SameDomain, {},    {}};
  Candidate Far{TargetName("desk"),    false, true, false,
                Distance::OtherRegion, {},    {}};
  bool LinkOpen = true;

  Choice choose(const ReadDemand &it) {
    return Reads.choose(it, {Primary, Here, Far}, LinkOpen, Time.now());
  }
  ReadDemand stale(Duration maxAge) const {
    return {Access::StaleRead, {}, maxAge, false, {}};
  }
  ReadDemand fresh(Position notBefore) const {
    return {Access::FreshRead, notBefore, {}, false, {}};
  }
  void answer(const Candidate &from, Duration ran, Duration wait = {}) {
    AnswerReport it;
    it.Target = from.Name;
    it.FromPrimary = from.IsPrimary;
    it.Ran = ran;
    it.Wait = wait;
    it.Mode = Access::StaleRead;
    Reads.started(from.Name);
    Reads.answered(it, 2, Time.now());
  }
};

} // namespace

TEST_CASE_FIXTURE(PlacementFixture,
                  "stale read, all replicas healthy, goes to the own domain") {
  CHECK(choose(stale(seconds(5))).Target.Value == "press");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "stale read, replica older than allowed, goes elsewhere") {
  Here.Age = seconds(6);
  auto it = choose(stale(seconds(5)));
  CHECK(it.Target.Value == "desk");
  CHECK(it.OverLink);
  Far.Age = seconds(6);
  CHECK(choose(stale(seconds(5))).Target.Value == "depot");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "fresh read, replica about to catch up, waits a little") {
  Here.Age = milliseconds(20);
  Reads.noteHead({1, 8}, Time.now());
  Time.advance(milliseconds(10));
  auto it = choose(fresh({1, 8}));
  CHECK(it.Target.Value == "press");
  CHECK((it.WaitBefore == milliseconds(10)));
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "fresh read, replicas far behind, goes to the primary") {
  Here.Age = seconds(3);
  Far.Age = seconds(3);
  Reads.noteHead({1, 8}, Time.now());
  CHECK(choose(fresh({1, 8})).Target.Value == "depot");
  // After more than their lag the replicas include the session's write.
  Time.advance(seconds(4));
  CHECK(choose(fresh({1, 8})).Target.Value == "press");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "read of a session with a write of unknown outcome goes to "
                  "the primary only") {
  auto it = fresh({});
  it.PrimaryOnly = true;
  CHECK(choose(it).Target.Value == "depot");
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "slow replica is ejected and its share rises again gradually") {
  // A replica takes ten times as long as the others and is ejected after about
  // a dozen answers. After the ejection it gets a small share of the reads,
  // then its full share.
  for (int n = 0; n < 40; ++n) {
    answer(Here, milliseconds(4));
    answer(Far, milliseconds(4));
  }
  for (int n = 0; n < 40 && !Reads.ejected(Here.Name, Time.now()); ++n)
    answer(Here, milliseconds(40));
  CHECK(Reads.ejected(Here.Name, Time.now()));
  CHECK(choose(stale(seconds(5))).Target.Value != "press");
  Time.advance(limits::FirstEjection + milliseconds(100));
  int early = 0;
  for (int n = 0; n < 100; ++n)
    early += choose(stale(seconds(5))).Target.Value == "press";
  CHECK(early > 0);
  CHECK(early < 30);
  Time.advance(limits::RampUp);
  CHECK(choose(stale(seconds(5))).Target.Value == "press");
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "both replicas failing, only one is ejected") {
  AnswerReport failure;
  failure.Code = AnswerCode::Unavailable;
  failure.Mode = Access::StaleRead;
  for (const auto &it : {Here, Far})
    for (int n = 0; n < 10; ++n) {
      failure.Target = it.Name;
      Reads.answered(failure, 2, Time.now());
    }
  int out = Reads.ejected(Here.Name, Time.now()) +
            Reads.ejected(Far.Name, Time.now());
  CHECK(out == 1);
}

TEST_CASE_FIXTURE(
    PlacementFixture,
    "link budget spent, replica over the link is the last choice") {
  Here.Reachable = false;
  CHECK(choose(stale(seconds(5))).OverLink);
  LinkOpen = false;
  CHECK(choose(stale(seconds(5))).Target.Value == "depot");
  // With no other target the read is still served.
  Primary.Reachable = false;
  CHECK(choose(stale(seconds(5))).Target.Value == "desk");
}

// The reported age of a replica's data is more precise than a lag computed from
// its position, which may be old only because nothing was written since.
TEST_CASE_FIXTURE(PlacementFixture,
                  "reported age of a replica's data is not replaced by its "
                  "position") {
  Reads.noteHead({1, 8}, Time.now());
  Time.advance(seconds(2));
  Reads.noteHead({1, 9}, Time.now());
  Time.advance(seconds(2));
  AnswerReport it;
  it.Target = Here.Name;
  it.Mode = Access::StaleRead;
  it.At = {1, 7};
  it.Age = milliseconds(5);
  Reads.started(Here.Name);
  Reads.answered(it, 2, Time.now());
  CHECK_FALSE(Reads.lagsBy(Here.Name, milliseconds(100)));
}

TEST_CASE_FIXTURE(PlacementFixture,
                  "replica's position known, its lag is the age of the next "
                  "position") {
  Reads.noteHead({1, 8}, Time.now());
  Time.advance(seconds(2));
  Reads.noteHead({1, 9}, Time.now());
  Time.advance(seconds(2));
  Reads.noteApplied(Here.Name, {1, 8}, Time.now());
  CHECK(Reads.lagsBy(Here.Name, seconds(2)));
  CHECK_FALSE(Reads.lagsBy(Here.Name, milliseconds(2'100)));
  Reads.noteApplied(Here.Name, {1, 9}, Time.now());
  CHECK_FALSE(Reads.lagsBy(Here.Name, milliseconds(100)));
}

TEST_CASE("link budget, spent, refills and counts every byte") {
  ManualClock time;
  LinkBudget it;
  CHECK(it.mayUse(time.now()));
  it.count(static_cast<std::size_t>(limits::LinkBurstBytes) + 1, time.now());
  CHECK_FALSE(it.mayUse(time.now()));
  time.advance(seconds(1));
  CHECK(it.mayUse(time.now()));
  CHECK(it.total() == static_cast<std::uint64_t>(limits::LinkBurstBytes) + 1);
}

TEST_CASE("retry budget, everything fails, adds a fifth to the load at most") {
  // A database fails for a minute at 1,000 requests a second. Without the
  // budget, retries would multiply the load.
  ManualClock time;
  RetryBudget it;
  int retries = 0;
  constexpr int Requests = 60'000;
  for (int n = 0; n < Requests; ++n) {
    it.earn(time.now());
    while (it.spend(time.now()))
      ++retries;
    time.advance(milliseconds(1));
  }
  CHECK(retries < Requests * 0.25);
  CHECK(retries > Requests * 0.15);
}

TEST_CASE("retry budget, little traffic, lasts for a failover") {
  ManualClock time;
  RetryBudget it;
  it.earn(time.now());
  int retries = 0;
  for (int n = 0; n < 60; ++n) {
    retries += it.spend(time.now());
    time.advance(milliseconds(100));
  }
  CHECK(retries == 60);
}
