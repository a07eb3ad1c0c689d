#include "proof/history.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proof;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

TimePoint at(int n) { return Start + std::chrono::milliseconds(n); }

/// One write at term 1, acknowledged and in the surviving log; each test breaks
/// one thing.
struct HistoryFixture {
  History Checked;

  HistoryFixture() {
    CallerRequest write{{1}, {1}, RequestKind::Write, {10}, false, at(0), {}};
    write.Answer = {at(5), {1}, Outcome::Done, AnswerCode::Ok, {1, 2},
                    {10},  {}};
    Checked.Requests.push_back(write);
    Checked.Commits.push_back({at(2), {1, 2}, {10}});
    Checked.Promotions.push_back({at(-10), 1, TargetName("t1")});
    Checked.Surviving.push_back({{1, 1}, {}, "", {}});
    Checked.Surviving.push_back({{1, 2}, {{{10}, {1}, {1}, "", 0}}, "", {}});
  }

  CallerAnswer &answer() { return *Checked.Requests.front().Answer; }
  void readSees(std::set<EffectId> seen) {
    CallerRequest read{{2}, {1}, RequestKind::FreshRead, {}, true, at(6), {}};
    read.Answer = {at(8), {2}, Outcome::Done, AnswerCode::Ok, {1, 2}, {}, seen};
    Checked.Requests.push_back(read);
  }
  bool reports(ViolationKind what) const {
    for (const auto &violation : checkHistory(Checked))
      if (violation.What == what)
        return true;
    return false;
  }
};

} // namespace

TEST_CASE_FIXTURE(HistoryFixture, "history, no fault in it, has no violation") {
  readSees({{10}});
  CHECK(checkHistory(Checked).empty());
}

TEST_CASE_FIXTURE(HistoryFixture, "history, effect twice, is doubled") {
  Checked.Surviving.push_back({{1, 3}, {{{10}, {1}, {1}, "", 0}}, "", {}});
  CHECK(reports(ViolationKind::Doubled));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, acknowledged effect gone, is lost") {
  Checked.Surviving.pop_back();
  CHECK(reports(ViolationKind::Lost));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, record of two callers or half a transaction, is "
                  "mixed") {
  auto &changes = Checked.Surviving.back().Changes;
  SUBCASE("two callers") { changes.push_back({{11}, {2}, {3}, "", 0}); }
  SUBCASE("half a transaction") { changes.front().Transaction = "t"; }
  CHECK(reports(ViolationKind::Mixed));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, own write missed, is reported") {
  readSees({});
  CHECK(reports(ViolationKind::OwnWriteUnseen));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, committed write of unknown outcome missed, is "
                  "reported") {
  answer().Effect = Outcome::Unknown;
  readSees({});
  CHECK(reports(ViolationKind::OwnWriteUnseen));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, answered not run but run, is reported") {
  answer().Effect = Outcome::NotRun;
  CHECK(reports(ViolationKind::FalseNotRun));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, committed after a higher term began, is reported") {
  Checked.Promotions.push_back({at(1), 2, TargetName("t2")});
  CHECK(reports(ViolationKind::ReplacedPrimary));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, answer to another request, is reported") {
  SUBCASE("by id") { answer().Id = {7}; }
  SUBCASE("by content") { answer().Echo = {11}; }
  CHECK(reports(ViolationKind::WrongAnswer));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, revision falls, is reported") {
  Checked.Revisions = {{VmName("a"), 1, 3, "c3"}, {VmName("a"), 2, 2, "c2"}};
  CHECK_FALSE(reports(ViolationKind::RevisionFell));
  Checked.Revisions.push_back({VmName("a"), 2, 1, "c1"});
  CHECK(reports(ViolationKind::RevisionFell));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, late work at a leaving target or "
                                  "a shutdown that cuts, is reported") {
  Checked.AtLeaving.push_back({TargetName("t1"), LeavingLimit});
  CHECK(checkHistory(Checked).empty());
  Checked.AtLeaving.push_back({TargetName("t1"), LeavingLimit + Duration(1)});
  Checked.CutByShutdown = 1;
  CHECK(reports(ViolationKind::WorkAtLeaving));
  CHECK(reports(ViolationKind::CutByShutdown));
}

TEST_CASE_FIXTURE(HistoryFixture, "history, accepted configuration not in "
                                  "force or a refused one in force, is "
                                  "reported") {
  Checked.Applications = {{"c3", 3, Outcome::Done}, {"c4", 4, Outcome::NotRun}};
  Checked.Revisions = {{VmName("a"), 1, 3, "c3"}};
  Checked.RevisionsAtEnd = Checked.Revisions;
  CHECK(checkHistory(Checked).empty());
  Checked.Revisions.push_back({VmName("a"), 1, 4, "c4"});
  CHECK(reports(ViolationKind::FalseRefusal));
  Checked.RevisionsAtEnd = {{VmName("a"), 1, 2, "c2"}};
  CHECK(reports(ViolationKind::ConfigurationMissing));
}

TEST_CASE_FIXTURE(HistoryFixture,
                  "history, no write acknowledged after all faults ended, is "
                  "reported") {
  Checked.HealedAt = at(0) - ProgressLimit;
  CHECK(checkHistory(Checked).empty());
  Checked.HealedAt = at(1) - ProgressLimit;
  CHECK(reports(ViolationKind::NoProgress));
}
