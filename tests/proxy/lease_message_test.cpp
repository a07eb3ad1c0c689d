#include "messages/lease.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

// Guards against statements with bytes that are not UTF-8 being lost on the way
// to the connection holder, where the caller gets an unknown outcome.
TEST_CASE("lease messages, arbitrary bytes in texts, survive a round trip") {
  messages::BeginLease begin;
  begin.Request = {TargetName("t"), 1, std::chrono::milliseconds(100),
                   std::chrono::milliseconds(500),
                   std::chrono::milliseconds(-30)};
  begin.Request.Account = AccountName("press\xff");
  begin.First.Session = {{"z\xff", "\x80\x81"}};
  begin.First.RequiredPrepared = {{true, "\xfe"}};
  begin.First.Statements = {makeProxyStatement(StatementKind::Write)};
  begin.First.Statements[0].Id = "\xc0";
  begin.First.Statements[0].Text = "WRITE a \xff\xfe";
  begin.First.Statements[0].NotBefore = Position{3, 17};
  auto read = messages::decodeBeginLease(messages::encode(begin));
  REQUIRE(read);
  CHECK(read.value() == begin);

  messages::LeaseAnswer answer;
  answer.Result.End = BatchEnd::Complete;
  answer.Result.LeaseKept = true;
  answer.Lease = {{3}, {7}};
  answer.Result.Load = {12, std::chrono::milliseconds(40)};
  answer.Result.RetryAfter = std::chrono::milliseconds(300);
  answer.Result.Answers.resize(1);
  answer.Result.Answers[0].Rows = {"\xff", ""};
  answer.Result.Answers[0].Signature = "\xfd";
  answer.Result.Answers[0].Error = StatementError{ErrorKind::Failed, "\xfc"};
  answer.Result.Answers[0].Status = TargetStatus{true, 3, {3, 18}};
  auto back = messages::decodeLeaseAnswer(messages::encode(answer));
  REQUIRE(back);
  CHECK(back.value() == answer);
}

TEST_CASE("lease messages, unknown enumeration value, are rejected") {
  messages::BeginLease begin;
  CHECK_FALSE(messages::decodeBeginLease(messages::encode(begin)));
  begin.First.Statements.resize(1);
  begin.First.Statements[0].Kind = static_cast<StatementKind>(99);
  CHECK_FALSE(messages::decodeBeginLease(messages::encode(begin)));
}

// Guards against a span of another daemon that overflows the clock and would
// give its statement the first or last place permanently.
TEST_CASE("lease messages, unlimited spans, are limited to the clock's range") {
  for (auto span : {Duration::max(), Duration::min()}) {
    messages::BeginLease begin;
    begin.First.Statements = {makeProxyStatement(StatementKind::Begin)};
    begin.Request.GoalLeft = span;
    auto read = messages::decodeBeginLease(messages::encode(begin));
    REQUIRE(read);
    auto left = *read.value().Request.GoalLeft;
    CHECK(std::chrono::abs(left) <= std::chrono::hours(24 * 365));
    CHECK((left > Duration{}) == (span > Duration{}));
  }
}

TEST_CASE("hold messages, arbitrary bytes in names, survive a round trip") {
  WriteHold hold{GroupName("led\xffger"), {7, 3}, TargetName("p\xfe"), true};
  auto read = messages::decodeWriteHold(messages::encode(hold));
  REQUIRE(read);
  CHECK(read.value() == hold);
  WriteHold all{GroupName("other"), {7, 4}, {}, false};
  HoldList list{7, {hold, all}};
  auto back = messages::decodeHoldList(messages::encode(list));
  REQUIRE(back);
  CHECK(back.value() == list);
  CHECK_FALSE(messages::decodeWriteHold({}));
}
