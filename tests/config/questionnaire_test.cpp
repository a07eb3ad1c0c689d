#include "peridotfall/questionnaire.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace peridotfall;

namespace {

struct QuestionnaireFixture {
  std::string Address = "10.0.0.3:7411";
  std::string Third = "d3";
  std::string ThirdTarget = "t3";
  std::string Database = "orders";
  std::string Requests = R"({"name":"place","effect":"changes"})";

  std::string target(const std::string &name, const std::string &domain,
                     const std::string &address) const {
    return fmt::format(R"({{"name":"{}","failureDomain":"{}","address":"{}",)"
                       R"("slots":2,"connections":16}})",
                       name, domain, address);
  }

  std::string answers() const {
    return R"({"team":"a team","failureDomains":[)"
           R"({"name":"d1","region":"r"},{"name":"d2","region":"r"},)"
           R"({"name":"d3","region":"s"}],"databases":[{"name":")" +
           Database + R"(","targets":[)" + target("t1", "d1", "10.0.0.1:7411") +
           "," + target("t2", "d2", "10.0.0.2:7411") + "," +
           target(ThirdTarget, Third, Address) + R"(],"requests":[)" +
           Requests + "]}]}";
  }

  std::vector<std::string> places() const {
    std::vector<std::string> out;
    auto it = generateConfiguration(answers());
    if (!it)
      for (const auto &finding : it.error())
        out.push_back(finding.Place);
    return out;
  }
};

using Places = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(QuestionnaireFixture,
                  "questionnaire, complete, is a configuration that reads "
                  "back the same") {
  auto it = generateConfiguration(answers());
  REQUIRE(it);
  auto back = parseConfiguration(writeConfiguration(it.value()));
  REQUIRE(back);
  CHECK(back.value() == it.value());
}

// Guards against a tool that ends without an answer: the operator's name comes
// from the environment.
TEST_CASE_FIXTURE(
    QuestionnaireFixture,
    "configuration, an operator's name that is no UTF-8, is written") {
  auto it = generateConfiguration(answers());
  REQUIRE(it);
  it.value().AppliedBy = "o\xff";
  std::string text;
  CHECK_NOTHROW(text = writeConfiguration(it.value()));
  CHECK(parseConfiguration(text));
}

TEST_CASE_FIXTURE(QuestionnaireFixture,
                  "questionnaire, two targets in one domain, is rejected") {
  Third = "d1";
  CHECK(places() == Places{"/databases/0/targets/2/failureDomain"});
}

// Guards against a database whose key at the platform is that of another one,
// and against a session token that cannot be read.
TEST_CASE_FIXTURE(
    QuestionnaireFixture,
    "questionnaire, a database's name that is no path segment, is rejected") {
  for (const char *it : {"a b", "a/b", "a?b", "a#b", "a\\nb", "a\\u0000b"}) {
    CAPTURE(it);
    Database = it;
    CHECK(places() == Places{"/databases/0/name"});
  }
  Database = "tr\xc3\xbckikoda-1.2_3~%41:";
  CHECK(places().empty());
}

TEST_CASE_FIXTURE(QuestionnaireFixture,
                  "questionnaire, unknown domain, reports its place") {
  Third = "d9";
  CHECK(places() == Places{"/databases/0/targets/2/failureDomain"});
}

TEST_CASE_FIXTURE(
    QuestionnaireFixture,
    "questionnaire, address no IP address and port, is rejected") {
  for (const auto *it : {"db.example:7411", "10.0.0.1", "10.0.0.1:0",
                         "10.0.0.300:1", "10.0.0.1:70000", "10.0.0.1:1x"}) {
    Address = it;
    CHECK(places() == Places{"/databases/0/targets/2/address"});
  }
  Address = "[fd00::3]:7411";
  CHECK(places().empty());
}

TEST_CASE_FIXTURE(QuestionnaireFixture,
                  "questionnaire, several errors, reports all") {
  ThirdTarget = "t1";
  Third = "d9";
  Address = "here";
  Requests = R"({"name":"a","effect":"reads"},{"name":"a","effect":"grows"},)"
             R"({"name":"b","effect":"reads","deadlineMs":0,"colour":1})";
  auto found = places();
  for (const auto *it :
       {"/databases/0/targets/2/name", "/databases/0/targets/2/failureDomain",
        "/databases/0/targets/2/address", "/databases/0/requests/1/name",
        "/databases/0/requests/1/effect", "/databases/0/requests/2/deadlineMs",
        "/databases/0/requests/2/colour"})
    CHECK_MESSAGE(std::count(found.begin(), found.end(), it) == 1, it);
  CHECK(found.size() == 7);
}

TEST_CASE("questionnaire, empty, reports each missing part") {
  auto it = generateConfiguration(
      R"({"team":"a","failureDomains":[],"databases":[]})");
  REQUIRE_FALSE(it);
  CHECK(it.error().size() == 2);
}
