#include "fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// A pool of eight connections that may run three statements at once.
struct PoolFixture {
  ManualClock Time;
  FakeTargets Links;
  std::uint64_t LastLease = 0;
  TargetPool Pool{entry(), Links, Time, LastLease};
  std::vector<std::string> Ended; ///< Ids of statements, in order.

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
    batch.Patience = milliseconds(500);
    LeaseRequest request{TargetName("t"), priority, milliseconds(300),
                         milliseconds(800)};
    return Pool.begin(request, batch, [this, id](const BatchResult &it) {
      Ended.push_back(std::string(id) +
                      (it.End == BatchEnd::NotRun ? " not run" : ""));
    });
  }
  void greetAll() {
    while (!Links.Opening.empty()) {
      auto id = Links.Opening.back();
      Links.Opening.pop_back();
      Pool.opened(id);
    }
  }
  std::size_t running() const {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Lines)
      n += it.Open && !it.Unanswered.empty();
    return n;
  }
  /// Answers one statement.
  void serveOne() {
    for (auto &[id, it] : Links.Lines) {
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
    greetAll();
    while (running() > 0) {
      serveOne();
      greetAll();
    }
  }
};

/// Statements that come evenly, and a target that takes the same time for
/// each.
struct OverloadFixture {
  static constexpr milliseconds Work{18};
  static constexpr milliseconds Goal{500};
  static constexpr milliseconds Wait{650};
  static constexpr milliseconds Span{3'000};
  static constexpr std::int64_t PerSecond = 220;

  /// \param goal that the pool is told of.
  /// \return how many were answered within the goal.
  static std::size_t play(std::optional<milliseconds> goal) {
    PoolFixture it;
    std::size_t inTime = 0;
    std::int64_t came = 0;
    std::map<ConnectionId, TimePoint> began;
    auto start = it.Time.now();
    while (it.Time.now() - start < Span + Wait) {
      auto at = it.Time.now();
      auto passed = std::min<Duration>(at - start, Span);
      while (came * Duration(std::chrono::seconds(1)) < passed * PerSecond) {
        ++came;
        beginOne(it, goal, inTime);
      }
      it.greetAll();
      serveDue(it, began);
      it.Pool.tick();
      it.Time.advance(milliseconds(1));
    }
    return inTime;
  }

private:
  static void beginOne(PoolFixture &it, std::optional<milliseconds> goal,
                       std::size_t &inTime) {
    Batch batch;
    batch.Statements.resize(1);
    batch.Statements[0].Kind = StatementKind::Read;
    batch.Statements[0].Id = "q";
    batch.EndsLease = true;
    batch.Patience = milliseconds(1'000);
    LeaseRequest request{TargetName("t"), 2, Wait, milliseconds(2'000), goal};
    auto since = it.Time.now();
    it.Pool.begin(request, batch, [&it, &inTime, since](const BatchResult &r) {
      inTime += r.End == BatchEnd::Whole && it.Time.now() - since <= Goal;
    });
  }
  static void serveDue(PoolFixture &it,
                       std::map<ConnectionId, TimePoint> &began) {
    for (auto &[id, line] : it.Links.Lines) {
      if (line.Unanswered.empty())
        continue;
      auto since = began.try_emplace(id, it.Time.now()).first->second;
      if (it.Time.now() - since < Work)
        continue;
      began.erase(id);
      line.Unanswered.pop_front();
      Answer answer;
      answer.Signature = "s";
      it.Pool.answered(id, answer);
    }
  }
};

} // namespace

// Load: more statements than a target runs. Sent all at once, those beyond its
// queue are refused by it and tried again, which it refuses again; orders among
// them fare no better than lookups. Held here, the order goes first.
TEST_CASE_FIXTURE(PoolFixture,
                  "more statements than the target runs, wait by priority") {
  for (const char *id : {"a", "b", "c", "d", "e"})
    begin(id, 2);
  greetAll();
  CHECK(running() == 3);
  begin("order", 1);
  serveOne();
  greetAll();
  CHECK(running() == 3);
  serveAll();
  REQUIRE(Ended.size() == 6);
  auto place = std::find(Ended.begin(), Ended.end(), "order") - Ended.begin();
  CHECK(place < 4);
}

// Load: all callers come back at once after a restart. Each connection that is
// opened takes a slot for longer than a statement does, so that what waits is
// late by those that it did not need.
TEST_CASE_FIXTURE(PoolFixture,
                  "many wait before a new target, connections are opened only "
                  "for what may run") {
  for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h"})
    begin(id, 2);
  CHECK(Links.Opening.size() == 3);
  serveAll();
  CHECK(Ended.size() == 8);
  CHECK(Links.Lines.size() == 3);
}

// Load, for three seconds: 220 statements a second of 18 ms before a target
// that runs three at once, 166 a second. In order of arrival all wait about as
// long as they may, and callers get nearly every answer too late to use it.
TEST_CASE_FIXTURE(OverloadFixture,
                  "more work than the target can do, most is served in time") {
  auto inOrder = play(std::nullopt);
  auto byGoal = play(milliseconds(500));
  CAPTURE(inOrder);
  CAPTURE(byGoal);
  constexpr std::size_t Slots = 3;
  constexpr std::size_t Most = Slots * 166;
  CHECK(inOrder < Most * 6 / 10);
  CHECK(byGoal > Most);
}

// A transaction that waits behind new work would hold its connection and its
// locks the longer; its statements go at once.
TEST_CASE_FIXTURE(PoolFixture,
                  "statement of an open transaction, does not wait") {
  auto held = begin("first", 2, true);
  serveAll();
  for (const char *id : {"a", "b", "c", "d"})
    begin(id, 2);
  greetAll();
  REQUIRE(running() == 3);
  Batch next;
  next.Statements.resize(1);
  next.Statements[0].Kind = StatementKind::Read;
  next.Statements[0].Id = "next";
  next.Patience = milliseconds(500);
  Pool.run(held, next, [](const BatchResult &) {});
  CHECK(running() == 4);
}

TEST_CASE_FIXTURE(PoolFixture, "statement that waits too long, has not run") {
  for (const char *id : {"a", "b", "c", "late"})
    begin(id, 2);
  greetAll();
  Time.advance(milliseconds(320));
  Pool.tick();
  CHECK(Ended == std::vector<std::string>{"late not run"});
}

// A silent target holds each statement for its whole patience. Idle
// connections of the same path would cost the next ones as much.
TEST_CASE_FIXTURE(PoolFixture, "connection silent, idle ones are closed too") {
  begin("a", 2);
  begin("b", 2);
  greetAll();
  serveOne();
  Time.advance(milliseconds(520));
  Pool.tick();
  for (const auto &[id, it] : Links.Lines)
    CHECK_FALSE(it.Open);
}
