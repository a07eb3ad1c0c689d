// Set-ups of target connections that are refused, lost or late.

#include "fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct SetupFixture : ProxyFixture {
  unsigned LastValue = 0;

  /// Sets a value that no connection has.
  void set(CallerId caller) {
    Statement it;
    it.Kind = StatementKind::Set;
    it.Id = "set";
    it.Name = "zone";
    it.Argument = std::to_string(++LastValue);
    Callers.statement(caller, it);
    REQUIRE(last(caller).ok());
  }
  /// \return a caller whose write waits for its set-up at "p".
  CallerId writeBehindSet() {
    auto caller = session("orders");
    set(caller);
    send(caller, StatementKind::Write, "WRITE a x");
    completeHandshakes();
    return caller;
  }
  /// \return a caller with an open transaction at "p".
  CallerId beginWrite() {
    auto caller = session("orders");
    send(caller, StatementKind::Begin);
    send(caller, StatementKind::Write, "WRITE a x");
    serve("p", TransactionState::Open);
    REQUIRE(last(caller).ok());
    return caller;
  }
  FakeTargets::Connection &busyLine() {
    return Links.Connections.at(*busyAt("p"));
  }
  void acceptSet(TransactionState state) {
    answer(*busyAt("p"), success(Statement(), state));
  }
  bool wasSent(unsigned request) const {
    auto id = "q" + std::to_string(request);
    for (const auto &[n, it] : Links.Connections)
      for (const auto &sent : it.Seen)
        if (sent.Id == id)
          return true;
    return false;
  }
  void breakConnection(const char *target) {
    auto id = *busyAt(target);
    Links.Connections.at(id).Unanswered.clear();
    TargetGroups.withPool(TargetName(target), id,
                          [&](TargetPool &pool) { pool.closed(id); });
    Links.Connections.at(id).Open = false;
  }
  bool isEachConnectionIdle() {
    auto stats = TargetGroups.poolStats();
    return stats.Idle == stats.Open;
  }
};

} // namespace

// Guards against "outcome unknown" for a write that need not have been sent.
TEST_CASE_FIXTURE(SetupFixture,
                  "write, set-up accepted too late, is not sent") {
  for (auto left : {milliseconds(1), milliseconds(-5)}) {
    auto caller = writeBehindSet();
    Time.advance(Route{}.StatementLimit - left);
    acceptSet(TransactionState::Idle);
    CHECK_FALSE(wasSent(LastRequest));
    pass(milliseconds(20));
    CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  }
}

// Guards against a statement of a transaction that runs outside of it.
TEST_CASE_FIXTURE(SetupFixture, "write in a transaction, set-up answered "
                                "outside of it, is not sent") {
  auto caller = beginWrite();
  set(caller);
  send(caller, StatementKind::Write, "WRITE a y");
  acceptSet(TransactionState::Idle);
  CHECK_FALSE(wasSent(LastRequest));
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
}

// Guards against a transaction that is left open for the next caller.
TEST_CASE_FIXTURE(SetupFixture, "value refused in a transaction, the target "
                                "rolls back before other use") {
  auto caller = beginWrite();
  set(caller);
  send(caller, StatementKind::Write, "WRITE a y");
  auto &line = busyLine();
  answer(*busyAt("p"), failure(ErrorKind::Malformed, TransactionState::Open));
  CHECK(line.Seen.back().Kind == StatementKind::Rollback);
  send(session("orders"), StatementKind::Write, "WRITE b y");
  CHECK_FALSE(wasSent(LastRequest));
}

