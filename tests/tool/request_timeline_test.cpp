#include "tool/request_timeline.h"

#include "drawn_text.h"
#include "telemetry/events.h"
#include "telemetry/log_writer.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::tool;

namespace {

/// \return the line that is logged with the value in the field "request".
std::string logLineWith(const std::string &value) {
  std::string out;
  telemetry::setLineSink([&](const std::string &line) { out = line; });
  telemetry::log(telemetry::Event::CallerMalformed,
                 {telemetry::field("request", value),
                  telemetry::field("why", "other fields=\"1\"")});
  telemetry::setLineSink(nullptr);
  return out;
}

struct TimelineFixture {
  std::vector<LogLine> Lines;

  void add(const char *source, const char *line) {
    auto it = parseLogLine(line, source);
    REQUIRE(it);
    Lines.push_back(*it);
  }
  std::vector<std::string> events(const char *request) const {
    std::vector<std::string> out;
    for (const auto &it : requestTimeline(request, Lines))
      out.push_back(it.Source + " " + it.Event);
    return out;
  }
};

} // namespace

TEST_CASE("log line, quoted values, is parsed") {
  auto it = parseLogLine("time=2026-09-24T06:07:56.833Z level=warning "
                         "event=PF5002 msg=\"statement refused\" request=0d "
                         "why=\"no \\\"primary\\\" = none\" tries=2",
                         "press-1");
  REQUIRE(it);
  CHECK(it->Event == "PF5002");
  CHECK(it->Fields.at("msg") == "statement refused");
  CHECK(it->Fields.at("why") == "no \"primary\" = none");
  CHECK(it->Fields.at("tries") == "2");
}

TEST_CASE("text without an event, is skipped") {
  CHECK_FALSE(parseLogLine("callers on port 8080, inner on port 8081", "a"));
  CHECK_FALSE(parseLogLine("", "a"));
}

// A caller's write has an unknown outcome. The daemon that received it, the one
// with the connection to the target and the one that replaced the primary each
// log a part of the cause.
TEST_CASE_FIXTURE(TimelineFixture,
                  "write during a failover, timeline has its cause") {
  add("press-1", "time=2026-09-24T06:07:56.900Z event=PF5003 request=0d "
                 "target=i-9e why=\"target silent\"");
  add("desk-2", "time=2026-09-24T06:07:56.880Z event=PF4015 request=0d "
                "target=i-9e why=\"target silent\"");
  add("depot-3", "time=2026-09-24T06:07:57.500Z event=PF4013 group=led "
                 "target=i-9e missing_ms=610");
  add("depot-3", "time=2026-09-24T06:07:57.400Z event=PF5003 request=other "
                 "target=i-9e");
  add("depot-3", "time=2026-09-24T06:09:57.500Z event=PF4013 target=i-9e");
  add("depot-3", "time=2026-09-24T06:07:57.450Z event=PF3001 live=8");
  CHECK(events("0d") == std::vector<std::string>{"desk-2 PF4015",
                                                 "press-1 PF5003",
                                                 "depot-3 PF4013"});
}

TEST_CASE_FIXTURE(
    TimelineFixture,
    "rejected statement, no primary, timeline has the promotion") {
  add("press-1", "time=2026-09-24T06:07:56.900Z event=PF5002 request=0d "
                 "group=led why=\"no primary to run it\" last_target=\"\"");
  add("depot-3", "time=2026-09-24T06:07:56.500Z event=PF4011 group=led "
                 "target=i-new old=none number=66 lacks=0");
  CHECK(events("0d") ==
        std::vector<std::string>{"depot-3 PF4011", "press-1 PF5002"});
}

TEST_CASE_FIXTURE(
    TimelineFixture,
    "read rejected for its age, timeline has each target's answer") {
  add("press-1", "time=2026-09-24T06:07:56.100Z event=PF5009 request=0d "
                 "target=i-1 why=lagging tries=1");
  add("press-1", "time=2026-09-24T06:07:56.150Z event=PF5009 request=0d "
                 "target=i-2 why=lagging tries=2");
  add("press-1", "time=2026-09-24T06:07:56.700Z event=PF5002 request=0d "
                 "group=led why=\"no primary to run it\" last_target=i-2");
  CHECK(events("0d").size() == 3);
}

// Guards against text of a caller that reads as other fields or lines, or that
// the request's timeline does not find.
TEST_CASE("log line, a value of any text, is parsed as it was") {
  std::mt19937 random(1);
  for (int n = 0; n < 2'000; ++n) {
    auto value = testing::drawText(random);
    CAPTURE(value);
    auto line = logLineWith(value);
    CHECK(std::none_of(line.begin(), line.end(), [](unsigned char c) {
      return c < ' ' || c == 0x7f || c == 0xff;
    }));
    auto it = parseLogLine(line, "a");
    REQUIRE(it);
    CHECK(it->Fields.at("request") == value);
    CHECK(it->Fields.at("why") == "other fields=\"1\"");
  }
}

// Guards against a log that one long text of a caller fills.
TEST_CASE("log line, a long value, is cut") {
  auto line = logLineWith(std::string(1 << 20, 'x'));
  CHECK(line.size() < 4'096);
  auto it = parseLogLine(line, "a");
  REQUIRE(it);
  CHECK(it->Fields.at("request").ends_with("xxx..."));
}

// Guards against text of a caller that acts on the operator's terminal.
TEST_CASE("described line, a value with control characters, is quoted") {
  auto it = parseLogLine(logLineWith("\x1b[2J a=b"), "a");
  REQUIRE(it);
  CHECK(describe(*it).find(R"(request="\x1b[2J a=b")") != std::string::npos);
}
