/// \file
/// Per-database state of an entry daemon for placing reads and for limiting
/// retries.

#ifndef PERIDOTFALL_DAEMON_READ_PLACER_H
#define PERIDOTFALL_DAEMON_READ_PLACER_H

#include "daemon/views.h"
#include "peridotfall/clock.h"
#include "peridotfall/configuration.h"
#include "peridotfall/membership.h"
#include "peridotfall/placement.h"
#include "peridotfall/retry_budget.h"

#include <array>
#include <cstddef>
#include <map>
#include <mutex>

namespace peridotfall {

/// Thread-safe: databases are spread over shards, each with its own lock.
class ReadPlacer {
public:
  ReadPlacer(const Clock &clock, Member self)
      : Time(clock), Self(std::move(self)) {}

  Choice choose(const Configuration &config, const DatabaseConfig &database,
                const GroupView &view, const ReadDemand &demand);
  void started(const DatabaseName &database, const TargetName &target);
  /// \param took time from sending the request to its answer.
  void answered(const Configuration &config, const DatabaseConfig &database,
                const StatementRequest &request, const StatementAnswer &answer,
                Duration took);
  /// Counts a first attempt, which earns a share of a retry.
  void earnRetries(const DatabaseName &database);
  /// Takes one retry from the database's budget. \return whether it had one.
  bool spendRetry(const DatabaseName &database);
  /// Counts bytes of a call to a daemon of the given region; only the link to
  /// other regions has a budget.
  void countBytes(const RegionName &region, std::size_t bytes);
  std::uint64_t linkBytes() const;

private:
  struct DatabaseState {
    explicit DatabaseState(std::uint64_t seed) : Reads(seed) {}
    Placement Reads;
    RetryBudget Retries;
  };
  struct Shard {
    std::mutex Lock;
    std::map<DatabaseName, DatabaseState> States;
  };
  static constexpr std::size_t ShardCount = 16;

  Shard &shardOf(const DatabaseName &database);
  DatabaseState &stateOf(Shard &shard, const DatabaseName &database);
  Distance distanceTo(const Configuration &config,
                      const TargetConfig &target) const;
  bool linkHasBudget() const;

  const Clock &Time;
  const Member Self;
  std::array<Shard, ShardCount> Shards;
  mutable std::mutex LinkLock;
  LinkBudget Link;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_READ_PLACER_H
