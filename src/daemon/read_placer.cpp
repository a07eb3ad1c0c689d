#include "daemon/read_placer.h"

#include <algorithm>

namespace peridotfall {

namespace {

/// Older probe results are ignored.
constexpr std::chrono::milliseconds MaxStatusAge{2'000};

void addStatus(Candidate &it, const TargetView &view, TimePoint now) {
  auto since = now - view.SeenAt;
  if (since > MaxStatusAge)
    return;
  it.Reachable = view.Reachable;
  it.Leaving |= view.LastStatus.Leaving;
  it.Applied = view.LastStatus.Applied;
  it.Age = view.LastStatus.Age;
}

} // namespace

ReadPlacer::Shard &ReadPlacer::shardOf(const DatabaseName &database) {
  return Shards[std::hash<DatabaseName>{}(database) % ShardCount];
}

ReadPlacer::DatabaseState &ReadPlacer::stateOf(Shard &shard,
                                               const DatabaseName &database) {
  std::hash<std::string> hash;
  return shard.States
      .try_emplace(database, hash(database.Value) ^ hash(Self.Vm.Value))
      .first->second;
}

Distance ReadPlacer::distanceTo(const Configuration &config,
                                const TargetConfig &target) const {
  if (target.Domain == Self.Domain)
    return Distance::SameDomain;
  return regionOf(config, target.Domain) == Self.Region ? Distance::SameRegion
                                                        : Distance::OtherRegion;
}

bool ReadPlacer::linkHasBudget() const {
  std::lock_guard guard(LinkLock);
  return Link.mayUse(Time.now());
}

void ReadPlacer::countBytes(const RegionName &region, std::size_t bytes) {
  if (region == Self.Region)
    return;
  std::lock_guard guard(LinkLock);
  Link.count(bytes, Time.now());
}

std::uint64_t ReadPlacer::linkBytes() const {
  std::lock_guard guard(LinkLock);
  return Link.total();
}

Choice ReadPlacer::choose(const Configuration &config,
                          const DatabaseConfig &database, const GroupView &view,
                          const ReadDemand &demand) {
  auto now = Time.now();
  std::vector<Candidate> candidates;
  for (const auto &it : database.Targets) {
    Candidate candidate;
    candidate.Name = it.Name;
    candidate.IsPrimary = it.Name == view.Primary;
    candidate.TargetDistance = distanceTo(config, it);
    candidate.Leaving = isDrained(config, it.Name);
    auto known = view.Targets.find(it.Name);
    if (known != view.Targets.end())
      addStatus(candidate, known->second, now);
    candidates.push_back(std::move(candidate));
  }
  bool open = linkHasBudget();
  auto &shard = shardOf(database.Name);
  std::lock_guard guard(shard.Lock);
  return stateOf(shard, database.Name)
      .Reads.choose(demand, candidates, open, now);
}

void ReadPlacer::started(const DatabaseName &database,
                         const TargetName &target) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  stateOf(shard, database).Reads.started(target);
}

void ReadPlacer::answered(const Configuration &config,
                          const DatabaseConfig &database,
                          const StatementRequest &request,
                          const StatementAnswer &answer, Duration took) {
  AnswerReport it;
  it.Target = request.Target;
  it.FromPrimary =
      request.Mode == Access::Write || answer.Primary == request.Target;
  it.Code = answer.Code;
  it.RetryAfter = answer.RetryAfter;
  it.At = answer.At;
  it.NotBefore = request.NotBefore;
  it.Mode = request.Mode;
  if (answer.Age > Duration{})
    it.Age = answer.Age;
  // Answers don't separate the time in the owner's queue from the run time, so
  // the whole counts as a wait: waits fade, so a target that was slow is used
  // again.
  const auto *target = findTarget(database, request.Target);
  if (target && answer.Code == AnswerCode::Ok)
    it.Wait =
        std::max(took - roundTripTime(distanceTo(config, *target)), Duration{});
  auto &shard = shardOf(database.Name);
  std::lock_guard guard(shard.Lock);
  auto &reads = stateOf(shard, database.Name).Reads;
  auto replicas = database.Targets.size() - 1;
  reads.answered(it, replicas, Time.now());
  if (request.Mode == Access::Write && answer.Code == AnswerCode::Ok)
    reads.noteHead(answer.At, Time.now());
}

void ReadPlacer::earnRetries(const DatabaseName &database) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  stateOf(shard, database).Retries.earn(Time.now());
}

bool ReadPlacer::spendRetry(const DatabaseName &database) {
  auto &shard = shardOf(database);
  std::lock_guard guard(shard.Lock);
  return stateOf(shard, database).Retries.spend(Time.now());
}

} // namespace peridotfall
