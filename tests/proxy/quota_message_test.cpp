#include "messages/quota.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::messages;

TEST_CASE("quota messages, survive a round trip") {
  UseReport report{
      {{AccountName("press\xff"), 3, 1}, {AccountName("desk"), 0, 7}}};
  CHECK(decodeUseReport(encode(report)).value() == report);
  UseAnswer answer{{{2, QuotaMode::Ask, std::chrono::milliseconds(40)}}};
  CHECK(decodeUseAnswer(encode(answer)).value() == answer);
}

TEST_CASE("quota messages, malformed or of an unknown mode, are rejected") {
  CHECK_FALSE(decodeUseReport("\xff\xff"));
  UseAnswer answer{{{2, static_cast<QuotaMode>(9), {}}}};
  CHECK_FALSE(decodeUseAnswer(encode(answer)));
}
