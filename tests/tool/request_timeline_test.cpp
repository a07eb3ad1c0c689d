#include "tool/request_timeline.h"

#include <doctest/doctest.h>

using namespace peridotfall::tool;

namespace {

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
