#include "fixture.h"

#include "messages/lease.h"
#include "proxy/relay.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

ClientAccount account(const char *name, std::vector<const char *> keys) {
  ClientAccount out;
  out.Name = AccountName(name);
  for (const auto *it : keys)
    out.Keys.push_back(digestOf(it));
  return out;
}

/// The accounts "press" with the keys k1 and k2, and "desk" with k3.
struct AccountsFixture : ProxyFixture {
  AccountsFixture() {
    apply({account("press", {"k1", "k2"}), account("desk", {"k3"})});
  }

  void apply(std::vector<ClientAccount> accounts) {
    auto table = Callers.routes();
    ++table.Version;
    table.Accounts = AccountTable::make(std::move(accounts)).value();
    REQUIRE(Callers.applyRoutes(table));
  }
  CallerId sessionWith(const char *key, const char *database = "orders") {
    CallerId id{++LastCaller};
    Callers.start(id, DatabaseName(database), digestOf(key));
    return id;
  }
  bool isRejected(CallerId caller) const {
    auto it = CallerSide.Rejected.find(caller);
    return it != CallerSide.Rejected.end() &&
           it->second.Kind == ErrorKind::KeyUnknown;
  }
  std::vector<std::string> accountsOfOpenConnections() const {
    std::vector<std::string> out;
    for (const auto &[id, it] : Links.Connections)
      if (it.Open)
        out.push_back(it.Account.Value);
    return out;
  }
  /// Begins a transaction that has run one statement.
  CallerId openTransaction(const char *key) {
    auto out = sessionWith(key);
    send(out, StatementKind::Begin);
    send(out, StatementKind::Write, "WRITE a x");
    serve("p", TransactionState::Open);
    REQUIRE(last(out).State == TransactionState::Open);
    return out;
  }
  bool sawRollback() const {
    return std::any_of(Links.Connections.begin(), Links.Connections.end(),
                       [](const auto &line) {
                         const auto &seen = line.second.Seen;
                         return !seen.empty() &&
                                seen.back().Kind == StatementKind::Rollback;
                       });
  }
};

struct PoolFixture {
  ManualClock Time;
  FakeTargets Links;
  std::uint64_t LastLease = 0;
  TargetPool Pool{entry(), Links, Time, LastLease};

  PoolFixture() { Pool.setCapacity(2, 2); }

  static TargetEntry entry() {
    TargetEntry it;
    it.Name = TargetName("t");
    return it;
  }
  LeaseId begin(const char *account, const char *statement = "q",
                bool ends = true) {
    Batch batch;
    batch.Statements.resize(1);
    batch.Statements[0].Kind = StatementKind::Read;
    batch.Statements[0].Id = statement;
    batch.EndsLease = ends;
    batch.Timeout = milliseconds(500);
    LeaseRequest request{TargetName("t"), 0, milliseconds(300),
                         milliseconds(800)};
    request.Account = AccountName(account);
    return Pool.begin(request, batch, [](const BatchResult &) {});
  }
  void completeHandshakes() {
    for (auto id : std::exchange(Links.Opening, {}))
      Pool.opened(id);
  }
  void serveAll() {
    completeHandshakes();
    for (auto &[id, it] : Links.Connections)
      while (it.Open && !it.Unanswered.empty()) {
        it.Unanswered.pop_front();
        Answer answer;
        answer.Signature = "s";
        Pool.answered(id, answer);
      }
  }
  std::size_t openFor(const char *account) const {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Connections)
      n += it.Open && it.Account.Value == account;
    return n;
  }
};

} // namespace

// With one delay for all, the refused callers of an account in a burst return
// together and are refused again.
TEST_CASE_FIXTURE(AccountsFixture,
                  "queue refuses an account's statements, its callers return "
                  "one after the other") {
  auto callers = readAtSlowPrimary([this] { return sessionWith("k1"); }, 300);
  std::vector<std::string> refusals;
  for (auto it : callers)
    if (!answers(it).empty())
      refusals.push_back(last(it).Error->Detail);
  REQUIRE(refusals.size() > 20);
  std::sort(refusals.begin(), refusals.end());
  auto end = std::unique(refusals.begin(), refusals.end());
  CHECK(end - refusals.begin() > 10);
  CHECK(refusals[0].starts_with("more waits than runs in time; retry-after"));
}

// Guards against operations of an account that another account's grants cover.
TEST_CASE_FIXTURE(AccountsFixture, "key moved while an operation waits for a "
                                   "grant, is counted for the new account") {
  struct LaterQuotas final : QuotaPort {
    std::vector<std::string> Asked;
    std::vector<OnQuotaDecision> Waiting;
    std::optional<QuotaDecision> admit(const AccountName &account,
                                       OnQuotaDecision done) override {
      Asked.push_back(account.Value);
      Waiting.push_back(std::move(done));
      return std::nullopt;
    }
  } quotas;
  Callers.setQuotas(quotas);
  auto caller = sessionWith("k1");
  send(caller, StatementKind::Read, "READ a");
  apply({account("press", {"k2"}), account("desk", {"k1", "k3"})});
  quotas.Waiting.at(0)({});
  completeHandshakes();
  CHECK_FALSE(busyAt("p"));
  CHECK(quotas.Asked == std::vector<std::string>{"press", "desk"});
  quotas.Waiting.at(1)({false, milliseconds(40)});
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
}

