/// \file
/// The groups of targets as one daemon sees them: connections, primaries and
/// where reads can be sent.

#ifndef PERIDOTFALL_PROXY_GROUPS_H
#define PERIDOTFALL_PROXY_GROUPS_H

#include "peridotfall/membership.h"
#include "peridotfall/placement.h"
#include "proxy/group_view.h"
#include "proxy/holder_paths.h"
#include "proxy/holder_ranks.h"
#include "proxy/primary_wait.h"
#include "proxy/target_pool.h"

#include <functional>
#include <memory>
#include <set>

namespace peridotfall::proxy {

namespace limits {

/// Between two leader queries to a group whose primary is unknown.
inline constexpr milliseconds LeaderQueryPause{100};
/// The log head of a group in use is queried when the last confirmation is
/// older than this. A third of the shortest usual staleness bound of 1.5 s, so
/// that one lost query does not keep reads from their replica.
inline constexpr milliseconds MaxHeadAge{500};
/// A replica that lags by this much or more gets few reads or none, so its
/// answers do not show when it has caught up. Its position is queried instead,
/// at intervals of AppliedQueryPause.
inline constexpr milliseconds LargeLag{500};
inline constexpr milliseconds AppliedQueryPause{250};
/// A group without requests for this long is not in use.
inline constexpr milliseconds GroupIdle{5'000};
/// Of one query; far above a round trip of 16 ms.
inline constexpr milliseconds LeaderCheckTimeout{300};
/// Longest time that writes are held during a planned hand-over, until a new
/// primary is known. A promotion takes 0.3 to 1 s.
inline constexpr milliseconds HandoverHold{2'500};
/// Time in which a leaving target may get new work if no setting gives it, and
/// the part of that time reserved for the announcement of leaving and the last
/// work to reach their recipients.
inline constexpr milliseconds LeavingLimit{7'000};
inline constexpr milliseconds LeavingReserve{1'000};

} // namespace limits

/// The VM, failure domain and region of this daemon.
struct Locality {
  VmName Vm;
  DomainName Domain;
  RegionName Region;

  auto operator<=>(const Locality &) const = default;
};

/// Runs leases on connections held by other daemons.
class RelayPort {
public:
  virtual ~RelayPort() = default;
  /// \param lease id that this daemon assigned to it.
  virtual void begin(const VmName &holder, LeaseId lease,
                     const LeaseRequest &request, Batch first,
                     OnBatch done) = 0;
  virtual void run(LeaseId lease, Batch next, OnBatch done) = 0;
  virtual void abandon(LeaseId lease) = 0;
  virtual bool owns(LeaseId lease) const = 0;
};

/// For each target, the connection holders through which it is reached.
using PathTable = std::map<TargetName, HolderPaths>;

struct Group {
  explicit Group(std::uint64_t seed) : ReadPlacement(seed) {}

  GroupSettings Settings;
  GroupView View;
  Placement ReadPlacement;
  std::vector<TargetEntry> Targets;
  std::optional<TimePoint> UsedAt;
  TimePoint NextLeaderQuery{};
  TimePoint NextAppliedQuery{};
  /// When the primary became unknown or unreachable.
  std::optional<TimePoint> LeaderMissingSince;
  /// When the primary was first seen as leaving.
  std::optional<TimePoint> LeavingSince;
  PrimaryAbsences Absences;
  /// When one of its targets last refused work because of load.
  std::optional<TimePoint> BusyAt;
};

/// Routes leases to the target pools and updates the state of groups from the
/// answers that are passed to handleAnswers(). Not synchronised.
class Groups final : public LeaseHost {
public:
  Groups(Locality self, TargetPort &port, RelayPort &relay, const Clock &clock);

  /// \param targets the platform's complete list.
  void updateTargets(const TargetList &targets);
  /// \param byAccount whether each connection serves one client account.
  void applySettings(const std::map<GroupName, GroupSettings> &settings,
                     bool byAccount = false);
  /// \param limit time in which a leaving target may get new work.
  void setLeavingLimit(milliseconds limit) { LeavingLimit = limit; }
  /// \param live daemons among which the targets' connections are divided.
  void setMembers(const std::vector<Member> &live);

  LeaseId begin(const LeaseRequest &request, Batch first,
                OnBatch done) override;
  void run(LeaseId lease, Batch next, OnBatch done) override;
  void abandon(LeaseId lease) override;
  /// Begins a lease on a connection held by this daemon, for another daemon.
  /// \return an invalid id if the target is unknown.
  LeaseId beginHere(const LeaseRequest &request, Batch first, OnBatch done);
  /// \return whether this daemon holds the lease and no batch is in progress.
  bool isHeldHere(LeaseId lease);

  TargetPool *pool(const TargetName &target);
  Group *find(const GroupName &name);
  std::map<GroupName, std::unique_ptr<Group>> &all() { return ByName; }
  /// Marks a group as used, so that tick() keeps its log head fresh.
  Group *markUsed(const GroupName &name);
  /// \return the primary that accepts new work now; empty if writes must wait.
  std::optional<TargetName> writablePrimary(const Group &group) const;
  /// \return the primary to which a statement can be sent now.
  std::optional<TargetName> usablePrimary(const Group &group) const;
  /// Records whether the group has a usable primary.
  const PrimaryAbsences &notePrimary(Group &group) const;
  /// \return whether a target is known, reachable and not leaving.
  bool isUsable(const TargetName &target) const;
  /// \return since when all paths to the target have failed; empty if one
  /// works.
  std::optional<TimePoint> unreachableSince(const TargetName &target) const;
  const TargetEntry *entry(const TargetName &target) const;
  std::vector<Candidate> candidates(const Group &group);
  /// Updates the group's leader and log positions from the answers of a batch.
  /// \param plain whether the batch's transaction may write.
  void handleAnswers(Group &group, const TargetName &target, const Batch &batch,
                     const BatchResult &result, bool plain, TimePoint sent);
  /// Called with the time that each lease waited for a connection here.
  std::function<void(Duration)> OnWaited;
  /// Called for each lease that a queue here has refused.
  std::function<void(QueueRefusal)> OnRefused;
  /// Called when a group's leader becomes known.
  std::function<void(const GroupName &)> OnLeaderKnown;
  void tick();
  /// \return the sums over all targets; of MostByAccount the maximum.
  PoolStats poolStats() const;

  /// Runs \p action on the pools that may hold the target's connections.
  template <class Action>
  void withPools(const TargetName &target, Action action) {
    if (auto *it = pool(target))
      action(*it);
    for (auto &it : Retired)
      if (it->target().Name == target)
        action(*it);
  }

private:
  /// \return the connection holder to use for the target now.
  VmName choosePath(const TargetName &target, const AccountName &account);
  LeaseId beginVia(const VmName &by, const LeaseRequest &request, Batch first,
                   OnBatch done);
  /// Fails a batch that has no connection, at the next tick.
  void failLater(OnBatch done);
  /// \param leaving time since the primary was first seen as leaving.
  bool acceptsWorkWhileLeaving(Duration leaving) const;
  void queryLeader(const TargetName &target);
  /// Queries the applied positions of replicas that are known to lag.
  void queryApplied(Group &group, TimePoint now);
  void queryLeaderVia(const VmName &by, const TargetName &target);
  void tickGroup(Group &group, TimePoint now);
  void probeFailedPaths();
  void assignConnections();
  Distance distanceTo(const TargetEntry &target) const;
  TargetPool *poolOf(LeaseId lease);

  Locality Self;
  TargetPort &Port;
  RelayPort &Relay;
  const Clock &Time;
  milliseconds LeavingLimit = limits::LeavingLimit;
  bool ByAccount = false; ///< Each connection serves one client account.
  HolderRanks Ranks;
  std::uint64_t LastLease = 0;
  std::vector<OnBatch> UnservedBatches;
  std::uint64_t Seed = 1;
  TargetList Targets;
  std::map<TargetName, std::unique_ptr<TargetPool>> Pools;
  /// Shared with leases in progress, which may outlive this object.
  std::shared_ptr<PathTable> SharedPaths = std::make_shared<PathTable>();
  PathTable &PathsByTarget = *SharedPaths;
  /// Pools of removed targets, until their last lease has ended.
  std::vector<std::unique_ptr<TargetPool>> Retired;
  std::map<GroupName, std::unique_ptr<Group>> ByName;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GROUPS_H