TEST_CASE_FIXTURE(SetupFixture, "begin sent along with a refused value, is "
                                "rolled back before other use") {
  auto caller = session("orders");
  set(caller);
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a x");
  completeHandshakes();
  auto &line = busyLine();
  answer(*busyAt("p"), failure(ErrorKind::Malformed, TransactionState::Idle));
  CHECK(answers(caller).size() == 2);
  answer(*busyAt("p"), success(Statement(), TransactionState::Open));
  CHECK(last(caller).Error->Kind == ErrorKind::Malformed);
  CHECK(line.Seen.back().Kind == StatementKind::Rollback);
  CHECK_FALSE(wasSent(LastRequest));
  serve("p", TransactionState::Idle);
  CHECK(isEachConnectionIdle());
}

TEST_CASE_FIXTURE(SetupFixture, "caller that leaves during the set-up, its "
                                "statement is not sent") {
  for (bool transaction : {false, true}) {
    auto caller = transaction ? beginWrite() : session("orders");
    set(caller);
    send(caller, StatementKind::Write, "WRITE a y");
    completeHandshakes();
    auto &line = busyLine();
    Callers.closed(caller);
    acceptSet(transaction ? TransactionState::Open : TransactionState::Idle);
    CHECK_FALSE(wasSent(LastRequest));
    CHECK((line.Seen.back().Kind == StatementKind::Rollback) == transaction);
    serve("p", TransactionState::Idle);
    CHECK(isEachConnectionIdle());
  }
}

// Guards against values of another session that a reset did not remove.
TEST_CASE_FIXTURE(SetupFixture,
                  "connection whose reset is refused, is closed") {
  writeBehindSet();
  serve("p", TransactionState::Idle);
  send(session("orders"), StatementKind::Write, "WRITE b y");
  auto &line = busyLine();
  REQUIRE(line.Seen.back().Kind == StatementKind::Reset);
  answer(*busyAt("p"), failure(ErrorKind::Failed, TransactionState::Idle));
  CHECK_FALSE(line.Open);
  CHECK_FALSE(wasSent(LastRequest));
}

// Guards against connections opened without end for one statement.
TEST_CASE_FIXTURE(SetupFixture, "target that closes connections during the "
                                "set-up, is tried a few times") {
  auto caller = writeBehindSet();
  for (unsigned n = 0; n < 100 && answers(caller).size() == 1; ++n) {
    completeHandshakes();
    if (busyAt("p"))
      breakConnection("p");
    pass(milliseconds(20));
  }
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  CHECK(Links.Connections.size() <= proxy::limits::MaxAttempts);
}

// Guards against reads at a replica that never answers them.
TEST_CASE_FIXTURE(SetupFixture, "replica that closes connections during the "
                                "set-up, is ejected") {
  learnHead();
  auto &placement = TargetGroups.find(GroupName("ledger"))->ReadPlacement;
  bool ejected = false;
  for (unsigned n = 0; n < 240 && !ejected; ++n) {
    if (n % 4 == 0) {
      auto caller = session("views");
      set(caller);
      send(caller, StatementKind::Read, "READ a");
    }
    completeHandshakes();
    serve("p", TransactionState::Idle);
    serve("s", TransactionState::Idle);
    if (busyAt("r"))
      breakConnection("r");
    pass(milliseconds(20));
    ejected = placement.ejected(TargetName("r"), Time.now());
  }
  CHECK(ejected);
}

// Guards against batches that are too long for messages between daemons.
TEST_CASE_FIXTURE(SetupFixture, "session with many bytes of values or "
                                "statements, more are refused") {
  auto caller = session("orders");
  for (auto kind : {StatementKind::Set, StatementKind::Prepare}) {
    Statement it;
    it.Kind = kind;
    it.Id = "x";
    it.Name = "a";
    it.Argument = it.Body.Shape =
        std::string(proxy::limits::MaxSessionBytes / 2, 'x');
    for (unsigned n = 0; n < 3; ++n) { // The same name, again and again.
      Callers.statement(caller, it);
      CHECK(last(caller).ok());
    }
    it.Name = "b";
    Callers.statement(caller, it);
    CHECK(last(caller).Error->Kind == ErrorKind::Malformed);
  }
}
