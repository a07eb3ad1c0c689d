#include "fixture.h"

#include <algorithm>
#include <memory>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// A pool of eight connections that may run three statements at once.
struct PoolFixture {
  ManualClock Time;
  FakeTargets Links;
  std::uint64_t LastLease = 0;
  TargetPool Pool{entry(), Links, Time, LastLease};
  std::vector<std::string> Finished; ///< Statement ids, in order.

  PoolFixture() { Pool.setCapacity(8, 3); }

  static TargetEntry entry() {
    TargetEntry it;
    it.Name = TargetName("t");
    it.Slots = 2;
    return it;
  }
  LeaseId begin(const char *id, unsigned priority, bool keeps = false) {
    Batch batch;
    batch.Statements.resize(1);
    batch.Statements[0].Kind = StatementKind::Read;
    batch.Statements[0].Id = id;
    batch.EndsLease = !keeps;
    batch.Timeout = milliseconds(500);
    LeaseRequest request{TargetName("t"), priority, milliseconds(300),
                         milliseconds(800)};
    return Pool.begin(request, batch, [this, id](const BatchResult &it) {
      Finished.push_back(std::string(id) +
                         (it.End == BatchEnd::NotRun ? " not run" : ""));
    });
  }
  void completeHandshakes() {
    while (!Links.Opening.empty()) {
      auto id = Links.Opening.back();
      Links.Opening.pop_back();
      Pool.opened(id);
    }
  }
  std::size_t running() const {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Connections)
      n += it.Open && !it.Unanswered.empty();
    return n;
  }
  /// Answers one statement.
  void serveOne() {
    for (auto &[id, it] : Links.Connections) {
      if (!it.Open || it.Unanswered.empty())
        continue;
      Answer answer;
      answer.Signature = "s";
      it.Unanswered.pop_front();
      Pool.answered(id, answer);
      return;
    }
  }
  void serveAll() {
    completeHandshakes();
    while (running() > 0) {
      serveOne();
      completeHandshakes();
    }
  }
};

