/// \file
/// What this daemon knows of each database group, from its own probes and
/// from the answers of others.

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
  target::Status Last;
  TimePoint SeenAt;
};

struct GroupView {
  Term InTerm = 0;
  TargetName Primary;  ///< Empty: not known.
  TimePoint HeldUntil; ///< Writes are held, for a planned hand-over.
  std::map<TargetName, TargetView> Targets;
};

/// Shards, each under its lock.
class GroupViews {
public:
  GroupView get(const DatabaseName &database) const;
  /// Takes a hint of another daemon; one of a lower term is ignored.
  void learnPrimary(const DatabaseName &database, Term term,
                    const TargetName &primary);
  /// Holds writes until then. A time that has passed: no longer.
  void holdWrites(const DatabaseName &database, TimePoint until);
  bool writesHeld(const DatabaseName &database, TimePoint now) const;
  /// Takes a probe's answer. \return whether the primary changed by it.
  bool learnStatus(const DatabaseName &database, const TargetName &target,
                   const TargetView &view);

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<DatabaseName, GroupView> Groups;
  };
  static constexpr std::size_t Count = 16;
  Shard &shardOf(const DatabaseName &database);
  const Shard &shardOf(const DatabaseName &database) const;

  std::array<Shard, Count> Shards;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_VIEWS_H
