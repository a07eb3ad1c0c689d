#include "proof/soak.h"
#include "proof/world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall::proof;

namespace {

constexpr std::chrono::seconds Span{6};

/// One safeguard, what breaks without it, and a seed that shows it.
struct Without {
  const char *Name;
  bool Safeguards::*Switch;
  Broken Expected;
  std::uint64_t Seed;
};

constexpr Without Table[] = {
    {"confirmation", &Safeguards::Confirmation, Broken::Lost, 10},
    {"idempotency check", &Safeguards::IdempotencyCheck, Broken::Doubled, 1},
    {"no blind repeat", &Safeguards::NoBlindRepeat, Broken::Doubled, 10},
    {"not before", &Safeguards::NotBefore, Broken::OwnWriteUnseen, 5},
    {"primary only", &Safeguards::PrimaryOnly, Broken::OwnWriteUnseen, 75},
    {"truthful not run", &Safeguards::TruthfulNotRun, Broken::FalseNotRun, 1},
    {"answer id", &Safeguards::AnswerIdChecked, Broken::OwnWriteUnseen, 13},
    {"revision", &Safeguards::RevisionNeverFalls, Broken::RevisionFell, 1},
    {"read back", &Safeguards::LostAnswerReadBack, Broken::FalseRefusal, 24},
    {"drain waits", &Safeguards::DrainWaits, Broken::CutByShutdown, 20},
};

bool reports(const std::vector<Violation> &all, Broken what) {
  return std::any_of(all.begin(), all.end(),
                     [&](const Violation &it) { return it.What == what; });
}

/// Lets a group run for a while, has a target leave, and goes on for twice the
/// limit. \return what the checker finds.
std::vector<Violation> runLeaving(std::uint64_t seed, milliseconds before,
                                  void (World::*leave)(), bool avoided) {
  Safeguards guards;
  guards.LeavingTargetAvoided = avoided;
  World world(seed, guards);
  world.runFor(before);
  (world.*leave)();
  world.runFor(2 * LeavingLimit);
  return checkHistory(world.finish());
}

/// The same for a settled group's primary, beside a fault that begins as it
/// leaves and ends after a span.
std::vector<Violation> runLeavingBeside(std::uint64_t seed, const Fault &fault,
                                        milliseconds span) {
  constexpr milliseconds Before{4'000};
  World world(seed, {});
  world.runFor(Before);
  auto end = world.strike(fault);
  world.leave();
  world.runFor(span);
  end();
  world.runFor(2 * LeavingLimit - span);
  return checkHistory(world.finish());
}

} // namespace

// The same random run twice: with one safeguard taken out the caller sees the
// promise broken, with all of them kept nothing is.
TEST_CASE("safeguards, each taken out, break their promise, and kept do not") {
  for (const auto &it : Table) {
    CAPTURE(it.Name);
    Safeguards without;
    without.*it.Switch = false;
    CHECK(reports(runSoak(it.Seed, Span, without).Violations, it.Expected));
  }
  for (std::uint64_t seed : {1, 2, 4, 5, 8, 9, 10, 13, 20, 24, 33, 39, 74, 75})
    CHECK(runSoak(seed, Span).Violations.empty());
}

// A replica leaves and goes on answering; callers read. Without the safeguard
// it still gets reads after the limit.
TEST_CASE("safeguards, leaving replica, gets no new work after the limit") {
  constexpr milliseconds Before{1'500};
  CHECK(reports(runLeaving(1, Before, &World::leaveReplica, false),
                Broken::WorkAtLeaving));
  CHECK(runLeaving(1, Before, &World::leaveReplica, true).empty());
}

// The primary leaves in a settled group: writes are held for a moment, a
// replica leads, and the old primary is then a replica to be avoided.
TEST_CASE("safeguards, leaving primary, gets no new work after the limit") {
  constexpr milliseconds Before{8'000};
  CHECK(reports(runLeaving(1, Before, &World::leave, false),
                Broken::WorkAtLeaving));
  CHECK(runLeaving(1, Before, &World::leave, true).empty());
}

// The primary of a group that has just begun leaves, and the daemon that owns
// it ends at the same time. Callers see nothing. Daemons that do not know the
// new owner send writes by others, past the hold, so the first try to replace
// the primary fails; the next one must come within the limit.
TEST_CASE("safeguards, leaving primary of a new group, gets no new work after "
          "the limit") {
  constexpr milliseconds Before{1'500};
  for (std::uint64_t seed : {37, 43, 57, 79, 184})
    CHECK(runLeaving(seed, Before, &World::leave, true).empty());
}

// Guards against a primary that keeps its work since its group had agreed no
// term when it left.
TEST_CASE("safeguards, leaving primary of a group of any age, gets no new work "
          "after the limit") {
  for (int before : {250, 500, 800})
    for (std::uint64_t seed : {1, 2, 4})
      CHECK(
          runLeaving(seed, milliseconds(before), &World::leave, true).empty());
  for (std::uint64_t seed : {31, 46})
    CHECK(runLeaving(seed, milliseconds(950), &World::leave, true).empty());
}

// Guards against a primary that keeps its work since the replica first chosen
// to replace it fails.
TEST_CASE("safeguards, leaving primary beside a fault of a replica, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultPlace;
  constexpr milliseconds Span{600};
  constexpr std::pair<Fault, std::uint64_t> Runs[] = {
      {{Kill, Replica}, 1},          {{Freeze, Replica}, 6},
      {{CutBothWays, Replica}, 17},  {{CutOneWay, Replica}, 7},
      {{SlowLink, Replica}, 18},     {{LaggingReplica, Replica}, 13},
      {{CutOneWay, RegionLink}, 13}, {{AnswersLate, RegionLink}, 8}};
  for (const auto &[fault, seed] : Runs)
    CHECK(runLeavingBeside(seed, fault, Span).empty());
}

// Guards against a primary that keeps its work since the first hold of writes
// ended before any replica was level.
TEST_CASE("safeguards, leaving primary beside a fault of its links, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultPlace;
  struct Run {
    Fault Beside;
    milliseconds Span;
    std::uint64_t Seed;
  };
  constexpr Run Runs[] = {{{SlowLink, Primary}, milliseconds(1'000), 2},
                          {{SlowLink, Primary}, milliseconds(600), 1},
                          {{AnswersLost, Primary}, milliseconds(600), 5},
                          {{AnswersLost, Primary}, milliseconds(1'000), 10},
                          {{AnswersLate, Owner}, milliseconds(600), 3}};
  for (const auto &it : Runs)
    CHECK(runLeavingBeside(it.Seed, it.Beside, it.Span).empty());
}

// Guards against a primary that keeps its work since its new owner cannot reach
// the platform.
TEST_CASE("safeguards, leaving primary beside a fault of the platform, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultPlace;
  constexpr milliseconds Span{1'000};
  constexpr std::pair<Fault, std::uint64_t> Runs[] = {
      {{CutOneWay, Platform}, 4},
      {{CutOneWay, Platform}, 19},
      {{CutBothWays, Platform}, 6},
      {{PlatformDown, Platform}, 12}};
  for (const auto &[fault, seed] : Runs)
    CHECK(runLeavingBeside(seed, fault, Span).empty());
}