/// Statements that arrive at an even rate, and a target that takes the same
/// time for each.
struct OverloadFixture : PoolFixture {
  static constexpr milliseconds Work{18};
  static constexpr milliseconds Goal{500};
  static constexpr milliseconds Span{3'000};
  static constexpr milliseconds LongestWait{650};
  static constexpr unsigned TransactionStatements = 4;

  struct Load {
    std::int64_t SinglesPerSecond = 0;
    std::int64_t TransactionsPerSecond = 0;
    milliseconds Wait = LongestWait;
    std::optional<milliseconds> Goal; ///< As passed to the pool.
  };
  struct Outcome {
    std::size_t Arrived = 0;
    std::size_t InTime = 0;
    std::size_t Refused = 0;
    Duration LongestRefusal{}; ///< Of those that came after the first third.
  };

  Outcome Singles;
  Outcome Transactions;
  std::map<ConnectionId, TimePoint> WorkSince;
  TimePoint Start = Time.now();

  void run(const Load &load) {
    while (Time.now() - Start < Span + LongestWait) {
      arrive(load, load.SinglesPerSecond, 1, Singles);
      arrive(load, load.TransactionsPerSecond, TransactionStatements,
             Transactions);
      completeHandshakes();
      serveDue();
      Pool.tick();
      Time.advance(milliseconds(1));
    }
  }

private:
  void arrive(const Load &load, std::int64_t perSecond, unsigned statements,
              Outcome &out) {
    auto passed = std::min<Duration>(Time.now() - Start, Span);
    auto due = std::chrono::duration<double>(passed).count() *
               static_cast<double>(perSecond);
    while (static_cast<double>(out.Arrived) < due) {
      ++out.Arrived;
      beginOne(load, statements, out);
    }
  }
  static Batch batchOf(bool last) {
    Batch it;
    it.Statements.resize(1);
    it.Statements[0].Kind = StatementKind::Read;
    it.Statements[0].Id = "q";
    it.EndsLease = last;
    it.Timeout = milliseconds(1'000);
    return it;
  }
  void beginOne(const Load &load, unsigned statements, Outcome &out) {
    LeaseRequest request{TargetName("t"), 2, load.Wait, milliseconds(2'000),
                         load.Goal};
    auto since = Time.now();
    auto lease = std::make_shared<LeaseId>();
    auto left = std::make_shared<unsigned>(statements - 1);
    *lease = Pool.begin(request, batchOf(statements == 1),
                        [=, this, &out](const BatchResult &it) {
                          handleResult(it, lease, left, since, out);
                        });
  }
  void handleResult(const BatchResult &it,
                    const std::shared_ptr<LeaseId> &lease,
                    const std::shared_ptr<unsigned> &left, TimePoint since,
                    Outcome &out) {
    if (it.End != BatchEnd::Complete) {
      ++out.Refused;
      // During the first third the answer time isn't known yet.
      if (since - Start > Span / 3)
        out.LongestRefusal = std::max(out.LongestRefusal, Time.now() - since);
    } else if (*left == 0)
      out.InTime += Time.now() - since <= Goal;
    else
      Pool.run(*lease, batchOf(--*left == 0),
               [=, this, &out](const BatchResult &next) {
                 handleResult(next, lease, left, since, out);
               });
  }
  void serveDue() {
    for (auto &[id, line] : Links.Connections) {
      if (line.Unanswered.empty())
        continue;
      auto since = WorkSince.try_emplace(id, Time.now()).first->second;
      if (Time.now() - since < Work)
        continue;
      WorkSince.erase(id);
      line.Unanswered.pop_front();
      Answer answer;
      answer.Signature = "s";
      Pool.answered(id, answer);
    }
  }
};

} // namespace

// Under overload, statements sent beyond the target's queue are refused,
// retried and refused again; orders fare no better than lookups. Queued in the
// pool instead, the order goes first.
TEST_CASE_FIXTURE(PoolFixture,
                  "more statements than the target runs, wait by priority") {
  for (const char *id : {"a", "b", "c", "d", "e"})
    begin(id, 2);
  completeHandshakes();
  CHECK(running() == 3);
  begin("order", 1);
  serveOne();
  completeHandshakes();
  CHECK(running() == 3);
  serveAll();
  REQUIRE(Finished.size() == 6);
  auto position =
      std::find(Finished.begin(), Finished.end(), "order") - Finished.begin();
  CHECK(position < 4);
}

// After a restart all callers return at once. Each connection that is opened
// takes a slot for longer than a statement does, so connections that aren't
// needed delay the waiting statements.
TEST_CASE_FIXTURE(PoolFixture,
                  "many wait for a new target, connections are opened only "
                  "for what may run") {
  for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h"})
    begin(id, 2);
  CHECK(Links.Opening.size() == 3);
  serveAll();
  CHECK(Finished.size() == 8);
  CHECK(Links.Connections.size() == 3);
}

// For three seconds, 220 statements a second of 18 ms each arrive at a target
// that runs three at once, 166 a second. In order of arrival all wait about as
// long as they may, and nearly every answer is too late to be useful.
TEST_CASE("more work than the target can do, most is served in time") {
  OverloadFixture inOrder;
  inOrder.run({.SinglesPerSecond = 220});
  OverloadFixture byGoal;
  byGoal.run({.SinglesPerSecond = 220, .Goal = milliseconds(500)});
  CAPTURE(inOrder.Singles.InTime);
  CAPTURE(byGoal.Singles.InTime);
  constexpr std::size_t Slots = 3;
  constexpr std::size_t Most = Slots * 166;
  CHECK(inOrder.Singles.InTime < Most * 6 / 10);
  CHECK(byGoal.Singles.InTime > Most);
}

// For three seconds, the same load from callers that may wait for 120 ms. All
// that arrive while the queue is longer would wait in vain and have less time
// left to retry. Statements that won't run in time are refused at once.
TEST_CASE_FIXTURE(OverloadFixture,
                  "queue longer than a caller may wait, is refused at once") {
  run({.SinglesPerSecond = 220,
       .Wait = milliseconds(120),
       .Goal = milliseconds(500)});
  CAPTURE(Singles.Refused);
  CHECK(Singles.Refused > 50);
  CHECK(Singles.LongestRefusal <= milliseconds(20));
  constexpr std::size_t Slots = 3;
  CHECK(Singles.InTime > Slots * 166 * 9 / 10);
}

// For three seconds, a target whose replicas lag gets all reads of its group.
// Transactions of four statements, which continue once begun, use the slots
// that many callers with single statements need, and these are refused. With
// single statements first nearly all of them are served.
TEST_CASE_FIXTURE(OverloadFixture,
                  "transactions and single statements overload the target, "
                  "most single ones are served") {
  run({.SinglesPerSecond = 120,
       .TransactionsPerSecond = 40,
       .Wait = milliseconds(120),
       .Goal = milliseconds(500)});
  CAPTURE(Transactions.InTime);
  CHECK(Singles.InTime > Singles.Arrived * 9 / 10);
  CHECK(Transactions.InTime > 0);
}

// A transaction that waited behind new statements would hold its connection and
// its locks for longer, so its statements run at once.
TEST_CASE_FIXTURE(PoolFixture,
                  "statement of an open transaction, does not wait") {
  auto held = begin("first", 2, true);
  serveAll();
  for (const char *id : {"a", "b", "c", "d"})
    begin(id, 2);
  completeHandshakes();
  REQUIRE(running() == 3);
  Batch next;
  next.Statements.resize(1);
  next.Statements[0].Kind = StatementKind::Read;
  next.Statements[0].Id = "next";
  next.Timeout = milliseconds(500);
  Pool.run(held, next, [](const BatchResult &) {});
  CHECK(running() == 4);
}

TEST_CASE_FIXTURE(PoolFixture, "statement that waits too long, is not run") {
  for (const char *id : {"a", "b", "c", "late"})
    begin(id, 2);
  completeHandshakes();
  Time.advance(milliseconds(320));
  Pool.tick();
  CHECK(Finished == std::vector<std::string>{"late not run"});
}

// A silent target blocks each statement for its whole timeout. Idle connections
// on the same network path would cost the next statements as much.
TEST_CASE_FIXTURE(PoolFixture, "connection silent, idle ones are closed too") {
  begin("a", 2);
  begin("b", 2);
  completeHandshakes();
  serveOne();
  Time.advance(milliseconds(520));
  Pool.tick();
  for (const auto &[id, it] : Links.Connections)
    CHECK_FALSE(it.Open);
}
