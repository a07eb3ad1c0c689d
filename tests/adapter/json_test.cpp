#include "json.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::adapter;

namespace {

constexpr std::size_t Many = 400'000;

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string listWith(const std::string &spec) {
  return R"({"at_rev":7,"items":[{"meta":{"name":"a"}},{"meta":{"name":"b"},)"
         R"("spec":)" +
         spec + R"(},{"meta":{"name":"c"}}]})";
}

} // namespace

// Guards against an entry of another writer that overflows the stack of every
// daemon, again after each restart.
TEST_CASE("list with an entry of many levels, the other entries are read") {
  for (const auto &spec :
       {nested(Many), R"({"a":)" + nested(Many) + R"(,"b":{"c":1}})"}) {
    std::size_t leftOut = 0;
    auto it = parseEntries(listWith(spec), leftOut);
    REQUIRE(it.is_object());
    CHECK(it["at_rev"] == 7);
    REQUIRE(it["items"].size() == 2);
    CHECK(it["items"][0]["meta"]["name"] == "a");
    CHECK(it["items"][1]["meta"]["name"] == "c");
    CHECK(leftOut == 1);
  }
}

TEST_CASE("list without entries of many levels, all are read") {
  constexpr std::size_t Few = 10;
  std::size_t leftOut = 1;
  auto it = parseEntries(listWith(nested(Few)), leftOut);
  REQUIRE(it.is_object());
  CHECK(it["items"].size() == 3);
  CHECK(leftOut == 0);
}

TEST_CASE("object of many levels, is not valid") {
  CHECK(adapter::parseJson(nested(Many)).is_discarded());
  CHECK_FALSE(peridotfall::parseJson(nested(Many)));
  CHECK_FALSE(adapter::parseJson(nested(limits::MaxJsonDepth)).is_discarded());
}

TEST_CASE("brackets in a string, are no levels") {
  auto text = R"({"a":"\")" + std::string(Many, '[') + R"("})";
  CHECK_FALSE(isNestedTooDeeply(text));
  CHECK_FALSE(adapter::parseJson(text).is_discarded());
}
