#include "pressed_callers.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Targets that answer each caller's statement as busy for some time.
struct BusyFixture : PressedFixture {
  void answerBusy(const char *target) {
    while (auto id = busyAt(target)) {
      auto next = Links.Connections.at(*id).Unanswered.front();
      answer(*id, next.Id.empty()
                      ? success(next, TransactionState::Idle)
                      : failure(ErrorKind::Busy, TransactionState::Idle));
    }
  }
  /// \return whether a statement is served by targets that are busy for a time.
  bool isServedAfter(const char *database, StatementKind kind, Duration busy) {
    arrive(database, kind);
    for (Duration done{}; done < milliseconds(1'000); done += milliseconds(5)) {
      completeHandshakes();
      for (const auto *target : {"p", "r", "s"}) {
        if (done < busy)
          answerBusy(target);
        else
          serve(target, TransactionState::Idle);
      }
      Time.advance(milliseconds(5));
      TargetGroups.tick();
      Callers.tick();
    }
    const auto &got = answers(Pressed.back().Id);
    return got.size() == 1 && got[0].ok();
  }
};

} // namespace

TEST_CASE("read wait, by goal and limit, leaves time for another target") {
  CHECK(readWait(milliseconds(400), milliseconds(900)) == milliseconds(200));
  CHECK(readWait(milliseconds(400), milliseconds(100)) == milliseconds(50));
  CHECK(readWait(milliseconds(-1), milliseconds(300)) == milliseconds(150));
  CHECK(readWait(std::nullopt, milliseconds(800)) == milliseconds(400));
}

// Guards against a wait that can only end in a refusal, where the target says
// when it has room again.
TEST_CASE("busy retry, room after the time left, is refused at once") {
  TimePoint now{std::chrono::seconds(5)};
  auto until = now + milliseconds(200);
  CHECK_FALSE(busyRetryAt(1, milliseconds(300), until, now));
  CHECK(busyRetryAt(1, milliseconds(150), until, now) ==
        now + milliseconds(150));
}

TEST_CASE("busy retry, room not known, pauses grow and end in time") {
  TimePoint now{std::chrono::seconds(5)};
  auto until = now + milliseconds(600);
  CHECK(busyRetryAt(1, {}, until, now) == now + milliseconds(15));
  CHECK(busyRetryAt(4, {}, until, now) == now + milliseconds(60));
  CHECK(busyRetryAt(90, {}, until, now) == now + milliseconds(120));
  CHECK(busyRetryAt(90, {}, now + milliseconds(40), now) ==
        now + milliseconds(20));
  CHECK_FALSE(busyRetryAt(90, {}, now + milliseconds(10), now));
}

// Targets are busy for 0.8 of a statement's limit. A refusal in that time costs
// the caller one of its attempts.
TEST_CASE_FIXTURE(BusyFixture,
                  "primary busy for most of the limit, write is served") {
  CHECK(isServedAfter("orders", StatementKind::Write, milliseconds(800)));
}

TEST_CASE_FIXTURE(BusyFixture,
                  "all targets busy for most of the limit, read is served") {
  learnHead();
  CHECK(isServedAfter("views", StatementKind::Read, milliseconds(800)));
}

// Guards against a refusal for lack of time while a read could be answered.
TEST_CASE_FIXTURE(BusyFixture,
                  "targets busy until shortly before the limit, read is "
                  "served") {
  learnHead();
  CHECK(isServedAfter("views", StatementKind::Read, milliseconds(950)));
}

// Guards against a write that is started too late to be answered; its outcome
// would be unknown.
TEST_CASE_FIXTURE(BusyFixture,
                  "primary busy until shortly before the limit, write is "
                  "refused") {
  CHECK_FALSE(isServedAfter("orders", StatementKind::Write, milliseconds(950)));
  CHECK(last(Pressed[0].Id).Error->Kind == ErrorKind::Busy);
}

TEST_CASE_FIXTURE(BusyFixture,
                  "primary busy without accounts, is retried as before") {
  apply(false);
  CHECK_FALSE(isServedAfter("orders", StatementKind::Write, milliseconds(800)));
  CHECK(isServedAfter("orders", StatementKind::Write, milliseconds(500)));
}
