#include "daemon/caller_api.h"

#include "base/document.h"

#include <doctest/doctest.h>
#include <limits>

using namespace peridotfall;

namespace {

struct CallerApiFixture {
  CallerApiFixture() {
    DatabaseConfig database;
    database.Name = DatabaseName("orders");
    database.Kinds = {{KindName("place-order"), Access::Write, false, true, {}},
                      {KindName("catalogue"), Access::StaleRead, true, false,
                       std::chrono::milliseconds(5'000)}};
    Config.Databases = {database};
    Config.Id = "id";
  }

  http::Request request(std::string body) const {
    http::Request it;
    it.Method = "POST";
    it.Path = "/v1/databases/orders/statements";
    it.Body = std::move(body);
    return it;
  }

  CallerResult parse(const http::Request &it) const {
    return parseCallerRequest(it, &Config, Keys);
  }

  /// \return the Place of each finding, in order.
  std::vector<std::string> findings(const http::Request &it) const {
    auto parsed = parse(it);
    std::vector<std::string> out;
    if (!parsed)
      for (const auto &n : parsed.error().Reasons)
        out.push_back(n.Place);
    return out;
  }

  Configuration Config;
  TokenKeys Keys{"k1", {{"k1", "a secret of sixteen"}}};
  std::string Good = R"({"kind":"place-order","sql":"SELECT 1"})";
};

using Places = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller request, of a known kind, has the kind's access mode "
                  "and age limit") {
  auto it = parse(request(R"({"kind":"catalogue","sql":"SELECT 1"})"));
  REQUIRE(it);
  CHECK((it.value().Statement.Mode == Access::StaleRead));
  CHECK(it.value().Statement.MaxAge == std::chrono::seconds(5));
}

TEST_CASE_FIXTURE(
    CallerApiFixture,
    "caller request, parameters of all types, keeps their values") {
  auto it = parse(request(
      R"({"kind":"place-order","sql":"x","params":
         [null, 9223372036854775807, -9223372036854775808, 0.1,
          "trükikoda ગુજરાત", {"base64":"AP8"}]})"));
  REQUIRE(it);
  Row expected = {Null{},
                  std::numeric_limits<std::int64_t>::max(),
                  std::numeric_limits<std::int64_t>::min(),
                  0.1,
                  "trükikoda ગુજરાત",
                  Blob{std::string("\0\xff", 2)}};
  CHECK((it.value().Statement.Params == expected));
}

TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller request, several errors, reports all with places") {
  auto it = request(R"({"kind":"unheard-of","params":[18446744073709551615]})");
  it.Fields = {{DeadlineHeader, "-5"}, {SessionHeader, "v1.k1.x.y"}};
  CHECK(findings(it) ==
        Places{DeadlineHeader, "/sql", "/params/0", "/kind", SessionHeader});
}

TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller request, malformed JSON, is rejected") {
  for (const auto *body : {"", "{", "[]", "{\"a\":1}{}", "\xff", "null",
                           R"({"sql":"a","sql":"b","kind":"place-order"})"})
    CHECK_FALSE(parse(request(body)));
}

// Guards against keys that become the same one in JSON, and against messages
// between daemons that cannot be decoded.
TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller request, a key or path that is no UTF-8, is "
                  "rejected") {
  for (const char *bytes : {"\xff", "\xc3", "\xed\xa0\x80", "\xc0\xaf"}) {
    CAPTURE(bytes);
    auto it = request(Good);
    it.Fields = {{KeyHeader, bytes}};
    CHECK(findings(it) == Places{KeyHeader});
    it = request(Good);
    it.Path = std::string("/v1/databases/orders/transactions/") + bytes +
              "/statements";
    auto parsed = parse(it);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().Status == 404);
  }
  auto it = request(Good);
  it.Fields = {{KeyHeader, "trükikoda"}};
  CHECK(parse(it));
}

TEST_CASE_FIXTURE(
    CallerApiFixture,
    "caller request, an unknown database, is rejected as not found") {
  auto it = request(Good);
  it.Path = "/v1/databases/ledgers/statements";
  auto parsed = parse(it);
  REQUIRE_FALSE(parsed);
  CHECK(parsed.error().Status == 404);
  CHECK((parsed.error().Code == AnswerCode::UnknownDatabase));
}

TEST_CASE_FIXTURE(
    CallerApiFixture,
    "caller request, before any configuration, is answered not-run "
    "with retry-after") {
  auto parsed = parseCallerRequest(request(Good), nullptr, Keys);
  REQUIRE_FALSE(parsed);
  auto response = makeResponse(parsed.error());
  CHECK(response.Status == 503);
  CHECK(http::findHeader(response.Fields, "retry-after") == "1");
  CHECK(Json::parse(response.Body)["outcome"] == "not-run");
}

TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller response, a write of unknown outcome, sends the "
                  "session's reads to the primary") {
  // The answer to a write is lost and its outcome is unknown. No replica's
  // position proves that it contains the write, so the session token must
  // route the caller's next read to the primary.
  auto it = request(Good);
  it.Fields = {{KeyHeader, "key-1"}};
  auto parsed = parse(it);
  REQUIRE(parsed);
  auto answer = unknownOutcome(parsed.value().Statement,
                               AnswerCode::ConnectionLost, "lost");
  auto response = makeResponse(parsed.value(), answer, Keys);
  auto token = verifyToken(
      std::string(http::findHeader(response.Fields, SessionHeader)), Keys);
  REQUIRE(token);
  CHECK(token.value().Databases[DatabaseName("orders")].primaryOnly());
  CHECK(Json::parse(response.Body)["outcome"] == "unknown");
}

TEST_CASE_FIXTURE(CallerApiFixture,
                  "caller response, rejected by admission, has retry-after in "
                  "whole seconds") {
  auto parsed = parse(request(Good));
  auto answer = notRun(parsed.value().Statement, AnswerCode::Overloaded, "full",
                       std::chrono::milliseconds(1'200));
  auto response = makeResponse(parsed.value(), answer, Keys);
  CHECK(response.Status == 503);
  CHECK(http::findHeader(response.Fields, "retry-after") == "2");
}
