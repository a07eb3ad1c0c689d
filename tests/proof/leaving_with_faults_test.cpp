#include "proof/leaving_runs.h"

#include <doctest/doctest.h>
#include <utility>

using namespace peridotfall::proof;

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
