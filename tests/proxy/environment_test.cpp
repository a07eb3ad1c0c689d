#include "proxy/environment.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct EnvironmentFixture {
  ConnectionEnvironment Connection;

  std::vector<Statement> prepare(const std::string &shape) {
    return planSetup(Connection, {}, {{false, shape}});
  }
};

} // namespace

// Guards against statements of sessions that have ended and pile up at targets.
TEST_CASE_FIXTURE(EnvironmentFixture,
                  "connection with many statements, removes the first one") {
  for (std::size_t n = 0; n < limits::MaxPreparedPerConnection; ++n)
    REQUIRE(prepare(std::to_string(n)).size() == 1);
  auto first = preparedName(Connection, {false, "0"});
  auto plan = prepare("more");
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].Kind == StatementKind::Deallocate);
  CHECK(plan[0].Name == first);
  CHECK(Connection.Numbers.size() == limits::MaxPreparedPerConnection);
  CHECK_FALSE(preparedName(Connection, {false, "0"}));
}

TEST_CASE_FIXTURE(EnvironmentFixture,
                  "shapes of many bytes, are limited by their size") {
  constexpr auto Half = limits::MaxPreparedBytesPerConnection / 2;
  prepare(std::string(Half, 'a'));
  prepare(std::string(Half, 'b'));
  CHECK(prepare(std::string(2 * Half + 1, 'c')).size() == 3);
  CHECK(Connection.Numbers.size() == 1);
  CHECK(Connection.ShapeBytes == 2 * Half + 1);
}

// Guards against a name that a target has kept from before a reset.
TEST_CASE_FIXTURE(EnvironmentFixture,
                  "statement after a reset, gets a name of its own") {
  auto before = prepare("q")[0].Name;
  invalidate(Connection);
  auto plan = prepare("q");
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].Kind == StatementKind::Reset);
  CHECK(plan[1].Name != before);
  CHECK(prepare("q").empty());
}
