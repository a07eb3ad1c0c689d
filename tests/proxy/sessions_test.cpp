#include "fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

std::vector<StatementKind> kinds(const FakeTargets::Connection &line) {
  std::vector<StatementKind> out;
  for (const auto &it : line.Seen)
    out.push_back(it.Kind);
  return out;
}

} // namespace

TEST_CASE_FIXTURE(ProxyFixture, "session, unknown database, is rejected") {
  auto caller = session("nothing");
  CHECK(CallerSide.Rejected.at(caller).Kind == ErrorKind::NoDatabase);
}

TEST_CASE_FIXTURE(
    ProxyFixture,
    "single read of a primary route, proves that its target leads") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  completeHandshakes();
  auto id = busyAt("p");
  REQUIRE(id);
  CHECK(kinds(Links.Connections.at(*id)) ==
        std::vector{StatementKind::Begin, StatementKind::Read,
                    StatementKind::Rollback});
  serve("p", TransactionState::Open);
  CHECK(last(caller).Signature == "sig-q1");
  CHECK(last(caller).State == TransactionState::Idle);
}

// Guards against an answer from a primary that has been replaced. It refuses
// Begin, as it no longer leads, and runs the read behind it on an old log
// outside of a transaction; the read's success must not be used.
TEST_CASE_FIXTURE(ProxyFixture,
                  "single read, target no longer leads, its row is dropped") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  completeHandshakes();
  auto id = *busyAt("p");
  answer(id, failure(ErrorKind::ReadOnly, TransactionState::Idle));
  answer(id, success(Links.Connections.at(id).Unanswered.front(),
                     TransactionState::Idle));
  answer(id, failure(ErrorKind::Malformed, TransactionState::Idle));
  CHECK(answers(caller).empty());
}

// Guards against a first statement that runs outside of its transaction. A
// replica that lacks the required position refuses BeginRead and would run a
// read sent along with it by itself, so the read waits for the answer.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "first read of a transaction, begin not answered, is not sent") {
  learnHead();
  auto caller = session("views");
  send(caller, StatementKind::BeginRead);
  send(caller, StatementKind::Read, "READ a");
  pass(milliseconds(60));
  completeHandshakes();
  std::optional<ConnectionId> id = busyAt("r") ? busyAt("r") : busyAt("s");
  REQUIRE(id);
  CHECK(kinds(Links.Connections.at(*id)) ==
        std::vector{StatementKind::BeginRead});
  answer(*id, failure(ErrorKind::Lagging, TransactionState::Idle));
  for (const auto &it : Links.Connections.at(*id).Seen)
    CHECK(it.Kind != StatementKind::Read);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "first write of a transaction, waits for its begin") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  auto id = *busyAt("p");
  CHECK(kinds(Links.Connections.at(id)) == std::vector{StatementKind::Begin});
  serve("p", TransactionState::Open);
  CHECK(kinds(Links.Connections.at(id)) ==
        std::vector{StatementKind::Begin, StatementKind::Write});
  CHECK(last(caller).State == TransactionState::Open);
}

// Guards against a read that misses the session's own acknowledged write. The
// next read requires the write's position of a replica.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read after the own write, requires the write's position") {
  learnHead();
  auto caller = session("status");
  Head.Index = 140;
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  REQUIRE(last(caller).ok());
  send(caller, StatementKind::Read, "READ a");
  pass(milliseconds(60));
  completeHandshakes();
  auto id = busyAt("r") ? busyAt("r") : busyAt("s");
  REQUIRE(id);
  CHECK(Links.Connections.at(*id).Unanswered.front().NotBefore ==
        Position{InTerm, 140});
}

// The connection broke after the write was sent, and the write may have been
// carried out.
TEST_CASE_FIXTURE(ProxyFixture,
                  "single write, connection lost, its outcome is unknown") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  auto id = *busyAt("p");
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
  CHECK(last(caller).State == TransactionState::Idle);
}

// The connection broke before the commit was sent. Nothing is kept, as a target
// rolls back the transaction of a lost connection.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "write in a transaction, connection lost, transaction is aborted") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  send(caller, StatementKind::Write, "WRITE b x");
  auto id = *busyAt("p");
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
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
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
}

