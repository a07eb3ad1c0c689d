#include "messages/group_view.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::messages;

TEST_CASE("group view, encoded and decoded, is the same") {
  GroupViewAnswer it{DatabaseName("orders"), VmName("vm-1"), {}};
  auto &sight = it.Seen[TargetName("t1")];
  sight.Reachable = true;
  sight.Report = {7, true, {6, 42}, {}, false};
  sight.Age = std::chrono::milliseconds(150);
  auto back = decodeGroupViewAnswer(encode(it));
  REQUIRE(back);
  CHECK(back.value() == it);
  auto request = decodeGroupViewRequest(encode(GroupViewRequest{it.Database}));
  REQUIRE(request);
  CHECK(request.value().Database == it.Database);
}

TEST_CASE("group view, bytes of another protocol, is refused") {
  CHECK_FALSE(decodeGroupViewAnswer("\xff\xff\xff"));
  CHECK_FALSE(decodeGroupViewRequest("\xff\xff\xff"));
}
