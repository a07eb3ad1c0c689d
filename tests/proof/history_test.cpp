#include "proof/history.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proof;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

TimePoint at(int n) { return Start + std::chrono::milliseconds(n); }

/// One write at term 1, acknowledged and kept; each test spoils one thing.
struct HistoryFixture {
  History It;

  HistoryFixture() {
    CallerRequest write{{1}, {1}, RequestKind::Write, {10}, false, at(0), {}};
    write.Answer = {at(5), {1}, Outcome::Done, AnswerCode::Ok, {1, 2},
                    {10},  {}};
    It.Requests.push_back(write);
    It.Commits.push_back({at(2), {1, 2}, {10}});
    It.Promotions.push_back({at(-10), 1, TargetName("t1")});
    It.Surviving.push_back({{1, 1}, {}, "", {}});
    It.Surviving.push_back({{1, 2}, {{{10}, {1}, {1}, "", 0}}, "", {}});
  }

  CallerAnswer &answer() { return *It.Requests.front().Answer; }
  void readSees(std::set<EffectId> seen) {
    CallerRequest read{{2}, {1}, RequestKind::FreshRead, {}, true, at(6), {}};
    read.Answer = {at(8), {2}, Outcome::Done, AnswerCode::Ok, {1, 2}, {}, seen};
    It.Requests.push_back(read);
  }
  bool reports(Broken what) const {
    for (const auto &violation : checkHistory(It))
      if (violation.What == what)
        return true;
    return false;
  }
};

} // namespace

TEST_CASE_FIXTURE(HistoryFixture, "history, all kept, has no violation") {
  readSees({{10}});
  CHECK(checkHistory(It).empty());
}

TEST_CASE_FIXTURE(HistoryFixture, "history, effect twice, is doubled") {
  It.Surviving.push_back({{1, 3}, {{{10}, {1}, {1}, "", 0}}, "", {}});
  CHECK(reports(Broken::Doubled));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, acknowledged effect gone, is lost") {
  It.Surviving.pop_back();
  CHECK(reports(Broken::Lost));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, record of two callers or half a transaction, is "
                  "mixed") {
  auto &changes = It.Surviving.back().Changes;
  SUBCASE("two callers") { changes.push_back({{11}, {2}, {3}, "", 0}); }
  SUBCASE("half a transaction") { changes.front().Transaction = "t"; }
  CHECK(reports(Broken::Mixed));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, own write missed, is reported") {
  readSees({});
  CHECK(reports(Broken::OwnWriteUnseen));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, committed write of unknown outcome missed, is "
                  "reported") {
  answer().Effect = Outcome::Unknown;
  readSees({});
  CHECK(reports(Broken::OwnWriteUnseen));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, not run and yet run, is reported") {
  answer().Effect = Outcome::NotRun;
  CHECK(reports(Broken::FalseNotRun));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, committed after a higher term began, is reported") {
  It.Promotions.push_back({at(1), 2, TargetName("t2")});
  CHECK(reports(Broken::ReplacedPrimary));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, another's answer, is reported") {
  SUBCASE("by id") { answer().Id = {7}; }
  SUBCASE("by content") { answer().Echo = {11}; }
  CHECK(reports(Broken::WrongAnswer));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, revision falls, is reported") {
  It.Revisions = {{VmName("a"), 1, 3, "c3"}, {VmName("a"), 2, 2, "c2"}};
  CHECK_FALSE(reports(Broken::RevisionFell));
  It.Revisions.push_back({VmName("a"), 2, 1, "c1"});
  CHECK(reports(Broken::RevisionFell));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, late work at a leaving target or "
                                  "a shutdown that cuts, is reported") {
  It.AtLeaving.push_back({TargetName("t1"), LeavingLimit});
  CHECK(checkHistory(It).empty());
  It.AtLeaving.push_back({TargetName("t1"), LeavingLimit + Duration(1)});
  It.CutByShutdown = 1;
  CHECK(reports(Broken::WorkAtLeaving));
  CHECK(reports(Broken::CutByShutdown));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, accepted configuration not in "
                                  "force or a refused one in force, is "
                                  "reported") {
  It.Applications = {{"c3", 3, Outcome::Done}, {"c4", 4, Outcome::NotRun}};
  It.Revisions = {{VmName("a"), 1, 3, "c3"}};
  It.RevisionsAtEnd = It.Revisions;
  CHECK(checkHistory(It).empty());
  It.Revisions.push_back({VmName("a"), 1, 4, "c4"});
  CHECK(reports(Broken::FalseRefusal));
  It.RevisionsAtEnd = {{VmName("a"), 1, 2, "c2"}};
  CHECK(reports(Broken::ConfigurationMissing));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, no write acknowledged once all is healed, is "
                  "reported") {
  It.CalmSince = at(0) - ProgressLimit;
  CHECK(checkHistory(It).empty());
  It.CalmSince = at(1) - ProgressLimit;
  CHECK(reports(Broken::NoProgress));
}
