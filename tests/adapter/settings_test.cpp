#include "settings.h"

#include "entries.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::adapter;

namespace {

const std::string CompleteSettings = R"(
node_name: "frontend-tartu-press-1"
ip: "10.1.0.8"
zone: "tartu-press"
region: "tartu"
zones:
  tartu-press: "tartu"
  tallinn-desk: "tallinn"
listen:
  frontend: "10.1.0.8:8784"
  readiness: "10.1.0.8:8785"
internal_ports:
  - 7440
  - 7455
bounds:
  grace_s: 6
platform:
  address: "10.200.1.7:8783"
  reads_per_s: 2000
provider:
  address: "10.200.0.160:8783"
something_new: [1, 2]
)";

std::string settingsWithout(const std::string &line) {
  auto out = CompleteSettings;
  out.erase(out.find(line), line.size());
  return out;
}

std::string settingsNamed(const std::string &name) {
  return settingsWithout("node_name: \"frontend-tartu-press-1\"\n") +
         "node_name: \"" + name + "\"\n";
}

} // namespace

TEST_CASE("settings, complete and with an unknown field, are parsed") {
  auto it = parseSettings(CompleteSettings);
  REQUIRE(it);
  CHECK(it.value().Self.Vm.Value == "frontend-tartu-press-1");
  CHECK(it.value().InnerPort == 7'440);
  CHECK(it.value().Callers.port() == 8'784);
  CHECK(it.value().StopLimit == milliseconds(6'000));
  CHECK(it.value().Regions.at(DomainName("tallinn-desk")).Value == "tallinn");
}

TEST_CASE("settings, with a link bandwidth, are parsed") {
  auto it =
      parseSettings(CompleteSettings + "limits:\n  bandwidth_mbps: 10.0\n");
  REQUIRE(it);
  CHECK(it.value().LinkMbps == 10);
  CHECK(memberOf(it.value(), 1).LinkMbps == 10);
  CHECK(parseSettings(CompleteSettings).value().LinkMbps == 0);
  CHECK_FALSE(
      parseSettings(CompleteSettings + "limits:\n  bandwidth_mbps: wide\n"));
}

TEST_CASE(
    "settings, several invalid fields, are all reported with their place") {
  auto text = settingsWithout("node_name: \"frontend-tartu-press-1\"\n");
  text.replace(text.find("\"10.1.0.8:8784\""), 15, "\"somewhere\"");
  text.replace(text.find("grace_s: 6"), 10, "grace_s: no");
  auto it = parseSettings(text);
  REQUIRE_FALSE(it);
  std::vector<std::string> places;
  for (const auto &finding : it.error())
    places.push_back(finding.Place);
  CHECK(places == std::vector<std::string>{"node_name", "listen/frontend",
                                           "bounds/grace_s"});
}

TEST_CASE("settings, configuration limit, is parsed or has its default") {
  CHECK(parseSettings(CompleteSettings).value().ConfigurationLimit ==
        milliseconds(3'000));
  auto text = CompleteSettings;
  text.replace(text.find("  grace_s: 6"), 12,
               "  grace_s: 6\n  config_apply_ms: 5000");
  CHECK(parseSettings(text).value().ConfigurationLimit == milliseconds(5'000));
  text.replace(text.find("5000"), 4, "soon");
  CHECK_FALSE(parseSettings(text));
}

TEST_CASE("settings, tolerance of quotas, is parsed or has its default") {
  CHECK(parseSettings(CompleteSettings).value().Quotas == QuotaTolerance{});
  auto text = CompleteSettings;
  text.replace(text.find("  grace_s: 6"), 12,
               "  grace_s: 6\n  quota_window_s: 2.5\n"
               "  quota_overshoot: 0.1\n  quota_slack: 20");
  CHECK(parseSettings(text).value().Quotas ==
        QuotaTolerance{milliseconds(2'500), 0.1, 20});
  text.replace(text.find("2.5"), 3, "long");
  CHECK_FALSE(parseSettings(text));
}

// The wait of a target watch is derived from the drain limit. Guards against a
// wait longer than a leaving target may get new work.
TEST_CASE("settings, drain limit, is parsed or has its default") {
  CHECK(parseSettings(CompleteSettings).value().DrainLimit ==
        milliseconds(7'000));
  auto text = CompleteSettings;
  text.replace(text.find("  grace_s: 6"), 12, "  grace_s: 6\n  drain_ms: 9000");
  CHECK(parseSettings(text).value().DrainLimit == milliseconds(9'000));
  text.replace(text.find("9000"), 4, "soon");
  CHECK_FALSE(parseSettings(text));
}

TEST_CASE("settings, invalid YAML or missing ports, are rejected") {
  CHECK_FALSE(parseSettings("{"));
  CHECK_FALSE(parseSettings("[]"));
  CHECK_FALSE(parseSettings(settingsWithout("  - 7455\n")));
}

// Guards against a name that adds headers to calls of the platform.
TEST_CASE("settings, a name with control characters or none, are rejected") {
  for (const char *name : {"", "a\\r\\nX-Fence-Token: 9", "a\\0", "\\x7f"}) {
    CAPTURE(name);
    auto it = parseSettings(settingsNamed(name));
    REQUIRE_FALSE(it);
    CHECK(it.error().front().Place == "node_name");
  }
}

// Guards against a process that ends because JSON cannot hold its name.
TEST_CASE("settings, a name that is no UTF-8, are rejected") {
  for (const char *name : {"a\xff", "a\xc3", "\xed\xa0\x80"}) {
    CAPTURE(name);
    auto it = parseSettings(settingsNamed(name));
    if (it)
      CHECK_NOTHROW(formatWatcher(memberOf(it.value(), 1)));
    REQUIRE_FALSE(it);
    CHECK(it.error().front().Place == "node_name");
  }
}
