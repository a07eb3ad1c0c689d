/// \file
/// Runs of the proofs in which a target leaves.

#ifndef PERIDOTFALL_PROOF_LEAVING_RUNS_H
#define PERIDOTFALL_PROOF_LEAVING_RUNS_H

#include "proof/world.h"

#include <vector>

namespace peridotfall::proof {

/// Runs a group for \p before, makes a target leave and runs on for twice the
/// limit. \return the violations that the checker finds.
inline std::vector<Violation> runLeaving(std::uint64_t seed,
                                         milliseconds before,
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
inline std::vector<Violation>
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

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_LEAVING_RUNS_H
