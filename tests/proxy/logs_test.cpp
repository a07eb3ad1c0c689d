#include "fixture.h"

#include "telemetry/log_writer.h"
#include "tool/request_timeline.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Sees nothing but the log lines, as they are written.
struct LogFixture : ProxyFixture {
  std::vector<tool::LogLine> Lines;

  LogFixture() {
    telemetry::setLineSink([this](const std::string &line) {
      if (auto it = tool::parseLogLine(line, "vm"))
        Lines.push_back(*it);
    });
  }
  ~LogFixture() { telemetry::setLineSink(nullptr); }
  LogFixture(const LogFixture &) = delete;
  LogFixture &operator=(const LogFixture &) = delete;

  std::vector<std::string> timeline(const char *request) const {
    std::vector<std::string> out;
    for (const auto &it : tool::requestTimeline(request, Lines)) {
      auto why = it.Fields.find("why");
      out.push_back(it.Event +
                    (why == it.Fields.end() ? "" : " " + why->second));
    }
    return out;
  }
};

} // namespace

// A statement is refused after it waited for a connection while the
// transactions of other sessions held all of them.
TEST_CASE_FIXTURE(
    LogFixture, "write refused under load, its lines show what it waited for") {
  for (unsigned n = 0; n < 16; ++n) {
    auto other = session("orders");
    send(other, StatementKind::Begin);
    send(other, StatementKind::Write, "WRITE a x");
    serve("p", TransactionState::Open);
  }
  auto caller = session("orders");
  Statement it;
  it.Kind = StatementKind::Write;
  it.Id = "mine";
  it.Text = "WRITE b x";
  Callers.statement(caller, it);
  pass(milliseconds(900));
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  auto lines = timeline("mine");
  REQUIRE_FALSE(lines.empty());
  CHECK(lines.back() == "PF5002 busy");
  CHECK(Lines.back().Fields.at("last_target") == "p");
}

// A write was sent, and its connection broke as the primary crashed.
TEST_CASE_FIXTURE(LogFixture,
                  "write of unknown outcome, its lines name the connection") {
  auto caller = session("orders");
  Statement it;
  it.Kind = StatementKind::Write;
  it.Id = "mine";
  it.Text = "WRITE b x";
  Callers.statement(caller, it);
  completeHandshakes();
  auto id = *busyAt("p");
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
  auto lines = timeline("mine");
  CHECK(std::find(lines.begin(), lines.end(),
                  "PF4015 connection to the target lost") != lines.end());
  CHECK(std::find(lines.begin(), lines.end(),
                  "PF5003 connection to the target lost") != lines.end());
}

// A read finds no replica that is fresh enough, and no primary.
TEST_CASE_FIXTURE(LogFixture,
                  "read refused as replicas lag, its lines name each attempt") {
  learnHead();
  Entries.erase(TargetName("p"));
  TargetGroups.updateTargets(Entries);
  auto caller = session("views");
  Statement it;
  it.Kind = StatementKind::Read;
  it.Id = "mine";
  it.Text = "READ b";
  Callers.statement(caller, it);
  for (unsigned n = 0; n < 40; ++n) {
    pass(milliseconds(20));
    completeHandshakes();
    for (const char *replica : {"r", "s"})
      while (auto id = busyAt(replica)) {
        bool own = Links.Connections.at(*id).Unanswered.front().Id.empty();
        answer(*id, failure(own ? ErrorKind::ReadOnly : ErrorKind::Lagging,
                            TransactionState::Idle));
      }
  }
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  auto lines = timeline("mine");
  CHECK(std::count(lines.begin(), lines.end(), "PF5009 lagging") >= 2);
  CHECK(lines.back() == "PF5002 no primary to run it");
}

// Guards against a session that is rejected because of outdated routes without
// a log line that shows it.
TEST_CASE_FIXTURE(
    LogFixture,
    "session without a route, its line shows the age of the routes") {
  Callers.confirmRoutes(Time.now());
  pass(milliseconds(700));
  session("unknown");
  CHECK(Lines.back().Event == "PF5001");
  CHECK(Lines.back().Fields.at("confirmed_ms_ago") == "700");
}

// Guards against a statement that fails because its route was removed without a
// log line that shows it.
TEST_CASE_FIXTURE(LogFixture,
                  "statement after its route was removed, is logged") {
  auto caller = session("orders");
  auto table = Callers.routes();
  ++table.Version;
  table.Routes.erase(DatabaseName("orders"));
  REQUIRE(Callers.applyRoutes(table));
  send(caller, StatementKind::Write, "WRITE a x");
  CHECK(last(caller).Error->Kind == ErrorKind::NoDatabase);
  CHECK(Lines.back().Event == "PF5010");
  CHECK(Lines.back().Fields.at("version") == std::to_string(table.Version));
}

TEST_CASE_FIXTURE(LogFixture, "statement refused for its account's limit, the "
                              "line names the account") {
  struct NothingLeft final : QuotaPort {
    std::optional<QuotaDecision> admit(const AccountName &,
                                       OnQuotaDecision) override {
      return QuotaDecision{false, milliseconds(40)};
    }
  } quotas;
  Callers.setQuotas(quotas);
  ClientAccount account;
  account.Name = AccountName("press");
  account.Keys = {digestOf("k1")};
  auto table = Callers.routes();
  ++table.Version;
  table.Accounts = AccountTable::make({account}).value();
  REQUIRE(Callers.applyRoutes(table));
  CallerId caller{++LastCaller};
  Callers.start(caller, DatabaseName("orders"), digestOf("k1"));
  send(caller, StatementKind::Read, "READ a");
  CHECK(Lines.back().Event == "PF5002");
  CHECK(Lines.back().Fields.at("account") == "press");
}
