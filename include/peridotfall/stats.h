/// \file
/// Counters of a daemon since its start.

#ifndef PERIDOTFALL_STATS_H
#define PERIDOTFALL_STATS_H

#include <compare>
#include <cstdint>

namespace peridotfall {

struct Stats {
  std::uint64_t Done = 0;    ///< Requests of callers, by outcome.
  std::uint64_t NotRun = 0;  ///< See Done.
  std::uint64_t Unknown = 0; ///< See Done.
  std::uint64_t ReadsByReplica = 0;
  std::uint64_t ReadsByPrimary = 0;
  std::uint64_t Confirmed = 0;    ///< Writes confirmed by a replica.
  std::uint64_t NotConfirmed = 0; ///< Not confirmed in time; outcome unknown.
  std::uint64_t Failovers = 0;    ///< Performed by this daemon.
  std::uint64_t InvariantViolations = 0;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t Revision = 0; ///< Of the configuration in force.

  auto operator<=>(const Stats &) const = default;
};

/// \return the fraction of reads served by replicas, 0 without reads.
inline double replicaShare(const Stats &it) {
  auto all = it.ReadsByReplica + it.ReadsByPrimary;
  return all == 0 ? 0
                  : static_cast<double>(it.ReadsByReplica) /
                        static_cast<double>(all);
}

} // namespace peridotfall

#endif // PERIDOTFALL_STATS_H