// Guards against the answer of another statement. The answer to the read was
// lost on the way, and the one to the rollback behind it arrives in its place.
TEST_CASE_FIXTURE(ProxyFixture,
                  "answers that moved up by one, are not passed on") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  completeHandshakes();
  auto id = *busyAt("p");
  answer(id, success(Links.Connections.at(id).Unanswered.front(),
                     TransactionState::Open));
  Answer rollback;
  rollback.Signature = "-";
  answer(id, rollback);
  CHECK(answers(caller).empty());
  CHECK_FALSE(Links.Connections.at(id).Open);
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "write without a primary, waits and is refused as not run") {
  Entries.erase(TargetName("p"));
  TargetGroups.updateTargets(Entries);
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
  TargetGroups.updateTargets(Entries);
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  pass(milliseconds(200));
  Entries.at(TargetName("r")).ClaimsPrimary = true;
  Entries.at(TargetName("r")).Revision = 9;
  TargetGroups.updateTargets(Entries);
  serve("r", TransactionState::Idle);
  CHECK(last(caller).ok());
}

// Two sessions set the same name to different values; each must see its own.
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
  auto &line = Links.Connections.begin()->second;
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
  completeHandshakes();
  auto id = *busyAt("p");
  answer(id, success(Statement(), TransactionState::Idle));
  answer(id, failure(ErrorKind::NoStatement, TransactionState::Idle));
  answer(id, success(Statement(), TransactionState::Idle));
  const auto &seen = Links.Connections.at(id).Seen;
  CHECK(kinds(Links.Connections.at(id)) ==
        std::vector{StatementKind::Prepare, StatementKind::Execute,
                    StatementKind::Prepare, StatementKind::Execute});
  CHECK(seen[1].Name == seen[0].Name);
  CHECK(seen[2].Name != seen[0].Name);
  CHECK(seen[3].Name == seen[2].Name);
}

