// Tests of Owner and Router with a fake target whose answers the test triggers.

#include "daemon/owner.h"
#include "daemon/router.h"

#include <doctest/doctest.h>

#include <future>

using namespace peridotfall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t Slots = 2;
constexpr std::uint32_t Connections = 8;

/// Records the calls on a target, to be answered by the test.
struct FakeTarget {
  struct Call {
    StatementRequest Request;
    target::OnAnswer Answer;
  };
  std::vector<Call> Calls;
  std::size_t Opened = 0;
  std::size_t Closed = 0;

  target::Api api() {
    target::Api it;
    it.Connect = [this](const target::OnConnection &done) {
      ++Opened;
      auto open = std::make_shared<bool>(true);
      target::Connection connection;
      connection.Execute = [this](const StatementRequest &request, milliseconds,
                                  target::OnAnswer answer) {
        Calls.push_back({request, std::move(answer)});
      };
      connection.Close = [this, open] {
        Closed += *open ? 1 : 0;
        *open = false;
      };
      connection.IsOpen = [open] { return *open; };
      done(std::make_shared<const target::Connection>(connection));
    };
    return it;
  }
  /// Answers the oldest call.
  void answer(Outcome effect = Outcome::Done,
              AnswerCode code = AnswerCode::Ok) {
    auto it = std::move(Calls.front());
    Calls.erase(Calls.begin());
    auto out = notRun(it.Request, code, "");
    out.Effect = effect;
    it.Answer(out);
  }
};

struct OwnerFixture {
  ManualClock Time;
  ConfigurationInForce Config;
  GroupViews Views;
  FakeTarget Fake;
  Targets Apis{[this](const std::string &) { return Fake.api(); }};
  std::shared_ptr<Owner> Local;
  std::vector<StatementAnswer> Answers;
  CallerGoneFlag Gone = std::make_shared<std::atomic<bool>>(false);
  TargetName Press{"press"};

  OwnerFixture() {
    Configuration it;
    it.Revision = 1;
    it.Domains = {{DomainName("d"), RegionName("r")}};
    DatabaseConfig database;
    database.Name = DatabaseName("orders");
    database.Targets = {{Press, DomainName("d"), "press", Slots, Connections}};
    it.Databases = {database};
    Config.updateIfNewer(it);
    Local = std::make_shared<Owner>(Time, VmName("vm"), Config, Apis, Views);
  }

  StatementRequest request(Verb what = Verb::Statement) const {
    StatementRequest it;
    it.What = what;
    it.Database = DatabaseName("orders");
    it.Target = Press;
    it.Mode = Access::StaleRead;
    it.Sql = "SELECT 1";
    it.Budget = seconds(2);
    return it;
  }
  void execute(const StatementRequest &it) {
    Local->execute(it, Gone, [this](StatementAnswer answer) {
      Answers.push_back(std::move(answer));
    });
  }
  void runMaintenance(bool owned = true) {
    Local->runMaintenance([owned](const TargetConfig &) { return owned; });
  }
  /// Runs one statement, so that the owner estimates it as short.
  void runOnce() {
    execute(request());
    Time.advance(milliseconds(4));
    Fake.answer();
    Answers.clear();
  }
  std::string openTransaction() {
    execute(request(Verb::Begin));
    Fake.answer();
    return Answers.back().Transaction;
  }
};

} // namespace

