#include "pressed_callers.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct AbsenceFixture {
  ManualClock Time;
  PrimaryAbsences Seen;

  AbsenceFixture() { Seen.note(true, Time.now()); }

  void miss(Duration span) {
    Seen.note(false, Time.now());
    Time.advance(span);
    Seen.note(true, Time.now());
  }
  PrimaryWait decide(Duration left, double spread = 0) const {
    return decidePrimaryWait(Seen, Time.now() + left, spread, Time.now());
  }
};

/// A primary is missing while a caller arrives every 50 ms.
struct ChangeFixture : PressedFixture {
  /// Replicas answer leader queries meanwhile.
  void passDeclining(Duration span) {
    for (Duration done{}; done < span; done += milliseconds(20)) {
      pass(milliseconds(20));
      completeHandshakes();
      for (const auto *target : {"r", "s"})
        while (auto id = busyAt(target)) {
          auto next = Links.Connections.at(*id).Unanswered.front();
          answer(*id, next.Kind == StatementKind::Begin
                          ? failure(ErrorKind::ReadOnly, TransactionState::Idle)
                          : success(next, TransactionState::Idle));
        }
    }
  }
  unsigned mostRefusals(Duration missing) {
    constexpr milliseconds Interval{50};
    removePrimary();
    for (Duration done{}; done < missing; done += Interval) {
      arrive("orders", StatementKind::Write);
      for (Duration it{}; it < Interval; it += milliseconds(10)) {
        Time.advance(milliseconds(10));
        TargetGroups.tick();
        Callers.tick();
        follow();
      }
    }
    promote("r");
    for (int n = 0; n < 150; ++n) {
      pass(milliseconds(20));
      serve("r", TransactionState::Idle);
      follow();
    }
    unsigned out = 0;
    for (const auto &it : Pressed) {
      CHECK(it.Served);
      out = std::max(out, it.Refused);
    }
    return out;
  }
};

} // namespace

// Guards against a caller that uses up its attempts during one change: refused
// at once, it comes back when the primary is expected.
TEST_CASE_FIXTURE(AbsenceFixture,
                  "missing primary, back after the limit, is not waited for") {
  Seen.note(false, Time.now());
  Time.advance(milliseconds(200));
  CHECK(decide(milliseconds(850)) == (PrimaryWait{false, milliseconds(1'500)}));
  CHECK(decide(milliseconds(850), 0.5).RetryAfter == milliseconds(1'750));
  Time.advance(milliseconds(700));
  CHECK(decide(milliseconds(850)).Waits);
}

// Guards against refusals of seconds where the primary is known again after one
// round of queries.
TEST_CASE_FIXTURE(AbsenceFixture,
                  "missing primary, absence not confirmed, is waited for") {
  Seen.note(false, Time.now());
  Time.advance(milliseconds(100));
  CHECK(decide(milliseconds(850)).Waits);
}

TEST_CASE_FIXTURE(AbsenceFixture,
                  "missing primary, later than expected, is waited for") {
  Seen.note(false, Time.now());
  Time.advance(milliseconds(2'500));
  CHECK(decide(milliseconds(850)).Waits);
  CHECK(decide({}) ==
        (PrimaryWait{false, proxy::limits::MinPrimaryRetryAfter}));
}

TEST_CASE("missing primary, none ever known, is waited for") {
  ManualClock time;
  PrimaryAbsences none;
  none.note(false, time.now());
  time.advance(milliseconds(400));
  CHECK(decidePrimaryWait(none, time.now() + milliseconds(850), 0, time.now())
            .Waits);
}

// Guards against estimates that one long outage, or many moments without a
// known primary, would make useless.
TEST_CASE_FIXTURE(AbsenceFixture,
                  "usual absence, changes and outages, is that of changes") {
  miss(milliseconds(60'000));
  CHECK(Seen.usual() == proxy::limits::FirstPrimaryAbsence);
  for (int n = 0; n < 4; ++n)
    miss(milliseconds(900));
  for (int n = 0; n < 20; ++n)
    miss(milliseconds(60));
  CHECK(Seen.usual() == milliseconds(900));
}

TEST_CASE("latest start, short and long limits, leaves time to run") {
  TimePoint deadline{std::chrono::seconds(9)};
  CHECK(latestStart(deadline, milliseconds(1'000)) ==
        deadline - milliseconds(150));
  CHECK(latestStart(deadline, milliseconds(200)) ==
        deadline - milliseconds(100));
}

// A change of primary of 1.7 s, with callers that come back at most twice.
TEST_CASE_FIXTURE(ChangeFixture,
                  "primary missing for 1.7 s, each caller is refused once") {
  CHECK(mostRefusals(milliseconds(1'700)) <= 1);
}

TEST_CASE_FIXTURE(ChangeFixture,
                  "primary missing for longer than expected, callers are "
                  "refused twice at most") {
  CHECK(mostRefusals(milliseconds(2'500)) <= 2);
}

TEST_CASE_FIXTURE(ChangeFixture,
                  "primary missing without accounts, is waited for as before") {
  apply(false);
  removePrimary();
  arrive("orders", StatementKind::Write);
  pass(milliseconds(620));
  CHECK(answers(Pressed[0].Id).empty());
  pass(milliseconds(40));
  CHECK(retryAfter(last(Pressed[0].Id)) == proxy::limits::PrimaryRetryAfter);
}

// Guards against late statements that take the first slots of a new primary,
// while others become late.
TEST_CASE_FIXTURE(ChangeFixture,
                  "primary back, statements that can meet their goal, are "
                  "first") {
  auto table = Callers.routes();
  ++table.Version;
  table.Routes.at(DatabaseName("status")).Priority = 1;
  REQUIRE(Callers.applyRoutes(table));
  removePrimary();
  passDeclining(milliseconds(1'100));
  arrive("orders", StatementKind::Write);
  passDeclining(milliseconds(600));
  arrive("status", StatementKind::Write);
  promote("r");
  auto id = busyAt("r");
  REQUIRE(id);
  CHECK(Links.Connections.at(*id).Unanswered.front().Id == "q2");
}
