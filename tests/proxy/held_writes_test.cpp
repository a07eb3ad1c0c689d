#include "fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Commits of the group wait for a replica; its primary "p" is being replaced.
struct HeldWritesFixture : ProxyFixture {
  WriteHold Hold{GroupName("ledger"), {1, 1}, TargetName("p"), false};
  unsigned Confirmed = 0;
  unsigned Queries = 0;

  HeldWritesFixture() {
    TargetGroups.applySettings({{GroupName("ledger"), {16, true}}});
    TargetGroups.OnHoldsUnknown = [this] { ++Queries; };
    pass(proxy::limits::UnknownHoldLimit + milliseconds(40));
    learnHead();
  }
  void hold() {
    CHECK(TargetGroups.hold(Hold, [this] { ++Confirmed; }));
  }
  void release() {
    Hold.Ends = true;
    CHECK(TargetGroups.hold(Hold, nullptr));
  }
  CallerId write() {
    auto caller = session("orders");
    send(caller, StatementKind::Write, "WRITE a 1");
    completeHandshakes();
    return caller;
  }
  CallerId openTransaction() {
    auto caller = session("orders");
    send(caller, StatementKind::Begin);
    send(caller, StatementKind::Write, "WRITE a 1");
    serve("p", TransactionState::Open);
    REQUIRE(last(caller).ok());
    return caller;
  }
  std::size_t sent(StatementKind kind) const {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Connections)
      n += static_cast<std::size_t>(
          std::count_if(it.Seen.begin(), it.Seen.end(),
                        [&](const Statement &s) { return s.Kind == kind; }));
    return n;
  }
  bool isAnswered(CallerId caller) { return !answers(caller).empty(); }
};

} // namespace

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "writes held, a write waits and is sent after the end") {
  hold();
  CHECK(Confirmed == 1);
  auto caller = write();
  pass(milliseconds(200));
  CHECK(sent(StatementKind::Write) == 0);
  CHECK_FALSE(isAnswered(caller));
  release();
  pass(milliseconds(40));
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
}

TEST_CASE_FIXTURE(HeldWritesFixture, "writes held, a read is served") {
  hold();
  learnHead();
}

// Guards against a commit that the old primary acknowledges and the new one
// lacks.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "writes held, commit of an open transaction is not sent and "
                  "aborted") {
  auto caller = openTransaction();
  hold();
  CHECK(Confirmed == 1);
  send(caller, StatementKind::Commit, "COMMIT");
  pass(milliseconds(40));
  CHECK(sent(StatementKind::Commit) == 0);
  CHECK(last(caller).Error->Kind == ErrorKind::Aborted);
  CHECK(last(caller).State == TransactionState::Idle);
  serve("p", TransactionState::Open);
  CHECK(sent(StatementKind::Rollback) >= 1);
}

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "writes held, commit of a transaction that only read is "
                  "sent") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Read, "READ a");
  serve("p", TransactionState::Open);
  hold();
  send(caller, StatementKind::Commit, "COMMIT");
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
}

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "commit under way when writes are held, its success is "
                  "passed on and the hold confirmed then") {
  auto caller = write();
  hold();
  CHECK(Confirmed == 0);
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  pass(milliseconds(20));
  CHECK(Confirmed == 1);
}

// Guards against a late success of the old primary, whose replicas have been
// compared by then.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "commit under way for long when writes are held, its outcome "
                  "is unknown") {
  auto caller = write();
  hold();
  pass(proxy::limits::WriteDrain + milliseconds(20));
  CHECK(Confirmed == 1);
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
  serve("p", TransactionState::Idle);
  CHECK(answers(caller).size() == 1);
}

