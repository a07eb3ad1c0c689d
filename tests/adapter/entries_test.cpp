#include "entries.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace peridotfall;
using namespace peridotfall::adapter;
using proxy::Guarantee;
using std::chrono::milliseconds;

namespace {

const std::map<DomainName, RegionName> Regions{
    {DomainName("tartu-press"), RegionName("tartu")}};

constexpr auto Entry =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"tartu-press",
        "version":"v1","slots":2,"state":"ready","cold_ms":0,
        "db_role":"replica","sequence":4,"born":1776000000123})";

proxy::StoredObject makeObject(std::string spec) {
  return {"i-7f3a91c2", std::move(spec), 12, false};
}

std::string entryWith(const char *from, const char *to) {
  std::string out = Entry;
  out.replace(out.find(from), std::string(from).size(), to);
  return out;
}

} // namespace

TEST_CASE("target entry, complete, is decoded") {
  auto it = parseTarget(makeObject(Entry), Regions);
  REQUIRE(it);
  CHECK(it.value().Name.Value == "i-7f3a91c2");
  CHECK(it.value().Group.Value == "huvo11a");
  CHECK(it.value().Region.Value == "tartu");
  CHECK(it.value().StartId == 1776000000123ULL);
  CHECK(it.value().Slots == 2);
  CHECK_FALSE(it.value().Leaving);
  CHECK_FALSE(it.value().ClaimsPrimary);
}

TEST_CASE(
    "target entry, draining primary, is leaving and claims to be primary") {
  auto spec = entryWith("\"ready\"", "\"draining\"");
  spec.replace(spec.find("\"replica\""), 9, "\"primary\"");
  auto it = parseTarget(makeObject(spec), Regions);
  REQUIRE(it);
  CHECK(it.value().Leaving);
  CHECK(it.value().ClaimsPrimary);
}

// Guards against a number that is converted to a meaningless one.
TEST_CASE("target entry, number of slots out of range, is rejected") {
  for (const char *slots :
       {"1e300", "4294967296", "18446744073709551616", "-1", "\"many\""}) {
    CAPTURE(slots);
    CHECK_FALSE(parseTarget(
        makeObject(entryWith("\"slots\":2",
                             ("\"slots\":" + std::string(slots)).c_str())),
        Regions));
  }
  for (std::uint32_t slots : {0U, 4294967295U}) {
    auto it = parseTarget(
        makeObject(entryWith("\"slots\":2",
                             ("\"slots\":" + std::to_string(slots)).c_str())),
        Regions);
    REQUIRE(it);
    CHECK(it.value().Slots == slots);
  }
}

// Guards against a primary taken from another program's entry.
TEST_CASE("target entry, any field missing, is rejected") {
  for (const char *name : {"service", "address", "zone", "version", "slots",
                           "state", "cold_ms", "db_role", "sequence", "born"}) {
    CAPTURE(name);
    CHECK_FALSE(parseTarget(makeObject(entryWith(name, "other")), Regions));
  }
}

// Guards against statements of another writer in a line that opens a session.
TEST_CASE("target entry, name or service is no word, is rejected") {
  for (const std::string &name :
       {std::string(), std::string("a b"), std::string("a\r\nQUERY - PAUSE 9"),
        std::string("a\nb"), std::string("a\0b", 3), std::string("a\tb"),
        std::string(1 << 20, 'a')}) {
    CAPTURE(name.substr(0, 20));
    auto object = makeObject(Entry);
    object.Name = name;
    CHECK_FALSE(parseTarget(object, Regions));
    auto spec = nlohmann::json::parse(Entry);
    spec["service"] = name;
    CHECK_FALSE(parseTarget(makeObject(spec.dump()), Regions));
  }
}

TEST_CASE("target entry, address to which nothing connects, is rejected") {
  for (const char *address :
       {"", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:-1",
        "1.2.3.4:99999999999", " 1.2.3.4:80", "1.2.3.4:80 ", "1.2.3.4:80\\r\\n",
        "host:80", "[::1]", "[::1]:0", "1.2.3.4.5:80"}) {
    CAPTURE(address);
    CHECK_FALSE(parseTarget(makeObject(entryWith("10.128.0.9:8080", address)),
                            Regions));
  }
  CHECK(parseTarget(makeObject(entryWith("10.128.0.9:8080", "[::1]:65535")),
                    Regions));
}