TEST_CASE_FIXTURE(AccountsFixture,
                  "session, unknown key or none, is rejected at once") {
  CHECK(isRejected(sessionWith("k9")));
  CHECK(isRejected(session("orders")));
  CHECK(CallerSide.HandshakesDone.empty());
}

TEST_CASE_FIXTURE(AccountsFixture, "session on a public route, needs no key") {
  auto table = Callers.routes();
  ++table.Version;
  table.Routes.at(DatabaseName("views")).Public = true;
  Callers.applyRoutes(table);
  CHECK_FALSE(isRejected(session("views")));
  CHECK(isRejected(session("orders")));
}

// Guards against sessions that are refused while a daemon that has just started
// has read no configuration.
TEST_CASE("session, no configuration read yet, waits for its account") {
  ManualClock time;
  FakeTargets links;
  FakeCallers callers;
  NoRelay relay;
  Groups groups{{VmName("vm"), DomainName("press"), RegionName("tartu")},
                links,
                relay,
                time};
  auto metrics = makeProxyMetrics();
  Sessions sessions{groups, callers, metrics, time};
  sessions.start({1}, DatabaseName("orders"), digestOf("k1"));
  CHECK(callers.Rejected.empty());
  RoutingTable table;
  table.Version = 1;
  ProxyFixture::addRoute(table, "orders", Guarantee::Primary);
  table.Accounts = AccountTable::make({account("press", {"k1"})}).value();
  sessions.applyRoutes(table);
  CHECK(callers.HandshakesDone.size() == 1);
}

