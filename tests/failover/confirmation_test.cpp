#include "failover/confirmation.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::failover;

namespace {

constexpr Term Current = 3;

struct ConfirmationFixture {
  ManualClock Clock;
  ConfirmState State;
  ConfirmActions Seen;

  TicketHandle commit(Position at, milliseconds limit = milliseconds(1'000)) {
    TicketHandle ticket;
    record(onCommitted(State, at, Clock.now() + limit, Clock.now(), ticket));
    return ticket;
  }
  void record(const ConfirmActions &actions) {
    Seen.insert(Seen.end(), actions.begin(), actions.end());
  }
  template <class T> std::vector<T> all() const {
    std::vector<T> out;
    for (const auto &it : Seen)
      if (const auto *n = std::get_if<T>(&it))
        out.push_back(*n);
    return out;
  }
  void replica(RoundHandle round, Position last, Term term = Current) {
    record(onReplica(State, round, TargetReport{term, false, last, {}, false},
                     Clock.now()));
  }
  void primary(RoundHandle round, bool leads = true, Term term = Current) {
    record(onPrimary(State, round, TargetReport{term, leads, {}, {}, false},
                     Clock.now()));
  }
  /// \return the result of the confirmation; empty while there is none.
  std::optional<bool> answer(TicketHandle ticket) const {
    for (const auto &it : all<ConfirmResult>())
      if (it.Ticket == ticket)
        return it.IsConfirmed;
    return std::nullopt;
  }
  RoundHandle lastRound() const { return all<QueryReplicas>().back().Round; }
};

} // namespace

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "write, found on a replica and its primary still leading, is "
                  "confirmed") {
  auto it = commit({Current, 7});
  replica(lastRound(), {Current, 7});
  CHECK_FALSE(answer(it));
  primary(lastRound());
  CHECK(answer(it) == true);
  CHECK(State.Rounds.empty());
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "writes, many committed while rounds run, share the next "
                  "round") {
  for (std::uint64_t n = 1; n <= 100; ++n)
    commit({Current, n});
  CHECK(all<QueryReplicas>().size() == State.MaxRounds);
  auto first = all<QueryReplicas>().front().Round;
  replica(first, {Current, 1});
  primary(first);
  REQUIRE(all<QueryReplicas>().size() == State.MaxRounds + 1);
  CHECK(all<QueryReplicas>().back().At == Position{Current, 100});
  replica(lastRound(), {Current, 100});
  primary(lastRound());
  auto answered = all<ConfirmResult>();
  CHECK(answered.size() == 99);
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "write, replica with a longer log of an older term, is not "
                  "confirmed") {
  // A replica fenced into the term still has an unconfirmed tail of the
  // previous term: its log is long enough but lacks the write. If that counted,
  // an acknowledged write would be lost with the primary.
  auto it = commit({Current, 7});
  replica(lastRound(), {Current - 1, 9});
  replica(lastRound(), {Current - 1, 7});
  CHECK(answer(it) == false);
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "write, primary fenced after the replica's answer, is not "
                  "confirmed") {
  // A higher term is accepted while the replica's answer is in transit; the old
  // primary must no longer acknowledge.
  auto it = commit({Current, 7});
  replica(lastRound(), {Current, 7});
  primary(lastRound(), false, Current + 1);
  CHECK(answer(it) == false);
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "write, found on a replica only after the primary was "
                  "queried, waits for a second query") {
  // One round serves two writes, and the replicas report them one by one. The
  // second is found after the primary was queried, so it is queried again.
  State.MaxRounds = 0;
  auto first = commit({Current, 7});
  auto second = commit({Current, 8});
  State.MaxRounds = 1;
  record(onConfirmTick(State, Clock.now()));
  replica(lastRound(), {Current, 7});
  replica(lastRound(), {Current, 8});
  primary(lastRound());
  CHECK(answer(first) == true);
  CHECK_FALSE(answer(second));
  primary(lastRound());
  CHECK(answer(second) == true);
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "write, no replica answers, fails exactly at its deadline") {
  auto it = commit({Current, 7}, milliseconds(50));
  auto round = lastRound();
  Clock.advance(milliseconds(49));
  record(onConfirmTick(State, Clock.now()));
  CHECK_FALSE(answer(it));
  Clock.advance(milliseconds(1));
  record(onConfirmTick(State, Clock.now()));
  CHECK(answer(it) == false);
  replica(round, {Current, 7});
  primary(round);
  CHECK(all<ConfirmResult>().size() == 1);
}

TEST_CASE_FIXTURE(ConfirmationFixture,
                  "writes of two terms in one round, older is refused") {
  State.MaxRounds = 0;
  auto old = commit({Current - 1, 9});
  auto fresh = commit({Current, 7});
  State.MaxRounds = 1;
  record(onConfirmTick(State, Clock.now()));
  CHECK(answer(old) == false);
  replica(lastRound(), {Current, 7});
  primary(lastRound());
  CHECK(answer(fresh) == true);
}
