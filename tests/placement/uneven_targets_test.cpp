#include "peridotfall/placement.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <random>

using namespace peridotfall;
using std::chrono::milliseconds;

namespace {

/// A primary "p" and replicas "a" and "b", equally near. Reads arrive every
/// 20 ms; one that fails is sent once more, to another target.
struct UnevenFixture {
  using Fails = std::function<bool(const TargetName &)>;

  ManualClock Time;
  Placement Reads{1};
  std::mt19937_64 Random{7};
  std::vector<Candidate> Targets;
  std::map<std::string, Duration> Took{
      {"p", milliseconds(5)}, {"a", milliseconds(5)}, {"b", milliseconds(6)}};
  std::map<std::string, unsigned> Sent;
  unsigned Failed = 0; ///< Reads whose first copy failed.

  UnevenFixture() {
    for (const auto *it : {"p", "a", "b"}) {
      Candidate one;
      one.Name = TargetName(it);
      one.IsPrimary = one.Name.Value == "p";
      Targets.push_back(one);
    }
  }
  bool chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(Random) < share;
  }
  /// \return whether the read failed.
  bool read(const TargetName &avoid, const Fails &fails, TargetName &target) {
    ReadDemand demand;
    demand.Avoid = avoid;
    target = Reads.choose(demand, Targets, true, Time.now()).Target;
    ++Sent[target.Value];
    Reads.started(target);
    AnswerReport it;
    it.Target = target;
    it.FromPrimary = target.Value == "p";
    it.Mode = Access::FreshRead;
    it.Ran = Took.at(target.Value);
    it.Code = fails(target) ? AnswerCode::SqlError : AnswerCode::Ok;
    Reads.answered(it, 2, Time.now());
    return it.Code != AnswerCode::Ok;
  }
  void run(unsigned reads, const Fails &fails) {
    Sent.clear();
    Failed = 0;
    for (unsigned n = 0; n < reads; ++n) {
      Time.advance(milliseconds(20));
      TargetName first;
      TargetName second;
      if (!read({}, fails, first))
        continue;
      ++Failed;
      read(first, fails, second);
    }
  }
};

} // namespace

TEST_CASE_FIXTURE(UnevenFixture,
                  "replica that fails 40% of its reads, is avoided") {
  run(3'000, [&](const auto &it) { return it.Value == "a" && chance(0.4); });
  // 20 s of reads are 1,000; without the ejection all 3,000 go there first.
  CHECK(Sent["a"] < 400);
  CHECK(Failed < 150);
}

// Guards against a target that stays out after its fault has ended.
TEST_CASE_FIXTURE(UnevenFixture,
                  "replica that failed, once healthy, gets reads again") {
  run(200, [&](const auto &it) { return it.Value == "a" && chance(0.4); });
  REQUIRE(Reads.ejected(TargetName("a"), Time.now()));
  run(2'000, [](const auto &) { return false; });
  CHECK(Sent["a"] > 500);
}

// Guards against ejections for statements that fail everywhere.
TEST_CASE_FIXTURE(UnevenFixture,
                  "statements that fail at every target, eject none") {
  run(2'000, [&](const auto &) { return chance(0.2); });
  CHECK_FALSE(Reads.ejected(TargetName("a"), Time.now()));
  CHECK_FALSE(Reads.ejected(TargetName("b"), Time.now()));
  CHECK(Sent["p"] < 100);
}

// Guards against a primary that gets all reads.
TEST_CASE_FIXTURE(UnevenFixture,
                  "both replicas fail, half of them is ejected at most") {
  for (int n = 0; n < 20; ++n) {
    run(50, [&](const auto &it) { return it.Value != "p" && chance(0.4); });
    CHECK_FALSE((Reads.ejected(TargetName("a"), Time.now()) &&
                 Reads.ejected(TargetName("b"), Time.now())));
  }
}

TEST_CASE_FIXTURE(UnevenFixture,
                  "replica that fails every other second, is avoided") {
  run(3'000, [&](const auto &it) {
    auto now = Time.now().time_since_epoch() / std::chrono::seconds(1);
    return it.Value == "a" && now % 2 == 0 && chance(0.8);
  });
  CHECK(Failed < 150);
}

TEST_CASE_FIXTURE(UnevenFixture, "replica eight times slower, is avoided") {
  Took["a"] = milliseconds(48);
  run(3'000, [](const auto &) { return false; });
  CHECK(Sent["a"] < 300);
}

TEST_CASE("failed share, few answers, says nothing") {
  RecentAnswers own;
  for (int n = 0; n < 10; ++n)
    own.add(n % 2 == 0);
  RecentAnswers peer;
  for (int n = 0; n < 32; ++n)
    peer.add(false);
  CHECK_FALSE(isFailureOutlier(own, {peer}));
  own.add(false);
  own.add(false);
  CHECK(isFailureOutlier(own, {peer}));
  CHECK_FALSE(isFailureOutlier(own, {}));
  CHECK_FALSE(isFailureOutlier(own, {own}));
}
