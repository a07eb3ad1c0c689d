#include "messages/group_view.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::failover;
using namespace peridotfall::messages;

TEST_CASE("group view, encoded and decoded, is the same") {
  GroupViewAnswer it{DatabaseName("orders"), VmName("vm-1"), {}, {}};
  auto &observation = it.Observations[TargetName("t1")];
  observation.Reachable = true;
  observation.Report = {7, true, {6, 42}, {}, false};
  observation.Age = std::chrono::milliseconds(150);
  auto back = decodeGroupViewAnswer(encode(it));
  REQUIRE(back);
  CHECK(back.value() == it);
  it.Object = {9, {"id-1", 7, TargetName("t1"), {{8, TargetName("t2")}}}};
  back = decodeGroupViewAnswer(encode(it));
  REQUIRE(back);
  CHECK(back.value() == it);
  auto request =
      decodeGroupViewRequest(encode(GroupViewRequest{it.Database, 8}));
  REQUIRE(request);
  CHECK(request.value().Database == it.Database);
  CHECK(request.value().ObjectVersion == 8);
}

// Guards against using terms from a damaged object.
TEST_CASE("group view, object without ascending terms, is rejected") {
  GroupObject object{"id-1", 7, TargetName("t1"), {{8, TargetName("t2")}}};
  object.Successors.push_back({8, TargetName("t3")});
  GroupViewAnswer it{DatabaseName("orders"), VmName("vm-1"), {}, {{9, object}}};
  CHECK_FALSE(decodeGroupViewAnswer(encode(it)));
}

TEST_CASE("group view, bytes of another protocol, is rejected") {
  CHECK_FALSE(decodeGroupViewAnswer("\xff\xff\xff"));
  CHECK_FALSE(decodeGroupViewRequest("\xff\xff\xff"));
}