TEST_CASE("target entry, malformed, is rejected") {
  for (const auto &it :
       {std::string("not json"), std::string("[]"), std::string("null"),
        entryWith("\"huvo11a\"", "7"), entryWith("10.128.0.9:8080", "nowhere"),
        entryWith("\"ready\"", "\"resting\""),
        entryWith("\"replica\"", "\"witness\""),
        entryWith("1776000000123", "\"early\""),
        entryWith("\"zone\"", "\"place\"")}) {
    CAPTURE(it);
    CHECK_FALSE(parseTarget(makeObject(it), Regions));
  }
}

TEST_CASE("configuration, complete, is decoded") {
  auto it = parseRoutingTable(
      R"({"version":7,"routes":[{"name":"r","host":"fiti","path_prefix":"/",
          "type":"read_your_writes","timeout_ms":800,"latency_goal_ms":500,
          "priority":2,"service":"huvo11a","max_staleness_ms":2500}],
          "services":[{"name":"huvo11a","max_conns":16,"sync_replicas":1}],
          "limits":{"tx_idle_ms":2000}})");
  REQUIRE(it);
  const auto &route = it.value().Routes.at(DatabaseName("fiti"));
  CHECK(it.value().Version == 7);
  CHECK(route.Reads == Guarantee::ReadYourWrites);
  CHECK(route.StatementLimit == milliseconds(800));
  CHECK(route.MaxStaleness == milliseconds(2'500));
  CHECK(route.Goal == milliseconds(500));
  CHECK(it.value().Groups.at(proxy::GroupName("huvo11a")) ==
        proxy::GroupSettings{16, true});
  CHECK(it.value().TransactionIdle == milliseconds(2'000));
}

TEST_CASE("configuration, without a version or with a bad route, is rejected") {
  CHECK_FALSE(parseRoutingTable(R"({"routes":[],"services":[]})"));
  CHECK_FALSE(parseRoutingTable(
      R"({"version":1,"routes":[{"host":"a"}],"services":[]})"));
  CHECK_FALSE(parseRoutingTable(
      R"({"version":1,"services":[],"routes":[{"host":"a","service":"b",
          "type":"whenever"}]})"));
}

TEST_CASE("configuration, with accounts, is decoded") {
  auto it = parseRoutingTable(
      R"({"version":7,"services":[],"routes":[{"host":"fiti","type":"primary",
          "service":"huvo11a","public":true}],"tenants":[{"name":"miny420",
          "api_keys":["urtyiik","3fgfwrz"],"priority":1,"rate_per_s":119,
          "burst":60.5},{"name":"late","api_keys":[]}]})");
  REQUIRE(it);
  CHECK(it.value().Routes.at(DatabaseName("fiti")).Public);
  REQUIRE(it.value().Accounts);
  const auto *account = it.value().Accounts->findByKey(digestOf("3fgfwrz"));
  REQUIRE(account);
  CHECK(account->Name.Value == "miny420");
  CHECK(account->Priority == 1);
  CHECK(account->Quota == AccountQuota{119, 60.5});
  CHECK_FALSE(it.value().Accounts->find(AccountName("late"))->Quota);
}

// Guards against a configuration in force in which an account's keys are
// missing or ambiguous, and against a key in the log.
TEST_CASE("configuration, invalid accounts, is rejected without their keys") {
  for (const char *it :
       {R"({"name":"a"})", R"({"api_keys":["urtyiik"]})", R"("a")",
        R"({"name":"a","api_keys":"urtyiik"})",
        R"({"name":"a","api_keys":["urtyiik",7]})",
        R"({"name":"a","api_keys":["urtyiik",""]})",
        R"({"name":"a","api_keys":["urtyiik","urtyiik"]})",
        R"({"name":"a","api_keys":["urtyiik"],"rate_per_s":-1})",
        R"({"name":"a","api_keys":["urtyiik"]},{"name":"a","api_keys":[]})"}) {
    CAPTURE(it);
    auto table = parseRoutingTable(
        std::string(R"({"version":7,"routes":[],"services":[],"tenants":[)") +
        it + "]}");
    REQUIRE_FALSE(table);
    CHECK(table.error().Message.find("urtyiik") == std::string::npos);
  }
}

