#include "json.h"

#include "base/document.h"
#include "peridotfall/limits.h"

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
  constexpr unsigned Levels = 3;
  for (const auto &spec :
       {nested(Many), R"({"a":)" + nested(Many) + R"(,"b":{"c":1}})"}) {
    auto it = parseReadable(listWith(spec), Levels);
    REQUIRE(it.is_object());
    CHECK(it["at_rev"] == 7);
    REQUIRE(it["items"].size() == 3);
    CHECK(it["items"][0]["meta"]["name"] == "a");
    CHECK(it["items"][1]["meta"]["name"] == "b");
    CHECK_FALSE(it["items"][1].contains("spec"));
    CHECK(it["items"][2]["meta"]["name"] == "c");
  }
}

TEST_CASE("list without unreadable entries, all are read") {
  constexpr std::size_t Few = 10;
  auto it = parseReadable(listWith(nested(Few)), 3);
  REQUIRE(it.is_object());
  REQUIRE(it["items"].size() == 3);
  CHECK(it["items"][1].contains("spec"));
}

TEST_CASE("unreadable parts, are left out down to the given level") {
  const std::string text = R"({"a":{"b":1e999,"c":1},"d":[1,1e999,2],"e":3})";
  CHECK(parseReadable(text, 0).is_discarded());
  CHECK(parseReadable(text, 1).dump() == R"({"e":3})");
  CHECK(parseReadable(text, 2).dump() ==
        R"({"a":{"c":1},"d":[1,null,2],"e":3})");
}

// Guards against a text that takes many times its size in memory.
TEST_CASE("too many parts, nothing is read") {
  auto list = [](std::size_t n) {
    std::string out = "[1e999";
    for (std::size_t it = 1; it < n; ++it)
      out += ",1";
    return out + "]";
  };
  CHECK(parseReadable(list(limits::MaxJsonParts), 1).is_array());
  CHECK(parseReadable(list(limits::MaxJsonParts + 1), 1).is_discarded());
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