// Guards against a target that runs a statement for another account than the
// caller's.
TEST_CASE_FIXTURE(AccountsFixture,
                  "sessions of two accounts, use connections of their own") {
  auto first = sessionWith("k1");
  auto second = sessionWith("k3");
  send(first, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  send(second, StatementKind::Write, "WRITE b x");
  serve("p", TransactionState::Idle);
  CHECK(last(first).ok());
  CHECK(last(second).ok());
  for (const auto &[id, it] : Links.Connections)
    for (const auto &statement : it.Seen)
      CHECK(it.Account.Value ==
            (statement.Text == "WRITE a x" ? "press" : "desk"));
}

TEST_CASE_FIXTURE(AccountsFixture,
                  "sessions with two keys of an account, share a connection") {
  for (const char *key : {"k1", "k2"}) {
    auto caller = sessionWith(key);
    send(caller, StatementKind::Write, "WRITE a x");
    serve("p", TransactionState::Idle);
  }
  CHECK(accountsOfOpenConnections() == std::vector<std::string>{"press"});
}

// Guards against a removed key that goes on being served in sessions that began
// before.
TEST_CASE_FIXTURE(AccountsFixture,
                  "key removed, its idle sessions end and no others") {
  auto removed = sessionWith("k1");
  auto sibling = sessionWith("k2");
  auto other = sessionWith("k3");
  apply({account("press", {"k2"}), account("desk", {"k3"})});
  CHECK(isRejected(removed));
  CHECK_FALSE(isRejected(sibling));
  CHECK_FALSE(isRejected(other));
  CHECK(isRejected(sessionWith("k1")));
}

// Guards against a transaction that goes on after its key was removed, or stays
// open at the target.
TEST_CASE_FIXTURE(AccountsFixture,
                  "key removed in a transaction, is rolled back") {
  auto caller = openTransaction("k1");
  apply({account("press", {"k2"}), account("desk", {"k3"})});
  CHECK(isRejected(caller));
  CHECK(sawRollback());
}

// Guards against an answer that is ready and not delivered: the target has run
// the statement.
TEST_CASE_FIXTURE(
    AccountsFixture,
    "key removed with an answer under way, is delivered before the end") {
  auto caller = sessionWith("k1");
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  apply({account("press", {"k2"}), account("desk", {"k3"})});
  CHECK_FALSE(isRejected(caller));
  serve("p", TransactionState::Idle);
  REQUIRE(answers(caller).size() == 1);
  CHECK(last(caller).ok());
  CHECK(isRejected(caller));
}

// Guards against a statement that is sent after its key was removed, because
// it waited or was retried meanwhile.
TEST_CASE_FIXTURE(AccountsFixture,
                  "key removed, statement to be retried, is not sent again") {
  auto caller = sessionWith("k1");
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  auto id = *busyAt("p");
  apply({account("press", {"k2"}), account("desk", {"k3"})});
  answer(id, failure(ErrorKind::Busy, TransactionState::Idle));
  pass(milliseconds(100));
  CHECK(isRejected(caller));
  const auto &seen = Links.Connections.at(id).Seen;
  CHECK(std::count_if(seen.begin(), seen.end(), [](const Statement &it) {
          return it.Kind == StatementKind::Write;
        }) == 1);
}

// Guards against a first statement that is sent after its key was removed,
// because its transaction was being begun at the target meanwhile.
TEST_CASE_FIXTURE(AccountsFixture,
                  "key removed while a transaction begins, runs no statement") {
  auto caller = sessionWith("k1");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  apply({account("press", {"k2"}), account("desk", {"k3"})});
  serve("p", TransactionState::Open);
  CHECK(isRejected(caller));
  CHECK(sawRollback());
  for (const auto &[id, it] : Links.Connections)
    for (const auto &statement : it.Seen)
      CHECK(statement.Kind != StatementKind::Write);
}

// Guards against a transaction of which one part runs for one account and the
// rest for another.
TEST_CASE_FIXTURE(AccountsFixture,
                  "key moved in a transaction, the transaction is aborted") {
  auto caller = openTransaction("k1");
  apply({account("press", {"k2"}), account("desk", {"k3", "k1"})});
  CHECK_FALSE(isRejected(caller));
  send(caller, StatementKind::Commit, "COMMIT");
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(sawRollback());
  send(caller, StatementKind::Rollback);
  send(caller, StatementKind::Write, "WRITE b x");
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  auto accounts = accountsOfOpenConnections();
  CHECK(std::count(accounts.begin(), accounts.end(), "desk") == 1);
}

TEST_CASE_FIXTURE(AccountsFixture, "account renamed, its sessions go on") {
  auto caller = sessionWith("k1");
  apply({account("printers", {"k1"})});
  CHECK_FALSE(isRejected(caller));
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  CHECK(accountsOfOpenConnections() == std::vector<std::string>{"printers"});
}

// Guards against an account that waits forever while connections of others,
// which fill the target's limit, stand idle.
TEST_CASE_FIXTURE(
    PoolFixture,
    "connections full, the one of another account unused longest is replaced") {
  begin("a");
  serveAll();
  Time.advance(milliseconds(5));
  begin("b");
  serveAll();
  begin("c");
  CHECK(openFor("a") == 0);
  CHECK(openFor("b") == 1);
  CHECK(openFor("c") == 1);
}

// Guards against a transaction that is broken off because its connection is
// taken for another account.
TEST_CASE_FIXTURE(PoolFixture,
                  "connections full and in transactions, none is replaced") {
  begin("a", "t1", false);
  begin("b", "t2", false);
  serveAll();
  begin("c");
  CHECK(openFor("a") == 1);
  CHECK(openFor("b") == 1);
  CHECK(openFor("c") == 0);
}

// Guards against a busy account that keeps all connections because each one
// that becomes free goes to its next statement.
TEST_CASE_FIXTURE(PoolFixture,
                  "account without a connection waits, is served in turn") {
  begin("a");
  begin("a");
  completeHandshakes();
  begin("b");
  for (int n = 0; n < 8; ++n)
    begin("a");
  serveAll();
  CHECK(openFor("b") == 1);
}

// A query of the proxy reads nothing of an account, so it needs no connection
// of its own.
TEST_CASE_FIXTURE(PoolFixture,
                  "query of the proxy, uses any account's connection") {
  begin("a");
  serveAll();
  Batch batch;
  batch.Statements = {makeProxyStatement(StatementKind::Begin),
                      makeProxyStatement(StatementKind::Rollback)};
  batch.EndsLease = true;
  batch.Timeout = milliseconds(300);
  Pool.begin({TargetName("t"), 0, milliseconds(300), milliseconds(600), {}},
             batch, [](const BatchResult &) {});
  CHECK(Links.Connections.size() == 1);
  CHECK(Links.Connections.begin()->second.Unanswered.size() == 2);
}

// Guards against a daemon of an earlier version whose statements would run
// without their account during an upgrade.
TEST_CASE_FIXTURE(ProxyFixture,
                  "lease of another daemon, names no account, is refused") {
  RelayServer server(TargetGroups, ProcessId{1});
  messages::BeginLease message;
  message.Request.Target = TargetName("p");
  message.First.Statements.resize(1);
  message.NamesAccount = false;
  http::Request request;
  request.Path = messages::BeginLeasePath;
  request.Body = messages::encode(message);
  std::optional<messages::LeaseAnswer> answer;
  server.handle(request, [&](http::Response it) {
    answer = messages::decodeLeaseAnswer(it.Body).value();
  });
  REQUIRE(answer);
  CHECK(answer->Result.End == BatchEnd::NotRun);
  CHECK(Links.Connections.empty());
}
