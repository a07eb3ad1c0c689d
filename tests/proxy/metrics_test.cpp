#include "fixture.h"

#include <string>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct ProxyMetricsFixture : ProxyFixture {
  /// \return the value of a series, by its name and labels; 0 if missing.
  double value(const std::string &series) {
    auto text = writeText(Metrics, {});
    auto at = text.find("\n" + series + " ");
    if (at == std::string::npos)
      return 0;
    return std::stod(text.substr(at + series.size() + 2));
  }
  double count(const std::string &histogram, const std::string &labels) {
    return value(histogram + "_count" + labels);
  }
};

} // namespace

// A write waits because there is no primary, and is run by the one listed
// later. Its wait must be counted by what it waited for.
TEST_CASE_FIXTURE(ProxyMetricsFixture,
                  "write that waited for a primary, its wait is counted") {
  Entries.at(TargetName("p")).ClaimsPrimary = false;
  TargetGroups.updateTargets(Entries);
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a 1");
  pass(milliseconds(200));
  Entries.at(TargetName("r")).ClaimsPrimary = true;
  Entries.at(TargetName("r")).Revision = 9;
  TargetGroups.updateTargets(Entries);
  serve("r", TransactionState::Idle);
  REQUIRE(last(caller).ok());
  CHECK(count("peridotfall_wait_seconds", "{for=\"primary\"}") == 1);
  CHECK(value("peridotfall_wait_seconds_sum{for=\"primary\"}") >= 0.2);
  CHECK(count("peridotfall_wait_seconds", "{for=\"connection\"}") >= 1);
}

TEST_CASE_FIXTURE(ProxyMetricsFixture,
                  "answers of targets, counted by result") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a 1");
  completeHandshakes();
  answer(*busyAt("p"), failure(ErrorKind::Busy, TransactionState::Idle));
  pass(milliseconds(100));
  serve("p", TransactionState::Idle);
  REQUIRE(last(caller).ok());
  CHECK(value("peridotfall_target_answers_total{answer=\"busy\"}") == 1);
  CHECK(value("peridotfall_target_answers_total{answer=\"ok\"}") >= 1);
  CHECK(count("peridotfall_wait_seconds", "{for=\"slot\"}") == 1);
}

TEST_CASE_FIXTURE(ProxyMetricsFixture,
                  "statement without an answer, counted as none") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a 1");
  completeHandshakes();
  pass(std::chrono::seconds(1));
  REQUIRE_FALSE(last(caller).ok());
  CHECK(value("peridotfall_target_answers_total{answer=\"none\"}") == 1);
}

// A replica answers from an older position than the newest known log head. The
// maximum age of its view, which the route's bound limits, must be counted.
TEST_CASE_FIXTURE(ProxyMetricsFixture,
                  "read at a replica, age of its view is counted") {
  learnHead();
  pass(milliseconds(300));
  auto old = Head;
  Head.Index += 10;
  learnHead();
  Head = old;
  auto caller = session("views");
  send(caller, StatementKind::Read, "READ a");
  for (const char *replica : {"r", "s"})
    serve(replica, TransactionState::Idle);
  REQUIRE(last(caller).ok());
  CHECK(count("peridotfall_replica_read_age_seconds", "") == 1);
  auto age = value("peridotfall_replica_read_age_seconds_sum");
  CHECK(age >= 0.3);
  CHECK(age < 0.4);
  CHECK(value("peridotfall_reads_total{served_by=\"replica\"}") == 1);
}

TEST_CASE_FIXTURE(ProxyMetricsFixture,
                  "answers of the store, their age is reported by kind") {
  ProxyGauges now;
  now.StoreAges = {{"targets", milliseconds(2'500)}};
  auto text = writeText(Metrics, now);
  CHECK(
      text.find("peridotfall_store_answer_age_seconds{kind=\"targets\"} 2.5") !=
      std::string::npos);
  countStoreCall(Metrics, "duty", StoreCall::Write, false);
  CHECK(value("peridotfall_store_calls_total{answered=\"no\",call=\"write\","
              "kind=\"duty\"}") == 1);
}
