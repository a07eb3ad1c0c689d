// Admission and placement under load, checked by the results for the callers.

#include "admission/load_outcomes.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::model;

namespace {

struct LoadFixture {
  std::uint64_t Seed = 7;

  LoadOutcome run(LoadPlan plan, Policy policy = Policy::Peridotfall) const {
    plan.Databases = 1;
    return runLoad(lendleht(), plan, policy, Seed);
  }
  static LoadPlan shorter(LoadPlan it, Duration length) {
    it.Length = length;
    return it;
  }
};

const ClassOutcome &record(const LoadOutcome &it) {
  return it.Classes[static_cast<std::size_t>(RequestClass::Record)];
}

} // namespace

TEST_CASE_FIXTURE(LoadFixture,
                  "saturation, twice the capacity, does useful work and loses "
                  "no write of record") {
  // Demand is twice the capacity. Excess lookups are refused with a
  // retry-after time, and every write of record is answered in time. With a
  // FIFO queue everything waits and nearly all answers are too late.
  auto plan = shorter(saturation(), seconds(6));
  auto it = run(plan);
  CHECK(it.UsefulWork > 0.95);
  CHECK(record(it).InTime == record(it).Sent);
  CHECK(it.All.Refused > 0);
  CHECK(it.All.Late * 1'000 < it.All.Sent);
  CHECK(it.LateRefusals < 0.01);
  auto plain = run(plan, Policy::Baseline);
  CHECK(plain.UsefulWork < it.UsefulWork);
  CHECK(record(plain).InTime * 2 < record(plain).Sent);
}

TEST_CASE_FIXTURE(
    LoadFixture,
    "burst, ten times the base load, is recovered from within 1 s") {
  // Demand rises tenfold for 2 s. Writes of record are answered in time during
  // the burst, and lookups again once it has ended.
  auto plan = shorter(burst(), seconds(8));
  plan.RaisedFrom = seconds(2);
  plan.RaisedTo = seconds(4);
  auto it = run(plan);
  CHECK(record(it).InTime == record(it).Sent);
  CHECK(it.Recovery >= Duration{});
  CHECK(it.Recovery <= seconds(1));
}

TEST_CASE_FIXTURE(LoadFixture,
                  "refused callers, retrying after the given time, are mostly "
                  "answered") {
  auto plan = shorter(burstWithRetries(), seconds(16));
  plan.RaisedFrom = seconds(2);
  plan.RaisedTo = seconds(4);
  auto it = run(plan);
  REQUIRE(it.Retries.Sent > 0);
  CHECK(it.Retries.InTime * 2 > it.Retries.Sent);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "one caller, 80% of the demand, takes nothing from others") {
  // Demand is 1.5 times the capacity, four fifths of it from one caller. The
  // requests of the others are answered in time; only the heavy caller's
  // lookups are refused.
  auto it = run(shorter(oneCaller(), seconds(8)));
  CHECK(it.LightInTime > 0.99);
  CHECK(it.HeavyInTime < 0.7);
  CHECK(it.UsefulWork > 0.95);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "slow replica, ten times, costs under 5% of the answers") {
  auto plan = shorter(slowTarget(), seconds(10));
  plan.SlowFrom = seconds(2);
  plan.SlowTo = seconds(7);
  auto it = run(plan);
  CHECK(it.All.InTime * 100 > it.All.Sent * 95);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "long statements, 5%, leave short ones within three times") {
  // A few reports run fifty times as long as a lookup. They may not take the
  // last slot of a target, so lookups and orders do not wait for them.
  auto without = run(shorter(shortOnly(), seconds(10)));
  auto with = run(shorter(longMix(), seconds(10)));
  CHECK(with.Short.Percentile99 < 3 * without.Short.Percentile99);
  CHECK(record(with).InTime == record(with).Sent);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "callers that leave, in saturation, cause no work") {
  // Half of the callers leave after 100 ms. Their waiting statements are
  // dropped before they start, so the slots serve the remaining callers.
  auto plan = shorter(saturation(), seconds(5));
  plan.CallersAbandon = true;
  Simulation simulation(lendleht(), plan, Policy::Peridotfall, Seed);
  std::size_t ranAbandoned = 0;
  for (const auto &it : simulation.run())
    ranAbandoned += it->Ran && it->StartedAt >= it->AbandonedAt;
  CHECK(ranAbandoned == 0);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "replicas, up to 1 s behind, serve the reads that allow it") {
  for (auto lag : {milliseconds(0), milliseconds(300), milliseconds(1'000)}) {
    auto it = run(shorter(lagging(lag), seconds(6)));
    CHECK(it.StaleOnReplica >= 0.9);
    CHECK(it.ReadsOnReplica >= 0.6);
    CHECK(it.All.InTime == it.All.Sent);
  }
}

TEST_CASE_FIXTURE(LoadFixture,
                  "each refusal, in saturation, has a retry-after time") {
  auto plan = shorter(saturation(), seconds(3));
  Simulation simulation(lendleht(), plan, Policy::Peridotfall, Seed);
  std::size_t refused = 0;
  bool allInRange = true;
  for (const auto &it : simulation.run())
    if (it->Refused) {
      ++refused;
      allInRange = allInRange && it->RetryAfter >= limits::MinRetryAfter &&
                   it->RetryAfter <= limits::MaxRetryAfter && !it->Ran;
    }
  CHECK(refused > 0);
  CHECK(allInRange);
}
