#include "messages/quota.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::messages;

TEST_CASE("quota messages, survive a round trip") {
  UseReport report{
      {{AccountName("press\xff"), 3, 1}, {AccountName("desk"), 0, 7}}};
  report.Uses[1].AskedByPriority = {4, 0, 3};
  CHECK(decodeUseReport(encode(report)).value() == report);
  report.Delegated =
      Delegation{VmName("vm-1"), 1'700, 77, Challenge{5, 9}, {0, 15}, {3}};
  report.Version = 12;
  CHECK(decodeUseReport(encode(report)).value() == report);
  UseAnswer answer{{{2, QuotaMode::Ask, std::chrono::milliseconds(40)}}};
  answer.Grants[0].GrantedByPriority = {1, 1};
  answer.Grants[0].AskedRate = 40.5;
  answer.Grants[0].GrantedRate = 8;
  CHECK(decodeUseAnswer(encode(answer)).value() == answer);
  answer.Next = Challenge{6, 7};
  answer.Released = {3};
  answer.Grants[0].Uncounted = true;
  answer.Unconfigured = true;
  CHECK(decodeUseAnswer(encode(answer)).value() == answer);
}

TEST_CASE("quota messages, malformed or of an unknown mode, are rejected") {
  CHECK_FALSE(decodeUseReport("\xff\xff"));
  UseAnswer answer{{{2, static_cast<QuotaMode>(9), {}}}};
  CHECK_FALSE(decodeUseAnswer(encode(answer)));
  answer.Grants[0].Mode = QuotaMode::Ask;
  answer.Grants[0].AskedRate = -1;
  CHECK_FALSE(decodeUseAnswer(encode(answer)));
  UseReport report;
  report.Delegated.emplace().Partitions.resize(MaxQuotaListLength + 1);
  CHECK_FALSE(decodeUseReport(encode(report)));
}
