/// \file
/// The groups of targets as one daemon sees them: connections, primaries and
/// where reads can be sent. A daemon of a large fleet uses few of its groups at
/// a time. Work that is repeated, and queries of targets, are for these only;
/// for all others the platform's list is kept and nothing else.

#ifndef PERIDOTFALL_PROXY_GROUPS_H
#define PERIDOTFALL_PROXY_GROUPS_H

#include "peridotfall/membership.h"
#include "peridotfall/placement.h"
#include "proxy/group_view.h"
#include "proxy/holder_paths.h"
#include "proxy/holder_ranks.h"
#include "proxy/primary_wait.h"
#include "proxy/target_pool.h"
#include "proxy/write_hold.h"

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
/// The log head is queried only once a group has been in use for this long: in
/// a large fleet most uses of a group by a daemon are single ones, and each
/// would be followed by ten queries that serve nobody.
inline constexpr milliseconds SteadyUse = MaxHeadAge;
/// The paths to a target that was not used for this long are forgotten.
inline constexpr milliseconds TargetIdle{15'000};
/// Groups that the failover leader queries in one tick only because their
/// primary is missing. With ticks of 20 ms, 50 in a second, which is also the
/// rate at which the platform changes primaries. Without the limit, the loss of
/// a region would have it query the targets of a third of all groups ten times
/// a second.
inline constexpr std::size_t MaxWatchedPerTick = 1;
/// A daemon reports a missing primary to the failover leader this long after it
/// found it missing; one that answers late is not reported.
inline constexpr milliseconds MissingReportDelay{100};
/// Between two reports; below GroupIdle, for which the leader then counts the
/// group as used.
inline constexpr milliseconds MissingReportPause{2'500};
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
/// Daemons beyond the planned connection holders that are told of a hold.
/// Members that came or went a moment ago shift the ranks by a few.
inline constexpr std::size_t HoldMargin = 8;

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

/// How a target in use is reached: the daemons that hold connections to it, and
/// this daemon's own connections.
struct TargetAccess {
  HolderPaths Paths;
  std::unique_ptr<TargetPool> Pool;
  std::uint64_t PlanVersion = 0; ///< Of the plan in Paths and Pool.
  TimePoint UsedAt{};
};
using AccessTable = std::map<TargetName, TargetAccess>;

/// Changes of the platform's list of targets.
struct TargetChanges {
  std::vector<TargetEntry> Updated; ///< New ones included.
  std::vector<TargetName> Removed;
};

struct Group {
  Group(GroupName name, std::uint64_t seed)
      : Name(std::move(name)), ReadPlacement(seed) {}

  GroupName Name;
  GroupSettings Settings;
  bool IsConfigured = false; ///< A configuration has named it.
  GroupView View;
  Placement ReadPlacement;
  std::vector<TargetEntry> Targets;
  std::optional<TimePoint> UsedAt;
  TimePoint UsedSince{}; ///< Begin of the uses without a gap of GroupIdle.
  bool IsActive = false; ///< tick() works on it.
  TimePoint NextLeaderQuery{};
  TimePoint NextAppliedQuery{};
  TimePoint NextMissingReport{};
  /// When the primary became unknown or unreachable.
  std::optional<TimePoint> LeaderMissingSince;
  /// When the primary was first seen as leaving. It may have been leaving
  /// before it became primary.
  std::optional<TimePoint> LeavingSince;
  /// Last known head of the primary's log when a replica was last lost, also by
  /// a restart.
  std::optional<Position> HeadAtLoss;
  PrimaryAbsences Absences;
  HeldWrites Held;
  /// When one of its targets last refused work because of load.
  std::optional<TimePoint> BusyAt;
};

/// What a primary is to be used for. Held writes don't keep reads from it.
enum class PrimaryUse : std::uint8_t { Read, Write };

/// Routes leases to the target pools and updates the state of groups from the
/// answers that are passed to handleAnswers(). Not synchronised.
class Groups final : public LeaseHost {
public:
  Groups(Locality self, TargetPort &port, RelayPort &relay, const Clock &clock);

  /// \param targets the platform's complete list.
  void updateTargets(const TargetList &targets);
  /// The same for changes of the list. Takes time for these and their groups
  /// only.
  void applyTargetChanges(const TargetChanges &changes);
  /// \param byAccount whether each connection serves one client account.
  void applySettings(const std::map<GroupName, GroupSettings> &settings,
                     bool byAccount = false);
  /// \param limit time in which a leaving target may get new work.
  void setLeavingLimit(milliseconds limit) { LeavingLimit = limit; }
  /// \param live daemons among which the targets' connections are divided.
  void setMembers(const std::vector<Member> &live);
  /// \param watches whether this daemon looks after the groups that it does not
  /// use: the failover leader does.
  void setWatchesAll(bool watches);
  /// \return whether the group's primary is looked after. Another program's
  /// entry may be of a group that no configuration names; as long as there is
  /// no configuration, all are looked after.
  bool isLookedAfter(const Group &group) const {
    return group.IsConfigured || !HasSettings;
  }

  LeaseId begin(const LeaseRequest &request, Batch first,
                OnBatch done) override;
  void run(LeaseId lease, Batch next, OnBatch done) override;
  void abandon(LeaseId lease) override;
  /// Begins a lease on a connection held by this daemon, for another daemon.
  /// \return an invalid id if the target is unknown.
  LeaseId beginHere(const LeaseRequest &request, Batch first, OnBatch done);
  /// \return whether this daemon holds the lease and no batch is in progress.
  bool isHeldHere(LeaseId lease);

  Group *find(const GroupName &name);
  /// \return the groups in use; if this daemon watches all, also those whose
  /// primary is missing or leaving.
  const std::vector<Group *> &active() const { return Active; }
  /// Marks a group as used, so that tick() keeps its log head fresh.
  Group *markUsed(const GroupName &name);
  /// Asks the group's primary whether it leads.
  /// \param done told whether it does; also called if no primary is known.
  void checkPrimary(Group &group, milliseconds limit,
                    std::function<void(bool)> done);
  /// Another daemon reports that the group's primary is missing there. If this
  /// daemon watches all, it queries the primary by all paths.
  void handleMissingReport(const GroupName &name);
  /// \return the primary that accepts new work now; empty if writes must wait.
  std::optional<TargetName> writablePrimary(const Group &group) const;
  /// \return the primary to which a statement can be sent now.
  std::optional<TargetName> usablePrimary(const Group &group,
                                          PrimaryUse use) const;
  /// Applies a hold of the failover leader to this daemon's connections.
  /// \param held called once no commit is under way on them; it may be called
  /// from within this function.
  /// \return whether the hold is in force or over; if not, a later one is.
  bool hold(const WriteHold &hold, std::function<void()> held);
  /// Applies the failover leader's answer to a query: holds that it does not
  /// keep any more are over.
  void handleHolds(const HoldList &kept);
  /// \return whether no hold can be in force that this daemon was not told of.
  bool knowsHolds() const { return !HoldsUnknownUntil; }
  /// \return the holds in force here.
  std::vector<WriteHold> holds() const;
  /// \return the daemons that may have connections to the group's targets.
  std::vector<VmName> connectionHolders(const Group &group);
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
  /// Called while holds are unknown or old here, every HoldQueryPause.
  std::function<void()> OnHoldsUnknown;
  /// Called when a group's leader becomes known.
  std::function<void(const GroupName &)> OnLeaderKnown;
  /// Called when the primary of a group in use is missing, every
  /// MissingReportPause.
  std::function<void(const GroupName &)> OnPrimaryMissing;
  void tick();
  /// \return the sums over all targets; of MostByAccount the maximum.
  PoolStats poolStats() const;

  /// Runs \p action on the pool that holds the connection, if one does. A
  /// target whose entry went and came back has two pools.
  template <class Action>
  void withPool(const TargetName &target, ConnectionId connection,
                Action action) {
    noteSuspension();
    if (auto *it = poolOf(target, connection))
      action(*it);
  }

private:
  /// A hold to be confirmed once no commit is under way.
  struct Draining {
    GroupName Group;
    HoldId Id;
    TimePoint Until;
    std::function<void()> Held;
  };

  HolderPlan planOf(const Group &group, const TargetEntry &target) const;
  bool isHeld(const TargetEntry &target) const;
  /// Calls \p action on all pools whose writes are held.
  template <class Action> void forHeldPools(Action action);
  void updateHeldPools();
  /// A suspended daemon may have missed a hold: no success of a write that was
  /// under way meanwhile is passed on.
  void noteSuspension();
  /// \return whether the hold is confirmed.
  bool tickDraining(Draining &it, TimePoint now);
  void tickHolds(TimePoint now);
  std::unique_ptr<TargetPool> makePool(const TargetEntry &target);
  /// \return the access to a known target, according to the current plan.
  TargetAccess *access(const TargetName &target);
  /// Plans which daemons hold the target's connections.
  void assignConnections(const TargetEntry &target, TargetAccess &it);
  void tickAccesses(TimePoint now);
  Group &groupOf(const GroupName &name);
  /// \return the groups whose targets have changed.
  std::set<GroupName> updateTarget(const TargetEntry &entry);
  void updateGroup(Group &group);
  void activate(Group &group);
  /// Updates what is known of the primary, without a query.
  void notePrimaryState(Group &group, TimePoint now);
  bool needsAttention(const Group &group, TimePoint now) const;
  static bool isUsed(const Group &group, TimePoint now);
  /// \return whether the group's log head is to be kept fresh by queries.
  bool isHeadWanted(const Group &group, TimePoint now) const;
  void reportIfMissing(Group &group, TimePoint now);
  /// \return the connection holder to use for the target now.
  VmName choosePath(const TargetName &target, const AccountName &account);
  LeaseId beginVia(const VmName &by, const LeaseRequest &request, Batch first,
                   OnBatch done);
  /// Fails a batch that has no connection, at the next tick.
  void failLater(OnBatch done);
  bool acceptsWorkWhileLeaving(const Group &group,
                               const TargetName &primary) const;
  /// The target is gone, or another process has taken its name.
  void noteLost(const TargetEntry &entry);
  /// \param known its entry so far; null if it was not listed.
  void noteLeaving(const TargetEntry &entry, const TargetEntry *known);
  void queryLeader(const TargetName &target);
  /// Queries the applied positions of replicas that are known to lag.
  void queryApplied(Group &group, TimePoint now);
  void queryLeaderVia(const VmName &by, const TargetName &target);
  bool tickGroup(Group &group, TimePoint now, bool mayQueryUnused);
  void tickActive(TimePoint now);
  void probeFailedPaths(TimePoint now);
  Distance distanceTo(const TargetEntry &target) const;
  TargetPool *poolOf(LeaseId lease);
  TargetPool *poolOf(const TargetName &target, ConnectionId connection);

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
  /// When each leaving target was first seen as leaving; empty if it was when
  /// this daemon first saw it.
  std::map<TargetName, std::optional<TimePoint>> LeavingSince;
  /// Shared with leases in progress, which may outlive this object.
  std::shared_ptr<AccessTable> SharedAccesses = std::make_shared<AccessTable>();
  /// Of the targets in use.
  AccessTable &Accesses = *SharedAccesses;
  /// Changes with the members and with the settings of a group.
  std::uint64_t PlanVersion = 1;
  bool WatchesAll = false;
  bool HasSettings = false;    ///< A configuration is known.
  bool AnyWaits = false;       ///< A group's commits wait for replicas.
  std::size_t NextWatched = 0; ///< Index in Active.
  /// Pools of removed targets, until their last lease has ended.
  std::vector<std::unique_ptr<TargetPool>> Retired;
  std::map<GroupName, std::unique_ptr<Group>> ByName;
  std::vector<Group *> Active;
  std::set<GroupName> WithHold; ///< Groups with a hold in force here.
  std::vector<Draining> DrainingHolds;
  /// Until then a hold may be in force that this daemon was not told of.
  std::optional<TimePoint> HoldsUnknownUntil;
  TimePoint NextHoldQuery{};
  TimePoint LastTick{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GROUPS_H
