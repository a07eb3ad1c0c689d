#include "telemetry/events.h"
#include "telemetry/metrics.h"
#include "telemetry/platform_calls.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::telemetry;

namespace {

struct MetricsFixture {
  Metrics Counts = makeMetrics();
  StatementRequest Request;
  StatementAnswer Answer;

  void answer(Access mode, Outcome effect, AnswerCode code,
              bool fromReplica = false) {
    Request.Mode = mode;
    Answer.Effect = effect;
    Answer.Code = code;
    countAnswer(Counts, Request, Answer, std::chrono::milliseconds(3),
                fromReplica);
  }
  bool hasLine(const std::string &line) const {
    return writeText(Counts).find(line + "\n") != std::string::npos;
  }
};

} // namespace

TEST_CASE_FIXTURE(MetricsFixture, "Metrics: answers, counted by outcome") {
  answer(Access::StaleRead, Outcome::Done, AnswerCode::Ok, true);
  answer(Access::FreshRead, Outcome::Done, AnswerCode::Ok);
  answer(Access::Write, Outcome::Done, AnswerCode::Ok);
  answer(Access::Write, Outcome::Unknown, AnswerCode::NotConfirmed);
  answer(Access::Write, Outcome::NotRun, AnswerCode::Overloaded);
  auto it = readStats(Counts);
  CHECK(it.Done == 3);
  CHECK(it.Unknown == 1);
  CHECK(it.NotRun == 1);
  CHECK(it.ReadsByReplica == 1);
  CHECK(it.ReadsByPrimary == 1);
  CHECK(replicaShare(it) == 0.5);
  CHECK(it.Confirmed == 1);
  CHECK(it.NotConfirmed == 1);
  CHECK(hasLine("peridotfall_requests_total{outcome=\"done\"} 3"));
  CHECK(hasLine("peridotfall_refusals_total{reason=\"" +
                toString(AnswerCode::Overloaded) + "\"} 1"));
  CHECK(hasLine("peridotfall_request_duration_seconds_count 5"));
}

TEST_CASE_FIXTURE(
    MetricsFixture,
    "Metrics: statements in a transaction, not counted as reads") {
  Request.Transaction = "handle";
  answer(Access::FreshRead, Outcome::Done, AnswerCode::Ok);
  CHECK(readStats(Counts).ReadsByPrimary == 0);
}

TEST_CASE_FIXTURE(MetricsFixture, "Metrics: a failover, counted with its gap") {
  countFailover(Counts, std::chrono::milliseconds(2'500));
  CHECK(readStats(Counts).Failovers == 1);
  CHECK(hasLine("peridotfall_failover_gap_seconds_sum 2.5"));
}

TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics: a violated invariant, counted by its number") {
  auto before = readStats(Counts).InvariantViolations;
  log(Event::AnswerCrossed, {});
  CHECK(readStats(Counts).InvariantViolations == before + 1);
  CHECK(writeText(Counts).find(
            "peridotfall_invariant_violations_total{event=\"PF9001\"}") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics: an event below the log's level, counted") {
  auto info = *findEvent("PF1001");
  auto before = countOf(info);
  setLevel(Level::Error);
  log(Event::Started, {});
  setLevel(Level::Info);
  CHECK(countOf(info) == before + 1);
}

TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics: platform calls, failures counted apart from "
                  "answers") {
  platform::Api fake;
  auto code = ErrorCode::NotFound;
  fake.Get = [&](const std::string &, const platform::OnObject &done) {
    done(Error{code, ""});
  };
  auto api = countCalls(fake, Counts);
  int answers = 0;
  auto onObject = [&](const Result<platform::Object> &) { ++answers; };
  api.Get("key", onObject);
  code = ErrorCode::Unavailable;
  api.Get("key", onObject);
  CHECK(answers == 2);
  CHECK(readStats(Counts).PlatformCalls == 2);
  CHECK(hasLine("peridotfall_platform_errors_total{call=\"get\"} 1"));
}
