/// \file
/// Long random runs: many sessions, random faults, and the checker.

#ifndef PERIDOTFALL_PROOF_SOAK_H
#define PERIDOTFALL_PROOF_SOAK_H

#include "proof/history.h"
#include "proof/safeguards.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall::proof {

struct SoakReport {
  std::size_t Operations = 0; ///< Requests that were answered.
  std::size_t Faults = 0;
  std::size_t Failovers = 0;
  std::vector<Violation> Violations;

  auto operator<=>(const SoakReport &) const = default;
};

/// \param span virtual time with faults; the time after them is added.
SoakReport runSoak(std::uint64_t seed, std::chrono::seconds span,
                   const Safeguards &guards = {});

/// "operations N, faults N, failovers N, violations N".
std::string summary(const SoakReport &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_SOAK_H
