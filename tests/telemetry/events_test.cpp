#include "telemetry/events.h"
#include "telemetry/events_page.h"
#include "telemetry/log_writer.h"

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <set>

using namespace peridotfall::telemetry;

TEST_CASE("Events: all listed, numbers are unique and have four digits") {
  std::set<int> seen;
  CHECK(allEvents().size() < 256); // MaxEvents in events.cpp.
  for (const auto &it : allEvents()) {
    CAPTURE(it.Number);
    CHECK(seen.insert(it.Number).second);
    CHECK(it.Number >= 1'000);
    CHECK(it.Number <= 9'999);
    CHECK_FALSE(it.Meaning.empty());
  }
}

TEST_CASE("Events: warnings and errors, have advice") {
  for (const auto &it : allEvents()) {
    CAPTURE(it.Number);
    if (it.Severity >= Level::Warning)
      CHECK_FALSE(it.Advice.empty());
  }
}

TEST_CASE("Events: the committed page, matches the list") {
  std::ifstream in(PERIDOTFALL_SOURCE_DIR "/docs/EVENTS.md");
  std::string page((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  // scripts/check-docs.sh --write writes the page.
  CHECK(page == eventsPage());
  for (const auto &it : allEvents())
    CHECK(page.find(fmt::format("| PF{} |", it.Number)) != std::string::npos);
}

TEST_CASE("Events: lookup by number, returns the event or nothing") {
  REQUIRE(findEvent("PF1001"));
  CHECK(findEvent("PF1001")->Name == "started");
  CHECK(findEvent("1001")->Number == 1'001);
  CHECK_FALSE(findEvent("PF0"));
  CHECK_FALSE(findEvent("PF1001x"));
  CHECK_FALSE(findEvent(""));
}

// Guards against memory taken by lines, and against forged lines.
TEST_CASE("Events: long value and control characters, are not written") {
  std::string line;
  setLineSink([&](const std::string &it) { line = it; });
  log(Event::EntryUnreadable, {field("name", std::string(1 << 20, 'a'))});
  CHECK(line.size() < 2'000);
  CHECK(line.ends_with("aaa..."));
  struct {
    char Byte;
    std::string Escaped;
  } cases[] = {{'\0', "\\x00"}, {'\t', "\\t"},     {'\n', "\\n"},
               {'\r', "\\r"},   {'\x1b', "\\x1b"}, {'\x7f', "\\x7f"}};
  for (const auto &it : cases) {
    CAPTURE(it.Escaped);
    log(Event::EntryUnreadable,
        {field("name", std::string("a") + it.Byte + "b")});
    CHECK(line.ends_with(" name=\"a" + it.Escaped + "b\""));
  }
  log(Event::EntryUnreadable, {field("name", "i-7f3a"), field("why", "a \"b")});
  CHECK(line.ends_with(R"( name=i-7f3a why="a \"b")"));
  setLineSink(nullptr);
}