// Guards against reads from a replaced primary for as long as the route's bound
// allows. It refuses Begin and runs the read behind it by itself; that success
// proves no leadership, so its log position bounds nothing.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read behind a refused begin, does not prove leadership") {
  auto caller = session("orders");
  send(caller, StatementKind::Read, "READ a");
  completeHandshakes();
  auto id = *busyAt("p");
  answer(id, failure(ErrorKind::ReadOnly, TransactionState::Idle));
  answer(id, success(Links.Connections.at(id).Unanswered.front(),
                     TransactionState::Idle));
  answer(id, failure(ErrorKind::Malformed, TransactionState::Idle));
  const auto &view = TargetGroups.find(GroupName("ledger"))->View;
  CHECK_FALSE(view.leader());
  CHECK_FALSE(view.positionFor(milliseconds(1'500), Time.now()));
}

// Guards against answers lost in a planned stop. Idle sessions are closed
// shortly after readiness is withdrawn; a transaction has until its limit.
TEST_CASE_FIXTURE(ProxyFixture,
                  "stop, idle sessions end, transactions have their time") {
  auto resting = session("orders");
  auto busy = session("orders");
  send(busy, StatementKind::Begin);
  send(busy, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  Callers.stop(milliseconds(6'000));
  pass(milliseconds(1'000));
  CHECK(CallerSide.Closed.empty());
  pass(milliseconds(1'000));
  CHECK(CallerSide.Closed == std::vector<CallerId>{resting});
  send(busy, StatementKind::Commit, "COMMIT");
  serve("p", TransactionState::Open);
  CHECK(last(busy).ok());
  pass(milliseconds(100));
  CHECK(CallerSide.Closed == std::vector<CallerId>{resting, busy});
  CHECK(Callers.isStopped());
}

// Guards against statements sent to a process without the previous state. The
// target restarts under its old name; what ran there is lost, and new
// statements get new connections.
TEST_CASE_FIXTURE(ProxyFixture,
                  "target restarted, its connections are not used again") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Idle);
  REQUIRE(Links.Connections.size() == 1);
  Entries.at(TargetName("p")).StartId = 2;
  Entries.at(TargetName("p")).Revision = 50;
  TargetGroups.updateTargets(Entries);
  CHECK_FALSE(Links.Connections.begin()->second.Open);
  send(caller, StatementKind::Write, "WRITE b x");
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  CHECK(Links.Connections.size() == 2);
}

// Guards against an answer that is lost, and a write in doubt, where the store
// dropped an entry for a moment.
TEST_CASE_FIXTURE(ProxyFixture,
                  "entry goes and comes back, the pending write is answered") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  auto id = *busyAt("p");
  auto without = Entries;
  without.erase(TargetName("p"));
  TargetGroups.updateTargets(without);
  TargetGroups.updateTargets(Entries);
  auto other = session("orders");
  send(other, StatementKind::Write, "WRITE b x");
  pass(milliseconds(20));
  answer(id, success(Links.Connections.at(id).Unanswered.front(),
                     TransactionState::Idle));
  CHECK(last(caller).ok());
  CHECK(last(caller).Signature != "");
}

// A leaving replica gets no new statements; reads go to another target.
TEST_CASE_FIXTURE(ProxyFixture, "replica leaving, reads go elsewhere") {
  learnHead();
  Entries.at(TargetName("r")).Leaving = true;
  TargetGroups.updateTargets(Entries);
  for (unsigned n = 0; n < 5; ++n) {
    auto caller = session("views");
    send(caller, StatementKind::Read, "READ a");
    pass(milliseconds(60));
    serve("s", TransactionState::Idle);
    serve("p", TransactionState::Open);
    CHECK(last(caller).ok());
  }
  for (const auto &[id, it] : Links.Connections)
    CHECK(it.Target.Value != "r");
}

// Guards against new statements at a leaving primary that no other target can
// replace.
TEST_CASE_FIXTURE(
    ProxyFixture,
    "primary leaving, gets writes until its limit and none after") {
  learnHead();
  TargetGroups.setLeavingLimit(milliseconds(7'000));
  Entries.at(TargetName("p")).Leaving = true;
  TargetGroups.updateTargets(Entries);
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
    completeHandshakes();
    CHECK_FALSE(busyAt("p"));
  }
}

// Guards against writes at a primary that has been leaving for longer than this
// daemon has run, or than it has been primary.
TEST_CASE_FIXTURE(ProxyFixture,
                  "primary leaving since an unknown time, gets no writes") {
  TargetGroups.setLeavingLimit(milliseconds(7'000));
  auto first = Entries;
  first.at(TargetName("p")).Leaving = true;
  Groups fresh({VmName("vm"), DomainName("press"), RegionName("tartu")}, Links,
               Relay, Time);
  fresh.applySettings({{GroupName("ledger"), {16, false}}});
  fresh.updateTargets(first);
  for (unsigned n = 0; n < 10; ++n) {
    pass(milliseconds(1'000));
    fresh.tick();
    CHECK_FALSE(fresh.writablePrimary(*fresh.find(GroupName("ledger"))));
  }
}

TEST_CASE_FIXTURE(ProxyFixture,
                  "leaving replica becomes primary, its limit counts from "
                  "when it began to leave") {
  TargetGroups.setLeavingLimit(milliseconds(7'000));
  auto isWritable = [this] {
    return TargetGroups.writablePrimary(*TargetGroups.find(GroupName("ledger")))
        .has_value();
  };
  auto &next = Entries.at(TargetName("s"));
  next.Leaving = true;
  TargetGroups.updateTargets(Entries);
  pass(milliseconds(4'000));
  next.ClaimsPrimary = true;
  next.Revision = 9;
  TargetGroups.updateTargets(Entries);
  pass(milliseconds(1'500));
  CHECK(isWritable());
  pass(milliseconds(1'000));
  CHECK_FALSE(isWritable());
}

// Guards against the loss of a write that was acknowledged by a replica other
// than the one that is being promoted.
TEST_CASE_FIXTURE(ProxyFixture,
                  "primary leaving in a group that waits for replicas, gets no "
                  "writes") {
  TargetGroups.applySettings({{GroupName("ledger"), {16, true}}});
  learnHead();
  Entries.at(TargetName("p")).Leaving = true;
  TargetGroups.updateTargets(Entries);
  for (unsigned n = 0; n < 8; ++n) {
    pass(milliseconds(1'000));
    CHECK_FALSE(
        TargetGroups.writablePrimary(*TargetGroups.find(GroupName("ledger"))));
  }
}

// A new primary serves all reads while the replicas lag, and rejects some as
// busy. Abandoned after a few quick attempts, a statement would fail with most
// of its time unused.
TEST_CASE_FIXTURE(ProxyFixture,
                  "target busy for a while, statement is retried for longer") {
  auto caller = session("orders");
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
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

TEST_CASE_FIXTURE(ProxyFixture, "routes of an older version, are not applied") {
  auto newer = Callers.routes();
  newer.Version = 7;
  newer.Routes.erase(DatabaseName("views"));
  CHECK(Callers.applyRoutes(newer));
  auto older = Callers.routes();
  older.Version = 6;
  older.Routes.clear();
  CHECK_FALSE(Callers.applyRoutes(older));
  CHECK(Callers.routes() == newer);
}

// Guards against a statement that is never answered. Its transaction's
// connection broke between two statements, when nobody could be told; the next
// statement has no lease.
TEST_CASE_FIXTURE(ProxyFixture,
                  "connection lost between statements, next one is aborted") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  REQUIRE(last(caller).ok());
  auto id = Links.Connections.begin()->first;
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  send(caller, StatementKind::Write, "WRITE b x");
  pass(milliseconds(100));
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Failed);
}

// The same for a commit: if no byte of it was sent, the target has rolled the
// transaction back, and the caller can be told so.
TEST_CASE_FIXTURE(ProxyFixture,
                  "connection lost before the commit, nothing is kept") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  serve("p", TransactionState::Open);
  auto id = Links.Connections.begin()->first;
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  send(caller, StatementKind::Commit, "COMMIT");
  pass(milliseconds(100));
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Idle);
}

// Guards against a healthy replica that counts as busy for good, so that all
// reads go elsewhere: callers close their sessions while their reads run.
TEST_CASE_FIXTURE(ProxyFixture,
                  "sessions close while they read, replica is used again") {
  learnHead();
  auto readAt = [&](bool leaves) {
    auto caller = session("views");
    send(caller, StatementKind::Read, "READ a");
    pass(milliseconds(60));
    completeHandshakes();
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

// Many callers arrive at once at a primary that answers slowly. The last of
// them would wait until their limit with no time left to retry, so they are
// told at once that nothing has run.
TEST_CASE_FIXTURE(ProxyFixture,
                  "queue longer than a statement may wait, its caller is told "
                  "at once") {
  auto callers = readAtSlowPrimary([this] { return session("orders"); }, 150);
  CHECK(answers(callers.front()).empty());
  REQUIRE_FALSE(answers(callers.back()).empty());
  CHECK(last(callers.back()).Error->Kind == ErrorKind::Busy);
  CHECK(last(callers.back()).Error->Detail ==
        "more waits than runs in time; retry-after-ms=150");
}

// Both replicas fall 2.5 s behind. If each read tried them, it would be
// rejected each time; and if no read tried them once they have caught up, the
// primary would get all reads for good. They are queried for their position
// instead, and get reads again when it suffices.
TEST_CASE_FIXTURE(ProxyFixture,
                  "replicas behind, get no read until they have caught "
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
    completeHandshakes();
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

// Callers return at once after an outage, when only the primary is known to be
// up to date. Its queue is longer than a read waits for one of several
// replicas, but short-lived: the reads wait for their turn.
TEST_CASE_FIXTURE(ProxyFixture,
                  "read that only the primary may run, waits for its turn "
                  "there") {
  std::vector<CallerId> callers;
  for (int n = 0; n < 40; ++n) {
    callers.push_back(session("views"));
    send(callers.back(), StatementKind::Read, "READ a");
  }
  completeHandshakes();
  pass(milliseconds(100));
  auto first = busyAt("p");
  REQUIRE(first);
  for (auto state :
       {TransactionState::Open, TransactionState::Open, TransactionState::Idle})
    answer(*first,
           success(Links.Connections.at(*first).Unanswered.front(), state));
  pass(milliseconds(100));
  std::size_t refused = 0;
  for (auto caller : callers)
    refused += !answers(caller).empty() && !last(caller).ok();
  CHECK(refused == 0);
  serve("p", TransactionState::Open);
  for (auto caller : callers)
    CHECK(last(caller).ok());
}
