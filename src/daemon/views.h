/// \file
/// Cached state of each database group, from this daemon's probes and from
/// the answers of other daemons.

#ifndef PERIDOTFALL_DAEMON_VIEWS_H
#define PERIDOTFALL_DAEMON_VIEWS_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "target/target.h"

#include <array>
#include <map>
#include <mutex>

namespace peridotfall {

struct TargetView {
  bool Reachable = false;
  target::Status LastStatus;
  TimePoint SeenAt;
};

struct GroupView {
  Term InTerm = 0;
  TargetName Primary;        ///< Empty: unknown.
  TimePoint WritesHeldUntil; ///< Writes wait during a planned hand-over.
  std::map<TargetName, TargetView> Targets;
};

/// Thread-safe; sharded, with one lock per shard.
class GroupViews {
public:
  GroupView get(const DatabaseName &database) const;
  /// Applies another daemon's hint; ignored if its term is lower.
  void updatePrimary(const DatabaseName &database, Term term,
                     const TargetName &primary);
  /// Holds writes until \p until; a time in the past releases them.
  void holdWrites(const DatabaseName &database, TimePoint until);
  bool writesHeld(const DatabaseName &database, TimePoint now) const;
  /// Applies a probe's answer. \return whether it changed the primary.
  bool updateStatus(const DatabaseName &database, const TargetName &target,
                    const TargetView &view);

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<DatabaseName, GroupView> Groups;
  };
  static constexpr std::size_t ShardCount = 16;
  Shard &shardOf(const DatabaseName &database);
  const Shard &shardOf(const DatabaseName &database) const;

  std::array<Shard, ShardCount> Shards;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_VIEWS_H
