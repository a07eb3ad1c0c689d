#include "proof/soak.h"
#include "proof/world.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall::proof;

namespace {

constexpr std::chrono::seconds Span{6};

/// A disabled safeguard, the violation that follows, and a seed that shows it.
struct DisabledSafeguard {
  const char *Name;
  bool Safeguards::*Switch;
  ViolationKind Expected;
  std::uint64_t Seed;
};

constexpr DisabledSafeguard Table[] = {
    {"confirmation", &Safeguards::Confirmation, ViolationKind::Lost, 10},
    {"idempotency check", &Safeguards::IdempotencyCheck, ViolationKind::Doubled,
     1},
    {"no blind repeat", &Safeguards::NoBlindRepeat, ViolationKind::Doubled, 10},
    {"not before", &Safeguards::NotBefore, ViolationKind::OwnWriteUnseen, 5},
    {"primary only", &Safeguards::PrimaryOnly, ViolationKind::OwnWriteUnseen,
     75},
    {"truthful not run", &Safeguards::TruthfulNotRun,
     ViolationKind::FalseNotRun, 1},
    {"answer id", &Safeguards::AnswerIdChecked, ViolationKind::OwnWriteUnseen,
     13},
    {"revision", &Safeguards::RevisionNeverFalls, ViolationKind::RevisionFell,
     1},
    {"read back", &Safeguards::LostAnswerReadBack, ViolationKind::FalseRefusal,
     24},
    {"drain waits", &Safeguards::DrainWaits, ViolationKind::CutByShutdown, 20},
};

bool reports(const std::vector<Violation> &all, ViolationKind what) {
  return std::any_of(all.begin(), all.end(),
                     [&](const Violation &it) { return it.What == what; });
}

/// Runs a group for \p before, makes a target leave and runs on for twice the
/// limit. \return the violations that the checker finds.
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

/// The same for the primary of a group that has run for some time, with a fault
/// that begins as the primary leaves and ends after \p span.
std::vector<Violation>
runLeavingWithFault(std::uint64_t seed, const Fault &fault, milliseconds span) {
  constexpr milliseconds Before{4'000};
  World world(seed, {});
  world.runFor(Before);
  auto end = world.inject(fault);
  world.leave();
  world.runFor(span);
  end();
  world.runFor(2 * LeavingLimit - span);
  return checkHistory(world.finish());
}

} // namespace

// Guards against a safeguard that has no effect: the random run that violates a
// guarantee with the safeguard disabled has no violation with it enabled.
TEST_CASE(
    "safeguards, each disabled, violate their guarantee, all enabled do not") {
  for (const auto &it : Table) {
    CAPTURE(it.Name);
    Safeguards without;
    without.*it.Switch = false;
    CHECK(reports(runSoak(it.Seed, Span, without).Violations, it.Expected));
  }
  for (std::uint64_t seed : {1, 2, 4, 5, 8, 9, 10, 13, 20, 24, 33, 39, 74, 75})
    CHECK(runSoak(seed, Span).Violations.empty());
}

// Guards against reads sent to a leaving replica. It still answers, so without
// the safeguard it gets reads after the limit.
TEST_CASE("safeguards, leaving replica, gets no new work after the limit") {
  constexpr milliseconds Before{1'500};
  CHECK(reports(runLeaving(1, Before, &World::leaveReplica, false),
                ViolationKind::WorkAtLeaving));
  CHECK(runLeaving(1, Before, &World::leaveReplica, true).empty());
}

// Guards against work at a leaving primary of a settled group after it was
// replaced. Writes are held back while a replica takes over; the old primary is
// then a leaving replica and gets reads unless it is avoided.
TEST_CASE("safeguards, leaving primary, gets no new work after the limit") {
  constexpr milliseconds Before{8'000};
  CHECK(reports(runLeaving(1, Before, &World::leave, false),
                ViolationKind::WorkAtLeaving));
  CHECK(runLeaving(1, Before, &World::leave, true).empty());
}

// Guards against a late second attempt to replace a leaving primary. The
// primary of a new group leaves while its owner shuts down; callers see
// neither. Daemons that do not know the new owner send writes through other
// daemons, past the hold, so the first attempt fails; the next must come within
// the limit.
TEST_CASE("safeguards, leaving primary of a new group, gets no new work after "
          "the limit") {
  constexpr milliseconds Before{1'500};
  for (std::uint64_t seed : {37, 43, 57, 79, 184})
    CHECK(runLeaving(seed, Before, &World::leave, true).empty());
}

// Guards against a leaving primary that still gets work because its group had
// not agreed on a term when it left.
TEST_CASE("safeguards, leaving primary of a group of any age, gets no new work "
          "after the limit") {
  for (int before : {250, 500, 800})
    for (std::uint64_t seed : {1, 2, 4})
      CHECK(
          runLeaving(seed, milliseconds(before), &World::leave, true).empty());
  for (std::uint64_t seed : {31, 46})
    CHECK(runLeaving(seed, milliseconds(950), &World::leave, true).empty());
}

// Guards against a leaving primary that still gets work because the replica
// first chosen to replace it fails.
TEST_CASE("safeguards, leaving primary during a replica fault, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultLocation;
  constexpr milliseconds Span{600};
  constexpr std::pair<Fault, std::uint64_t> Runs[] = {
      {{Kill, Replica}, 1},          {{Freeze, Replica}, 6},
      {{CutBothWays, Replica}, 17},  {{CutOneWay, Replica}, 7},
      {{SlowLink, Replica}, 18},     {{LaggingReplica, Replica}, 13},
      {{CutOneWay, RegionLink}, 13}, {{AnswersLate, RegionLink}, 8}};
  for (const auto &[fault, seed] : Runs)
    CHECK(runLeavingWithFault(seed, fault, Span).empty());
}

// Guards against a leaving primary that still gets work because the first hold
// of writes ended before any replica had caught up.
TEST_CASE("safeguards, leaving primary during a fault of its links, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultLocation;
  struct Run {
    Fault During;
    milliseconds Span;
    std::uint64_t Seed;
  };
  constexpr Run Runs[] = {{{SlowLink, Primary}, milliseconds(1'000), 2},
                          {{SlowLink, Primary}, milliseconds(600), 1},
                          {{AnswersLost, Primary}, milliseconds(600), 5},
                          {{AnswersLost, Primary}, milliseconds(1'000), 10},
                          {{AnswersLate, Owner}, milliseconds(600), 3}};
  for (const auto &it : Runs)
    CHECK(runLeavingWithFault(it.Seed, it.During, it.Span).empty());
}

// Guards against a leaving primary that still gets work because its new owner
// cannot reach the platform.
TEST_CASE("safeguards, leaving primary during a platform fault, gets no "
          "new work after the limit") {
  using enum FaultKind;
  using enum FaultLocation;
  constexpr milliseconds Span{1'000};
  constexpr std::pair<Fault, std::uint64_t> Runs[] = {
      {{CutOneWay, Platform}, 4},
      {{CutOneWay, Platform}, 19},
      {{CutBothWays, Platform}, 6},
      {{PlatformDown, Platform}, 12}};
  for (const auto &[fault, seed] : Runs)
    CHECK(runLeavingWithFault(seed, fault, Span).empty());
}
