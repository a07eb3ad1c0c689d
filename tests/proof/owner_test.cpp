#include "proof/owner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>

using namespace peridotfall;
using namespace peridotfall::proof;

namespace {

constexpr milliseconds Settle{100};

struct OwnerFixture {
  Simulation Sim{1};
  Network Net{Sim, milliseconds(1)};
  History RunHistory;
  Safeguards Guards;
  StepHooks Hooks;
  RunContext Context{Sim, Net, RunHistory, Guards, Hooks};
  NodeId Self = Net.add();
  FakeTarget First{Context, Net.add(), TargetName("t0"), 4};
  FakeTarget Second{Context, Net.add(), TargetName("t1"), 4};
  Owner TestedOwner{Context, Self, {&First, &Second}, 2};
  std::optional<StatementAnswer> Answer;

  OwnerFixture() {
    First.initialize(true, nullptr);
    Second.initialize(false, &First);
  }

  StatementAnswer run(Verb what, const std::string &transaction) {
    StatementRequest request;
    request.Id = {Sim.Rng.next()};
    request.What = what;
    request.Target = First.name();
    request.Transaction = transaction;
    request.Budget = milliseconds(1'000);
    request.Params = paramsOf({{1}, {1}, {1}, "t1", 1});
    Answer.reset();
    TestedOwner.execute(request,
                        [this](StatementAnswer it) { Answer = std::move(it); });
    Sim.runFor(Settle);
    REQUIRE(Answer.has_value());
    return *Answer;
  }
  /// The target is fenced and becomes primary again in the higher term.
  void promoteAgain() {
    CHECK(First.fence(2).Outcome == failover::StepOutcome::Done);
    CHECK(First.promote(2).Outcome == failover::StepOutcome::Done);
    CHECK(Second.follow(2, &First).Outcome == failover::StepOutcome::Done);
    Sim.runFor(Settle);
  }
  bool anythingRan() const {
    return std::any_of(First.log().begin(), First.log().end(),
                       [](const LogRecord &it) { return !it.Changes.empty(); });
  }
};

} // namespace

// Guards against a statement of a dropped transaction that commits alone. The
// target was fenced under an open transaction, dropped it and became primary
// again in a higher term: the next statement ran and committed alone, and the
// commit was answered "not run".
TEST_CASE_FIXTURE(OwnerFixture, "owner, target promoted again under an open "
                                "transaction, runs no statement of it alone") {
  SUBCASE("without the term of the transaction") {
    Guards.TransactionTerm = false;
    auto opened = run(Verb::Begin, "");
    promoteAgain();
    auto it = run(Verb::Statement, opened.Transaction);
    CHECK((it.Effect == Outcome::Done));
    CHECK(anythingRan());
  }
  SUBCASE("with it") {
    auto opened = run(Verb::Begin, "");
    promoteAgain();
    auto it = run(Verb::Statement, opened.Transaction);
    CHECK((it.Effect == Outcome::NotRun));
    CHECK((it.Code == AnswerCode::Fenced));
    CHECK_FALSE(anythingRan());
    CHECK(TestedOwner.inFlight() == 0);
  }
}
