// Decisions under load, judged by what becomes of the callers.

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
  // Callers send twice what the targets can do. Lookups are refused at once,
  // each with a time to come back; orders and payments all land in time. With
  // a plain queue everything waits, and nearly all answers come too late.
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

TEST_CASE_FIXTURE(LoadFixture,
                  "burst, ten times for a while, is over at once") {
  // A campaign goes out and lookups rise tenfold. Writes of record land in
  // time throughout, and once the burst ends the next lookups do, too.
  auto plan = shorter(burst(), seconds(8));
  plan.RaisedFrom = seconds(2);
  plan.RaisedTo = seconds(4);
  auto it = run(plan);
  CHECK(record(it).InTime == record(it).Sent);
  CHECK(it.Recovery >= Duration{});
  CHECK(it.Recovery <= seconds(1));
}

TEST_CASE_FIXTURE(LoadFixture,
                  "refused callers, back when told to, are mostly answered") {
  auto plan = shorter(burstComingBack(), seconds(16));
  plan.RaisedFrom = seconds(2);
  plan.RaisedTo = seconds(4);
  auto it = run(plan);
  REQUIRE(it.Again.Sent > 0);
  CHECK(it.Again.InTime * 2 > it.Again.Sent);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "one caller, 80% of the demand, takes nothing from others") {
  // One reseller's script sends four fifths of one and a half times the
  // capacity. The others' requests are answered in time; only its own lookups
  // are refused.
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
  // A few reports run fifty times as long as a lookup. One slot of each target
  // is kept from them, so that lookups and orders pass by.
  auto without = run(shorter(shortOnly(), seconds(10)));
  auto with = run(shorter(longMix(), seconds(10)));
  CHECK(with.Short.Percentile99 < 3 * without.Short.Percentile99);
  CHECK(record(with).InTime == record(with).Sent);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "callers that leave, in saturation, cost no work") {
  // Half of the callers hang up after 100 ms. What they asked for is dropped
  // before it starts, so the slots work for those who stayed.
  auto plan = shorter(saturation(), seconds(5));
  plan.CallersLeave = true;
  Simulation simulation(lendleht(), plan, Policy::Peridotfall, Seed);
  std::size_t ranForNobody = 0;
  for (const auto &it : simulation.run())
    ranForNobody += it->Ran && it->StartedAt >= it->GivesUpAt;
  CHECK(ranForNobody == 0);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "replicas, up to 1 s behind, serve the reads that may") {
  for (auto lag : {milliseconds(0), milliseconds(300), milliseconds(1'000)}) {
    auto it = run(shorter(lagging(lag), seconds(6)));
    CHECK(it.StaleOnReplica >= 0.9);
    CHECK(it.ReadsOnReplica >= 0.6);
    CHECK(it.All.InTime == it.All.Sent);
  }
}

TEST_CASE_FIXTURE(LoadFixture,
                  "each refusal, at any load, says when to return") {
  auto plan = shorter(saturation(), seconds(3));
  Simulation simulation(lendleht(), plan, Policy::Peridotfall, Seed);
  std::size_t refused = 0;
  bool allSay = true;
  for (const auto &it : simulation.run())
    if (it->Refused) {
      ++refused;
      allSay = allSay && it->RetryAfter >= limits::LeastRetryAfter &&
               it->RetryAfter <= limits::MostRetryAfter && !it->Ran;
    }
  CHECK(refused > 0);
  CHECK(allSay);
}
