#include "proof/leaving_runs.h"
#include "proof/soak.h"

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
