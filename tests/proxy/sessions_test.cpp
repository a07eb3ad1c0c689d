#include "fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

std::vector<StatementKind> kinds(const FakeTargets::Line &line) {
  std::vector<StatementKind> out;
  for (const auto &it : line.Seen)
    out.push_back(it.Kind);
  return out;
}

} // namespace

TEST_CASE_FIXTURE(ProxyFixture, "session, unknown database, is rejected") {
  auto caller = session("nothing");
  CHECK(Side.Rejected.at(caller).Kind == ErrorKind::NoDatabase);
}

TEST_CASE_FIXTURE(
    ProxyFixture,
    "lone read of a primary route, proves that its target leads") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  greetAll();
  auto id = busyAt("p");
  REQUIRE(id);
  CHECK(kinds(Links.Lines.at(*id)) == std::vector{StatementKind::Begin,
                                                  StatementKind::Read,
                                                  StatementKind::Rollback});
  serve("p", TransactionState::Open);
  CHECK(last(caller).Signature == "sig-q1");
  CHECK(last(caller).State == TransactionState::Idle);
}

// The caller sees the answer of a primary that has been replaced.
// The target refuses to begin a plain transaction, as it does not lead, and
// runs the read by itself, on an old log; the read's success must not count.
TEST_CASE_FIXTURE(ProxyFixture,
                  "lone read, target has lost the lead, its row is dropped") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  greetAll();
  auto id = *busyAt("p");
  answer(id, failure(ErrorKind::ReadOnly, TransactionState::Idle));
  answer(id, success(Links.Lines.at(id).Unanswered.front(),
                     TransactionState::Idle));
  answer(id, failure(ErrorKind::Malformed, TransactionState::Idle));
  CHECK(answers(caller).empty());
}

// The caller's first statement of a transaction runs outside of it.
// The replica lacks the position asked for and refuses to begin; a read sent
// along with the beginning is then run by itself. So it waits for the answer.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "first read of a transaction, beginning not answered, is not sent") {
  learnHead();
  auto caller = session("views");
  send(caller, StatementKind::BeginRead);
  send(caller, StatementKind::Read, "READ a");
  pass(milliseconds(60));
  greetAll();
  std::optional<ConnectionId> id = busyAt("r") ? busyAt("r") : busyAt("s");
  REQUIRE(id);
  CHECK(kinds(Links.Lines.at(*id)) == std::vector{StatementKind::BeginRead});
  answer(*id, failure(ErrorKind::Lagging, TransactionState::Idle));
  for (const auto &it : Links.Lines.at(*id).Seen)
    CHECK(it.Kind != StatementKind::Read);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "first write of a transaction, waits for its beginning") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  greetAll();
  auto id = *busyAt("p");
  CHECK(kinds(Links.Lines.at(id)) == std::vector{StatementKind::Begin});
  serve("p", TransactionState::Open);
  CHECK(kinds(Links.Lines.at(id)) ==
        std::vector{StatementKind::Begin, StatementKind::Write});
  CHECK(last(caller).State == TransactionState::Open);
}

// The caller was told that a write is acknowledged, and reads without it.
// Its next read asks a replica for the position that the write was given.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read after the own write, asks for the write's position") {
  learnHead();
  auto caller = session("status");
  Head.Index = 140;
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  REQUIRE(last(caller).ok());
  send(caller, StatementKind::Read, "READ a");
  pass(milliseconds(60));
  greetAll();
  auto id = busyAt("r") ? busyAt("r") : busyAt("s");
  REQUIRE(id);
  CHECK(Links.Lines.at(*id).Unanswered.front().NotBefore ==
        Position{InTerm, 140});
}