TEST_CASE("leadership record and daemon, formatted, are parsed back") {
  proxy::LeadershipRecord record{VmName("vm"), 7, 65, 129};
  CHECK(parseLeadershipRecord(formatLeadershipRecord(record)).value() ==
        record);
  CHECK_FALSE(parseLeadershipRecord("{}"));
  Member member;
  member.Vm = VmName("vm");
  member.Domain = DomainName("press");
  member.Region = RegionName("tartu");
  member.InnerAddress = "10.1.0.8:7440";
  member.Incarnation = 7;
  member.LinkMbps = 10;
  CHECK(parseDaemon({"vm", formatDaemon(member), 3, false}).value() == member);
  CHECK_FALSE(parseDaemon({"vm", "{}", 3, false}));
  const char *earlier = R"({"domain":"press","region":"tartu",
      "address":"10.1.0.8:7440","incarnation":7})";
  CHECK(parseDaemon({"vm", earlier, 3, false}).value().LinkMbps == 0);
}

// Guards against entries whose names read as other fields of START.
TEST_CASE("target entry, a name that is no word, is refused") {
  for (const char *name : {"", "a b", "a\\r\\nb", "a\\n"}) {
    CAPTURE(name);
    CHECK_FALSE(parseTarget(makeObject(entryWith("huvo11a", name)), Regions));
  }
  auto object = makeObject(Entry);
  for (const char *name : {"", "i 7", "i-7\r\nx"}) {
    object.Name = name;
    CHECK_FALSE(parseTarget(object, Regions));
  }
}

// Guards against an account whose connections are another one's at targets.
TEST_CASE("account, a name that is no word, is rejected") {
  for (const char *name : {"", "a b", "a\\r\\nb"}) {
    CAPTURE(name);
    CHECK_FALSE(parseRoutingTable(
        R"({"version":3,"routes":[],"services":[],"tenants":[{"name":")" +
        std::string(name) + R"(","api_keys":["k"]}]})"));
  }
}

// Guards against numbers that wrap around to ones granted before.
TEST_CASE("record of ours, numbers or address out of range, is not valid") {
  const nlohmann::json member{{"domain", "press"},
                              {"region", "tartu"},
                              {"address", "10.1.0.8:7440"},
                              {"incarnation", 7},
                              {"vm", "vm"}};
  const nlohmann::json leader{
      {"holder", "vm"}, {"incarnation", 7}, {"first", 65}, {"last", 129}};
  REQUIRE(parseDaemon(makeObject(member.dump())));
  REQUIRE(parseWatcherRecord(makeObject(member.dump())).Named);
  REQUIRE(parseLeadershipRecord(leader.dump()));
  const nlohmann::json tooLarge = std::uint64_t{1} << 53;
  const std::string tooLong(1 << 20, 'a');
  struct {
    const char *Field;
    nlohmann::json Value;
  } cases[] = {{"incarnation", tooLarge},
               {"incarnation", -1},
               {"incarnation", 0.5},
               {"incarnation", 1e300},
               {"incarnation", UINT64_MAX},
               {"address", "nowhere"},
               {"address", "10.1.0.8:0"},
               {"address", "10.1.0.8:65536"},
               {"address", "10.1.0.8:1\r\n"},
               {"address", ""},
               {"first", 0},
               {"first", 130},
               {"first", UINT64_MAX},
               {"last", tooLarge},
               {"domain", tooLong},
               {"region", tooLong},
               {"holder", tooLong},
               {"last", UINT64_MAX},
               {"last", "129"}};
  for (const auto &it : cases) {
    CAPTURE(it.Field);
    CAPTURE(it.Value.dump().substr(0, 40));
    bool isOfLeader = leader.contains(it.Field);
    if (member.contains(it.Field)) {
      auto odd = member;
      odd[it.Field] = it.Value;
      CHECK_FALSE(parseDaemon(makeObject(odd.dump())));
      auto record = parseWatcherRecord(makeObject(odd.dump()));
      CHECK_FALSE(record.Named);
      CHECK(record.Revision == 12);
    }
    if (isOfLeader) {
      auto odd = leader;
      odd[it.Field] = it.Value;
      CHECK_FALSE(parseLeadershipRecord(odd.dump()));
    }
  }
  auto unnamed = makeObject(member.dump());
  unnamed.Name = tooLong;
  CHECK_FALSE(parseDaemon(unnamed));
  auto wide = member;
  wide["link_mbps"] = (std::uint64_t{1} << 32) + 5;
  CHECK(parseDaemon(makeObject(wide.dump())).value().LinkMbps == 0);
}
