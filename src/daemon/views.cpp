#include "daemon/views.h"

namespace peridotfall {

GroupViews::Shard &GroupViews::shardOf(const DatabaseName &database) {
  return Shards[std::hash<DatabaseName>{}(database) % ShardCount];
}

const GroupViews::Shard &
GroupViews::shardOf(const DatabaseName &database) const {
  return Shards[std::hash<DatabaseName>{}(database) % ShardCount];
}

GroupView GroupViews::get(const DatabaseName &database) const {
  const auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  auto it = shard.Groups.find(database);
  return it == shard.Groups.end() ? GroupView{} : it->second;
}

void GroupViews::updatePrimary(const DatabaseName &database, Term term,
                               const TargetName &primary) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  auto &group = shard.Groups[database];
  if (term < group.InTerm || primary.empty())
    return;
  group.InTerm = term;
  group.Primary = primary;
}

void GroupViews::holdWrites(const DatabaseName &database, TimePoint until) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  shard.Groups[database].WritesHeldUntil = until;
}

bool GroupViews::writesHeld(const DatabaseName &database, TimePoint now) const {
  const auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  auto it = shard.Groups.find(database);
  return it != shard.Groups.end() && it->second.WritesHeldUntil > now;
}

bool GroupViews::updateStatus(const DatabaseName &database,
                              const TargetName &target,
                              const TargetView &view) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  auto &group = shard.Groups[database];
  auto &it = group.Targets[target];
  it.Reachable = view.Reachable;
  if (!view.Reachable)
    return false;
  it = view;
  bool isCurrentPrimary =
      view.LastStatus.IsPrimary && view.LastStatus.CurrentTerm >= group.InTerm;
  if (!isCurrentPrimary)
    return false;
  bool changed = group.Primary != target;
  group.InTerm = view.LastStatus.CurrentTerm;
  group.Primary = target;
  return changed;
}

} // namespace peridotfall
