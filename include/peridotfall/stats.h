/// \file
/// What a daemon has done since it started, as numbers one can read.

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
  std::uint64_t Confirmed = 0;    ///< Writes that a replica holds.
  std::uint64_t NotConfirmed = 0; ///< Not held in time; outcome unknown.
  std::uint64_t Failovers = 0;    ///< Carried out by this daemon.
  std::uint64_t InvariantViolations = 0;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t Revision = 0; ///< Of the configuration in force.

  auto operator<=>(const Stats &) const = default;
};

/// \return share of reads served by replicas, from 0 to 1; 0 without reads.
inline double replicaShare(const Stats &it) {
  auto all = it.ReadsByReplica + it.ReadsByPrimary;
  return all == 0 ? 0
                  : static_cast<double>(it.ReadsByReplica) /
                        static_cast<double>(all);
}

} // namespace peridotfall

#endif // PERIDOTFALL_STATS_H