TEST_CASE_FIXTURE(OwnerFixture,
                  "statements beyond the slots wait at the owner") {
  for (int n = 0; n < 5; ++n)
    execute(request());
  CHECK(Fake.Calls.size() <= Slots);
  while (Answers.size() < 5)
    Fake.answer();
  CHECK(Fake.Opened <= Slots);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "transactions, as many as allowed, leave half of the "
                  "connections and one for each slot free") {
  // Callers keep transactions open without statements. A transaction beyond
  // the limit is refused with a retry time, and a lookup still runs.
  for (std::uint32_t n = 0; n < Connections; ++n) {
    execute(request(Verb::Begin));
    if (!Fake.Calls.empty())
      Fake.answer();
  }
  CHECK((Answers.back().Code == AnswerCode::Overloaded));
  CHECK(Answers.back().RetryAfter.has_value());
  execute(request());
  REQUIRE(Fake.Calls.size() == 1);
  CHECK(Fake.Opened <= Connections / 2);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "transaction, idle too long, is rolled back and reported "
                  "gone") {
  // A caller stops in the middle of a transaction and blocks others by its
  // locks. The owner closes the connection, which makes the target roll back;
  // the next statement is answered as gone and not run.
  auto handle = openTransaction();
  REQUIRE_FALSE(handle.empty());
  Time.advance(limits::IdleTransaction);
  runMaintenance();
  CHECK(Fake.Closed == 1);
  auto it = request();
  it.Transaction = handle;
  execute(it);
  CHECK((Answers.back().Code == AnswerCode::TransactionGone));
  CHECK((Answers.back().Effect == Outcome::NotRun));
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "transaction, a statement running, does not count as idle") {
  auto it = request();
  it.Transaction = openTransaction();
  execute(it);
  Time.advance(2 * Duration(limits::IdleTransaction));
  runMaintenance();
  CHECK(Fake.Closed == 0);
  Fake.answer();
  CHECK((Answers.back().Effect == Outcome::Done));
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "transaction, target is primary again in a higher term, runs "
                  "no statement outside the transaction") {
  // The target is fenced, drops the transaction and becomes primary again. The
  // next statement carries the term in which the transaction began, so the
  // target refuses it instead of running it outside any transaction; the caller
  // gets TransactionGone.
  auto begin = request(Verb::Begin);
  begin.InTerm = 3;
  execute(begin);
  Fake.answer();
  auto it = request();
  it.Transaction = Answers.back().Transaction;
  execute(it);
  REQUIRE(Fake.Calls.size() == 1);
  CHECK(Fake.Calls.front().Request.InTerm == 3);
  Fake.answer(Outcome::NotRun, AnswerCode::Fenced);
  CHECK((Answers.back().Code == AnswerCode::TransactionGone));
  CHECK((Answers.back().Effect == Outcome::NotRun));
  CHECK(Local->inFlight() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "ownership moves, queued requests are returned and running "
                  "ones finish") {
  // Another daemon becomes rank 0. Requests that have not started return to
  // their entry daemons as not run; running ones are answered here, and the
  // connections are closed.
  runOnce();
  for (int n = 0; n < 5; ++n)
    execute(request());
  REQUIRE(Fake.Calls.size() == Slots);
  runMaintenance(false);
  REQUIRE(Answers.size() == 3);
  for (const auto &it : Answers) {
    CHECK((it.Code == AnswerCode::NotOwner));
    CHECK((it.Effect == Outcome::NotRun));
  }
  Fake.answer();
  Fake.answer();
  CHECK((Answers.back().Effect == Outcome::Done));
  runMaintenance(false);
  CHECK(Fake.Closed == Fake.Opened);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "ownership moves, an open transaction finishes at the old "
                  "owner") {
  auto it = request(Verb::Rollback);
  it.Transaction = openTransaction();
  runMaintenance(false);
  CHECK(Fake.Closed == 0);
  execute(it);
  REQUIRE(Fake.Calls.size() == 1);
  Fake.answer();
  CHECK((Answers.back().Effect == Outcome::Done));
}

TEST_CASE_FIXTURE(
    OwnerFixture,
    "caller gone while its requests are queued, none of them runs") {
  runOnce();
  for (int n = 0; n < 3; ++n)
    execute(request());
  REQUIRE(Fake.Calls.size() == Slots);
  *Gone = true;
  Fake.answer();
  Fake.answer();
  CHECK(Fake.Calls.empty());
  CHECK(Answers.size() == 3);
  CHECK(Local->inFlight() == 0);
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "queue longer than the deadline, refuses with a retry time") {
  // Each statement takes 300 ms, two run at once. Of 40 statements with 2 s
  // left the last are refused at once with a retry time, instead of waiting
  // until their deadline passes.
  for (int n = 0; n < 4; ++n) {
    execute(request());
    Time.advance(milliseconds(300));
    Fake.answer();
  }
  auto before = Answers.size();
  for (int n = 0; n < 40; ++n)
    execute(request());
  REQUIRE(Answers.size() > before);
  for (auto n = before; n < Answers.size(); ++n) {
    CHECK((Answers[n].Code == AnswerCode::Overloaded));
    CHECK((Answers[n].Effect == Outcome::NotRun));
    CHECK(Answers[n].RetryAfter.has_value());
  }
}

TEST_CASE_FIXTURE(OwnerFixture,
                  "write of unknown outcome, retry refused, stays unknown") {
  // The connection is lost after a payment was sent. Its key lets the entry
  // daemon retry, and that attempt is refused as not run. The caller must not
  // get "not run", since the first attempt may have run.
  http::Loops loops(1);
  Member self{VmName("vm"), DomainName("d"), RegionName("r"), "", 1, false};
  Fleet peers(loops, self, {});
  SystemClock clock;
  std::atomic<int> executed{0};
  Targets lossyTargets([&](const std::string &) {
    target::Api api;
    api.Connect = [&](const target::OnConnection &done) {
      target::Connection it;
      it.Execute = [&](const StatementRequest &request, milliseconds,
                       const target::OnAnswer &answer) {
        answer(executed++ == 0
                   ? unknownOutcome(request, AnswerCode::ConnectionLost, "")
                   : notRun(request, AnswerCode::SqlError, ""));
      };
      it.Close = [] {};
      it.IsOpen = [] { return true; };
      done(std::make_shared<const target::Connection>(it));
    };
    return api;
  });
  auto owner =
      std::make_shared<Owner>(clock, VmName("vm"), Config, lossyTargets, Views);
  auto router =
      std::make_shared<Router>(loops, clock, Config, peers, Views, *owner);
  RoutedRequest routed{request(), {}, Gone};
  routed.Request.Mode = Access::Write;
  routed.Request.Key = "payment-1";
  std::promise<StatementAnswer> answer;
  router->route(routed, [&](StatementAnswer it) { answer.set_value(it); });
  auto it = answer.get_future().get();
  CHECK(executed == 2);
  CHECK((it.Effect == Outcome::Unknown));
  loops.stop();
}

// A former primary returns with a write that no other target has, and is read
// as a replica. A session would see the write, and miss it in its next read.
TEST_CASE_FIXTURE(OwnerFixture,
                  "read, target's log of an older term, is answered behind") {
  TargetView leader;
  leader.Reachable = true;
  leader.LastStatus.IsPrimary = true;
  leader.LastStatus.CurrentTerm = 2;
  Views.updateStatus(DatabaseName("orders"), TargetName("depot"), leader);
  for (auto mode : {Access::FreshRead, Access::StaleRead}) {
    auto read = request();
    read.Mode = mode;
    execute(read);
    auto call = std::move(Fake.Calls.front());
    Fake.Calls.clear();
    auto answer = notRun(call.Request, AnswerCode::Ok, "");
    answer.Effect = Outcome::Done;
    answer.At = {1, 9};
    call.Answer(answer);
    CHECK((Answers.back().Effect == Outcome::NotRun));
    CHECK((Answers.back().Code == AnswerCode::Behind));
  }
}

// The entry daemon sends a read to the primary in its view. This owner was
// frozen, and its view has the target as a replica: without a confirmation a
// replaced primary would answer, and the session would miss its own write.
TEST_CASE_FIXTURE(OwnerFixture,
                  "primary-only read, not confirmed, is not answered") {
  auto read = request();
  read.Mode = Access::FreshRead;
  read.PrimaryOnly = true;
  execute(read);
  Fake.answer();
  CHECK((Answers.back().Effect == Outcome::NotRun));
  CHECK((Answers.back().Code == AnswerCode::NotConfirmed));
  CHECK(Answers.back().RetryAfter.has_value());
}

// The answer to a commit was lost, so the owner closed the connection and
// removed the transaction. The caller commits again. The answer must not be
// that the transaction did not run, since the first commit may have run.
TEST_CASE_FIXTURE(OwnerFixture,
                  "commit retried, transaction gone, is never answered as not "
                  "run") {
  SystemClock clock;
  http::Loops loops(1);
  Member self;
  self.Vm = VmName("vm");
  self.Domain = DomainName("d");
  Fleet peers(loops, self, {});
  std::vector<Verb> executedVerbs;
  Targets targets([&](const std::string &) {
    target::Api api;
    api.Connect = [&](const target::OnConnection &done) {
      target::Connection it;
      it.Execute = [&](const StatementRequest &request, milliseconds,
                       const target::OnAnswer &answer) {
        executedVerbs.push_back(request.What);
        answer(notRun(request, AnswerCode::TransactionGone, ""));
      };
      it.Close = [] {};
      it.IsOpen = [] { return true; };
      done(std::make_shared<const target::Connection>(it));
    };
    return api;
  });
  auto owner =
      std::make_shared<Owner>(clock, VmName("vm"), Config, targets, Views);
  auto router =
      std::make_shared<Router>(loops, clock, Config, peers, Views, *owner);
  for (const auto *key : {"", "payment-1"}) {
    RoutedRequest routed{request(Verb::Commit), {}, Gone};
    routed.Request.Mode = Access::Write;
    routed.Request.Key = key;
    routed.Request.Transaction = makeTransactionHandle({VmName("vm"), Press});
    std::promise<StatementAnswer> answer;
    router->route(routed, [&](StatementAnswer it) { answer.set_value(it); });
    auto it = answer.get_future().get();
    CHECK((it.Effect == Outcome::Unknown));
    CHECK((it.Code == AnswerCode::TransactionGone));
  }
  // With a key, the router queried the primary for the record stored under it.
  CHECK((executedVerbs == std::vector<Verb>{Verb::Commit}));
  loops.stop();
}
