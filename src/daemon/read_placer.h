/// \file
/// What one entry daemon has learned of each database, and what it decides by
/// it: where reads go, and whether a request may be sent again.

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

/// Shards, each under its lock.
class ReadPlacer {
public:
  ReadPlacer(const Clock &clock, Member self)
      : Time(clock), Self(std::move(self)) {}

  Choice choose(const Configuration &config, const DatabaseConfig &database,
                const GroupView &view, const ReadDemand &demand);
  void started(const DatabaseName &database, const TargetName &target);
  /// \param took from sending to the answer.
  void answered(const Configuration &config, const DatabaseConfig &database,
                const StatementRequest &request, const StatementAnswer &answer,
                Duration took);
  /// Counts a first attempt.
  void earnRetries(const DatabaseName &database);
  /// \return whether the database's budget allows one more attempt.
  bool spendRetry(const DatabaseName &database);
  /// Counts bytes of a call to another daemon, if it is over the link.
  void countBytes(const RegionName &region, std::size_t bytes);
  std::uint64_t linkBytes() const;

private:
  struct Entry {
    explicit Entry(std::uint64_t seed) : Reads(seed) {}
    Placement Reads;
    RetryBudget Retries;
  };
  struct Shard {
    std::mutex Lock;
    std::map<DatabaseName, Entry> Entries;
  };
  static constexpr std::size_t Count = 16;

  Shard &shardOf(const DatabaseName &database);
  Entry &entryOf(Shard &shard, const DatabaseName &database);
  Distance distanceTo(const Configuration &config,
                      const TargetConfig &target) const;
  bool linkOpen() const;

  const Clock &Time;
  const Member Self;
  std::array<Shard, Count> Shards;
  mutable std::mutex LinkLock;
  LinkBudget Link;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_READ_PLACER_H