// Guards against a success that a suspended daemon finds when it wakes up,
// after a change that it was not told of.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "daemon suspended while a write is under way, its outcome is "
                  "unknown") {
  auto caller = write();
  Time.advance(proxy::limits::MaxTickInterval + milliseconds(1));
  serve("p", TransactionState::Idle);
  CHECK(last(caller).Error->Kind == ErrorKind::InDoubt);
}

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "daemon suspended, writes wait for the failover leader's "
                  "answer") {
  Time.advance(milliseconds(400));
  auto caller = write();
  pass(milliseconds(200));
  CHECK(sent(StatementKind::Write) == 0);
  CHECK(Queries >= 1);
  TargetGroups.handleHolds({});
  pass(milliseconds(40));
  CHECK(sent(StatementKind::Write) == 0);
  TargetGroups.handleHolds({1, {}});
  pass(milliseconds(40));
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
}

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "daemon started, writes wait until holds are known") {
  HeldWritesFixture other;
  Groups started({VmName("new"), DomainName("press"), RegionName("tartu")},
                 other.Links, other.Relay, other.Time);
  started.updateTargets(other.Entries);
  started.applySettings({{GroupName("ledger"), {16, true}}});
  auto *group = started.find(GroupName("ledger"));
  CHECK(started.usablePrimary(*group, PrimaryUse::Read));
  CHECK_FALSE(started.usablePrimary(*group, PrimaryUse::Write));
  started.handleHolds({1, {other.Hold}});
  CHECK_FALSE(started.usablePrimary(*group, PrimaryUse::Write));
  started.handleHolds({1, {}});
  CHECK(started.usablePrimary(*group, PrimaryUse::Write));
}

// Guards against a hold that an unreachable leader leaves behind, and against
// the end of a hold by a leader that does not know it.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "leader answers without a hold, it ends if it is the "
                  "leader's own") {
  hold();
  TargetGroups.handleHolds({2, {}});
  CHECK(TargetGroups.holds().size() == 1);
  TargetGroups.handleHolds({1, {}});
  CHECK(TargetGroups.holds().empty());
}

TEST_CASE_FIXTURE(HeldWritesFixture,
                  "hold not refreshed, the leader is asked and it expires") {
  hold();
  pass(proxy::limits::HoldQueryAge + milliseconds(20));
  CHECK(Queries >= 1);
  pass(proxy::limits::HoldLimit - proxy::limits::HoldQueryAge);
  CHECK(TargetGroups.holds().empty());
  auto caller = write();
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
}

// Guards against a daemon without a configuration, which runs the writes of
// other daemons.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "daemon without a configuration, writes are held as in a "
                  "group that waits for replicas") {
  Groups started({VmName("new"), DomainName("press"), RegionName("tartu")},
                 Links, Relay, Time);
  started.updateTargets(Entries);
  const auto &group = *started.find(GroupName("ledger"));
  CHECK_FALSE(started.usablePrimary(group, PrimaryUse::Write));
  started.applySettings({{GroupName("ledger"), {16, false}}});
  CHECK(started.usablePrimary(group, PrimaryUse::Write));
}

// Guards against a lost wait for connections that are opened during a hold.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "hold before the first connection, no write is sent on it") {
  Hold.Target = {};
  hold();
  LeaseId lease;
  Batch batch;
  batch.Statements = {makeProxyStatement(StatementKind::Write)};
  batch.EndsLease = true;
  batch.Timeout = milliseconds(500);
  std::optional<BatchResult> result;
  lease = TargetGroups.beginHere(
      {TargetName("r"), 0, milliseconds(500), milliseconds(500), {}}, batch,
      [&](const BatchResult &it) { result = it; });
  CHECK(lease.valid());
  CHECK_FALSE(result);
  completeHandshakes();
  pass(milliseconds(20));
  REQUIRE(result);
  CHECK(result->End == BatchEnd::NotRun);
  CHECK(result->Error.Kind == ErrorKind::Busy);
  CHECK_FALSE(result->TargetUnreachable);
}

// Guards against a daemon with an older configuration, which confirms a hold.
TEST_CASE_FIXTURE(HeldWritesFixture,
                  "hold of a group that does not wait for replicas by this "
                  "daemon's configuration, its writes are held") {
  TargetGroups.applySettings({{GroupName("ledger"), {16, false}}});
  hold();
  auto caller = write();
  pass(milliseconds(40));
  CHECK(sent(StatementKind::Write) == 0);
  CHECK_FALSE(isAnswered(caller));
}