// The caller must hear that nothing is known: the connection broke after its
// write was sent, and the write may have been carried out.
TEST_CASE_FIXTURE(ProxyFixture,
                  "lone write, connection lost, its outcome is unknown") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  greetAll();
  auto id = *busyAt("p");
  All.withPools(TargetName("p"), [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
  CHECK(last(caller).State == TransactionState::Idle);
}

// The caller sees its transaction fail before its commit was sent; nothing of
// it is kept, as the target rolls back what loses its connection.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "write in a transaction, connection lost, transaction is aborted") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  send(caller, StatementKind::Write, "WRITE b x");
  auto id = *busyAt("p");
  All.withPools(TargetName("p"), [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Failed);
  send(caller, StatementKind::Rollback);
  CHECK(last(caller).ok());
  CHECK(last(caller).State == TransactionState::Idle);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "commit that wrote, connection lost, outcome is unknown") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  send(caller, StatementKind::Commit, "COMMIT");
  auto id = *busyAt("p");
  All.withPools(TargetName("p"), [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
}

// The caller gets another statement's answer. The answer to its read was lost
// on the way, and the one to the rollback behind it comes in its place.
TEST_CASE_FIXTURE(ProxyFixture,
                  "answers that moved up by one, are not passed on") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  greetAll();
  auto id = *busyAt("p");
  answer(id, success(Links.Lines.at(id).Unanswered.front(),
                     TransactionState::Open));
  Answer rollback;
  rollback.Signature = "-";
  answer(id, rollback);
  CHECK(answers(caller).empty());
  CHECK_FALSE(Links.Lines.at(id).Open);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "write without a primary, waits and is refused as not run") {
  Entries.erase(TargetName("p"));
  All.takeTargets(Entries);
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  pass(milliseconds(400));
  CHECK(answers(caller).empty());
  pass(milliseconds(200));
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  CHECK(last(caller).Error->Detail.find("retry-after-ms=") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "write without a primary, runs once a new one is listed") {
  Entries.erase(TargetName("p"));
  All.takeTargets(Entries);
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  pass(milliseconds(200));
  Entries.at(TargetName("r")).ClaimsPrimary = true;
  Entries.at(TargetName("r")).Revision = 9;
  All.takeTargets(Entries);
  serve("r", TransactionState::Idle);
  CHECK(last(caller).ok());
}

// Two callers use the same name for different values; each must see its own.
TEST_CASE_FIXTURE(ProxyFixture,
                  "connection that served another session, gets its values") {
  auto one = session("orders");
  auto other = session("orders");
  Statement set;
  set.Kind = StatementKind::Set;
  set.Id = "s";
  set.Name = "zone";
  set.Argument = "press";
  Callers.statement(one, set);
  send(one, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  send(other, StatementKind::Write, "WRITE b x");
  serve("p", TransactionState::Idle);
  auto &line = Links.Lines.begin()->second;
  CHECK(kinds(line) == std::vector{StatementKind::Set, StatementKind::Write,
                                   StatementKind::Reset, StatementKind::Write});
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "prepared statement, target forgot it, is prepared again") {
  auto caller = session("orders");
  Statement prepare;
  prepare.Kind = StatementKind::Prepare;
  prepare.Id = "p";
  prepare.Name = "s1";
  prepare.Body = {true, "q2c"};
  Callers.statement(caller, prepare);
  Statement execute;
  execute.Kind = StatementKind::Execute;
  execute.Id = "e";
  execute.Name = "s1";
  execute.Argument = "a x";
  Callers.statement(caller, execute);
  greetAll();
  auto id = *busyAt("p");
  answer(id, success(Statement(), TransactionState::Idle));
  answer(id, failure(ErrorKind::NoStatement, TransactionState::Idle));
  CHECK(kinds(Links.Lines.at(id)) ==
        std::vector{StatementKind::Prepare, StatementKind::Execute,
                    StatementKind::Prepare, StatementKind::Execute});
}

// The caller reads old data from a replaced primary for as long as the
// route's bound allows. The old primary refuses to begin a plain transaction
// and runs the read behind it by itself; that success shows no lead, so its
// log's position bounds nothing.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read behind a refused beginning, does not show a lead") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  greetAll();
  auto id = *busyAt("p");
  answer(id, failure(ErrorKind::ReadOnly, TransactionState::Idle));
  answer(id, success(Links.Lines.at(id).Unanswered.front(),
                     TransactionState::Idle));
  answer(id, failure(ErrorKind::Malformed, TransactionState::Idle));
  const auto &view = All.find(GroupName("ledger"))->View;
  CHECK_FALSE(view.leader());
  CHECK_FALSE(view.positionFor(milliseconds(1'500), Time.now()));
}

// Callers must not lose an answer to a planned stop. Sessions at rest end a
// moment after readiness is taken back; a transaction has until its limit.
TEST_CASE_FIXTURE(ProxyFixture,
                  "stop, sessions at rest end, transactions have their time") {
  auto resting = session("orders");
  auto busy = session("orders");
  send(busy, StatementKind::Begin);
  send(busy, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  Callers.stop(milliseconds(6'000));
  pass(milliseconds(1'000));
  CHECK(Side.Closed.empty());
  pass(milliseconds(1'000));
  CHECK(Side.Closed == std::vector<CallerId>{resting});
  send(busy, StatementKind::Commit, "COMMIT");
  serve("p", TransactionState::Open);
  CHECK(last(busy).ok());
  pass(milliseconds(100));
  CHECK(Side.Closed == std::vector<CallerId>{resting, busy});
  CHECK(Callers.isStopped());
}

// A statement must not reach a process that knows nothing of before. The
// target starts anew under its old name; what ran there is lost, and new work
// gets connections of its own.
TEST_CASE_FIXTURE(ProxyFixture,
                  "target started anew, its connections are not used again") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  REQUIRE(Links.Lines.size() == 1);
  Entries.at(TargetName("p")).Born = 2;
  Entries.at(TargetName("p")).Revision = 50;
  All.takeTargets(Entries);
  CHECK_FALSE(Links.Lines.begin()->second.Open);
  send(caller, StatementKind::Write, "WRITE b x");
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  CHECK(Links.Lines.size() == 2);
}

// A leaving target gets no new work; a read goes to another one.
TEST_CASE_FIXTURE(ProxyFixture, "replica leaving, reads go elsewhere") {
  learnHead();
  Entries.at(TargetName("r")).Leaving = true;
  All.takeTargets(Entries);
  for (unsigned n = 0; n < 5; ++n) {
    auto caller = session("views");
    send(caller, StatementKind::Read, "READ a");
    pass(milliseconds(60));
    serve("s", TransactionState::Idle);
    serve("p", TransactionState::Open);
    CHECK(last(caller).ok());
  }
  for (const auto &[id, it] : Links.Lines)
    CHECK(it.Target.Value != "r");
}

// Guards against new work at a leaving primary that nobody can replace.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "primary leaving, gets writes until its limit and none after") {
  learnHead();
  All.setLeavingLimit(milliseconds(7'000));
  Entries.at(TargetName("p")).Leaving = true;
  All.takeTargets(Entries);
  pass(milliseconds(5'500));
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  pass(milliseconds(600));
  for (unsigned n = 0; n < 20; ++n) {
    auto late = session(n % 2 == 0 ? "orders" : "views");
    send(late, StatementKind::Write, "WRITE b x");
    pass(milliseconds(100));
    greetAll();
    CHECK_FALSE(busyAt("p"));
  }
}

// Load: a new primary takes all reads while the replicas lag, and refuses some
// as busy. Given up on after a few quick tries, a statement is lost with most
// of its time unused.
TEST_CASE_FIXTURE(ProxyFixture,
                  "target busy for a while, statement is tried for longer") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  greetAll();
  for (unsigned n = 0; n < 15; ++n) {
    if (auto id = busyAt("p"))
      answer(*id, failure(ErrorKind::Busy, TransactionState::Idle));
    pass(milliseconds(20));
  }
  CHECK(answers(caller).empty());
  serve("p", TransactionState::Idle);
  pass(milliseconds(130));
  serve("p", TransactionState::Idle);
  REQUIRE_FALSE(answers(caller).empty());
  CHECK(last(caller).ok());
}

TEST_CASE_FIXTURE(ProxyFixture, "routes of an older version, are not taken") {
  auto newer = Callers.routes();
  newer.Version = 7;
  newer.Routes.erase(DatabaseName("views"));
  CHECK(Callers.takeRoutes(newer));
  auto older = Callers.routes();
  older.Version = 6;
  older.Routes.clear();
  CHECK_FALSE(Callers.takeRoutes(older));
  CHECK(Callers.routes() == newer);
}

// A caller's statement is never answered. Its transaction's connection broke
// between two statements, so nobody was told; the next one finds no lease.
TEST_CASE_FIXTURE(ProxyFixture,
                  "connection lost between statements, next one is aborted") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  REQUIRE(last(caller).ok());
  auto id = Links.Lines.begin()->first;
  All.withPools(TargetName("p"), [&](TargetPool &pool) { pool.closed(id); });
  send(caller, StatementKind::Write, "WRITE b x");
  pass(milliseconds(100));
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Failed);
}

// The same for a commit: without a byte of it sent, the target has rolled the
// transaction back, and the caller may be told so.
TEST_CASE_FIXTURE(ProxyFixture,
                  "connection lost before the commit, nothing is kept") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  auto id = Links.Lines.begin()->first;
  All.withPools(TargetName("p"), [&](TargetPool &pool) { pool.closed(id); });
  send(caller, StatementKind::Commit, "COMMIT");
  pass(milliseconds(100));
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Idle);
}

// Load: callers that leave while their reads run. Counted as running for good,
// they make a healthy replica look busy, and all reads go elsewhere.
TEST_CASE_FIXTURE(ProxyFixture,
                  "callers leave while they read, replica is used again") {
  learnHead();
  auto readAt = [&](bool leaves) {
    auto caller = session("views");
    send(caller, StatementKind::Read, "READ a");
    pass(milliseconds(60));
    greetAll();
    std::string target = busyAt("r") ? "r" : "s";
    if (leaves && target == "r")
      Callers.closed(caller);
    pass(milliseconds(20));
    serve("r", TransactionState::Idle);
    serve("s", TransactionState::Idle);
    serve("p", TransactionState::Open);
    return target;
  };
  for (unsigned n = 0; n < 10; ++n)
    readAt(false);
  for (unsigned n = 0; n < 40; ++n)
    readAt(true);
  unsigned atReplica = 0;
  for (unsigned n = 0; n < 20; ++n)
    atReplica += readAt(false) == "r";
  CHECK(atReplica > 0);
}

// Load: many callers come at once to a primary that answers slowly. The last
// of them would wait for longer than they may; waiting for nothing, they would
// have no time left to come back. They are told at once that nothing has run.
TEST_CASE_FIXTURE(ProxyFixture,
                  "queue longer than a statement may wait, its caller is told "
                  "at once") {
  constexpr milliseconds AnswerTime{60};
  auto first = session("orders");
  send(first, StatementKind::Read, "READ a");
  greetAll();
  Time.advance(AnswerTime);
  serve("p", TransactionState::Open);
  REQUIRE(last(first).ok());
  std::vector<CallerId> callers;
  for (int n = 0; n < 150; ++n) {
    callers.push_back(session("orders"));
    send(callers.back(), StatementKind::Read, "READ a");
  }
  pass(milliseconds(20));
  CHECK(answers(callers.front()).empty());
  REQUIRE_FALSE(answers(callers.back()).empty());
  CHECK(last(callers.back()).Error->Kind == ErrorKind::Busy);
  CHECK(last(callers.back()).Error->Detail ==
        "more waits than runs in time; retry-after-ms=150");
}

// Load: both replicas fall 2.5 s behind. Asked in turn by each read, they say
// each time that they lack its position; and once they have caught up nobody
// asks them, so that the primary gets all reads for good. They are asked for
// their position instead, and take reads again when it suffices.
TEST_CASE_FIXTURE(ProxyFixture,
                  "replicas behind, are asked by no read until they caught "
                  "up") {
  constexpr unsigned Steps = 30;
  constexpr unsigned StepsBehind = 25;
  for (unsigned n = 0; n < Steps; ++n) {
    ++Head.Index;
    learnHead();
    pass(milliseconds(100));
  }
  auto behind = failure(ErrorKind::Lagging, TransactionState::Idle);
  behind.At = Position{InTerm, Head.Index - StepsBehind};
  auto reader = session("views");
  send(reader, StatementKind::Read, "READ a");
  for (const char *replica : {"r", "s", "r", "s"}) {
    greetAll();
    if (auto id = busyAt(replica))
      answer(*id, behind);
  }
  serve("p", TransactionState::Open);
  REQUIRE(last(reader).ok());
  send(reader, StatementKind::Read, "READ b");
  CHECK_FALSE(busyAt("r"));
  CHECK_FALSE(busyAt("s"));
  serve("p", TransactionState::Open);
  CHECK(answers(reader).size() == 2);

  pass(milliseconds(300));
  serve("r", TransactionState::Idle);
  serve("s", TransactionState::Idle);
  serve("p", TransactionState::Open);
  send(reader, StatementKind::Read, "READ c");
  pass(milliseconds(60));
  CHECK((busyAt("r") || busyAt("s")));
}

// Load: callers come back at once after an outage, when only the primary is
// known to be up to date. Its queue is longer than a read waits for one of
// several replicas, and is gone soon: the reads wait for their turn.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read that only the primary may run, waits for its turn "
                  "there") {
  std::vector<CallerId> callers;
  for (int n = 0; n < 40; ++n) {
    callers.push_back(session("views"));
    send(callers.back(), StatementKind::Read, "READ a");
  }
  greetAll();
  pass(milliseconds(100));
  auto first = busyAt("p");
  REQUIRE(first);
  for (auto state :
       {TransactionState::Open, TransactionState::Open, TransactionState::Idle})
    answer(*first, success(Links.Lines.at(*first).Unanswered.front(), state));
  pass(milliseconds(100));
  std::size_t refused = 0;
  for (auto caller : callers)
    refused += !answers(caller).empty() && !last(caller).ok();
  CHECK(refused == 0);
  serve("p", TransactionState::Open);
  for (auto caller : callers)
    CHECK(last(caller).ok());
}
