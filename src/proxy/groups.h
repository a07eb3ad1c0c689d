/// \file
/// The groups of targets as one daemon uses them: connections, who leads,
/// where a read goes.

#ifndef PERIDOTFALL_PROXY_GROUPS_H
#define PERIDOTFALL_PROXY_GROUPS_H

#include "peridotfall/membership.h"
#include "peridotfall/placement.h"
#include "proxy/group_view.h"
#include "proxy/paths.h"
#include "proxy/target_pool.h"

#include <functional>
#include <memory>
#include <set>

namespace peridotfall::proxy {

namespace limits {

/// Between two questions of a group who leads, while nobody is known to.
inline constexpr milliseconds LeadCheckPause{100};
/// A group that is in use is asked for its log's head when the last proof of
/// it is older than this. Reason: a third of the shortest usual staleness
/// bound of 1.5 s, so that one lost question costs no read its replica.
inline constexpr milliseconds HeadRefresh{500};
/// A replica that is behind by so much or more gets few reads or none, so that
/// its answers do not tell when it has caught up: it is asked for its position,
/// with this pause between.
inline constexpr milliseconds LargeLag{500};
inline constexpr milliseconds AppliedCheckPause{250};
/// A group that nobody asked for so long is not in use.
inline constexpr milliseconds GroupIdle{5'000};
/// Longest run of a question; far above a round trip of 16 ms.
inline constexpr milliseconds LeadCheckLimit{300};
/// After a planned hand-over began, writes are held until a new primary is
/// known, for this long at most. A promotion takes 0.3 to 1 s.
inline constexpr milliseconds HandoverHold{2'500};
/// Time in which a leaving target may get new work, where no setting names it;
/// and the part of it that its notice and the last work may travel.
inline constexpr milliseconds LeavingLimit{7'000};
inline constexpr milliseconds LeavingReserve{1'000};

} // namespace limits

/// Where this daemon stands.
struct Place {
  VmName Vm;
  DomainName Domain;
  RegionName Region;

  auto operator<=>(const Place &) const = default;
};

/// Leases of connections that other daemons hold.
class RelayPort {
public:
  virtual ~RelayPort() = default;
  /// \param lease this daemon's id of it.
  virtual void begin(const VmName &holder, LeaseId lease,
                     const LeaseRequest &request, Batch first,
                     OnBatch done) = 0;
  virtual void run(LeaseId lease, Batch next, OnBatch done) = 0;
  virtual void abandon(LeaseId lease) = 0;
  virtual bool owns(LeaseId lease) const = 0;
};

using PathBook = std::map<TargetName, Paths>;

struct Group {
  explicit Group(std::uint64_t seed) : Reads(seed) {}

  GroupSettings Settings;
  GroupView View;
  Placement Reads;
  std::vector<TargetEntry> Targets;
  std::optional<TimePoint> UsedAt;
  TimePoint NextLeadCheck{};
  TimePoint NextAppliedCheck{};
  std::optional<TimePoint> LeaderMissing; ///< Since when nobody leads.
  std::optional<TimePoint> LeavingSince;  ///< The primary's draining was seen.
};

/// What a lease of a pool was used for is reported here, so that beliefs
/// follow from answers. Not synchronised.
class Groups final : public LeaseHost {
public:
  Groups(Place self, TargetPort &port, RelayPort &relay, const Clock &clock);

  /// Takes the platform's list, whole.
  void takeTargets(const TargetList &targets);
  void takeSettings(const std::map<GroupName, GroupSettings> &settings);
  /// \param limit time in which a leaving target may get new work.
  void setLeavingLimit(milliseconds limit) { LeavingLimit = limit; }
  /// \param live daemons, that share the targets' connections.
  void setMembers(const std::vector<Member> &live);

  LeaseId begin(const LeaseRequest &request, Batch first,
                OnBatch done) override;
  void run(LeaseId lease, Batch next, OnBatch done) override;
  void abandon(LeaseId lease) override;
  /// The same for a connection that this daemon holds; for other daemons.
  /// \return an invalid id where the target is not known.
  LeaseId beginHere(const LeaseRequest &request, Batch first, OnBatch done);
  /// \return whether a lease is held here with no batch under way.
  bool isHeldHere(LeaseId lease);

  TargetPool *pool(const TargetName &target);
  Group *find(const GroupName &name);
  std::map<GroupName, std::unique_ptr<Group>> &all() { return ByName; }
  /// Marks a group as used, and asks for its log's head when none is fresh.
  Group *use(const GroupName &name);
  /// \return the primary that may take new work now; nothing: hold it.
  std::optional<TargetName> writable(const Group &group) const;
  /// \return whether a target can be asked at all.
  bool isUsable(const TargetName &target) const;
  /// \return since when no daemon could reach the target for this one.
  std::optional<TimePoint> unreachableSince(const TargetName &target) const;
  const TargetEntry *entry(const TargetName &target) const;
  std::vector<Candidate> candidates(const Group &group);
  /// Learns from the answers of a batch who leads and how far the log is.
  /// \param plain whether the batch's transaction is one that may write.
  void learn(Group &group, const TargetName &target, const Batch &batch,
             const BatchResult &result, bool plain, TimePoint sent);
  /// Called with how long each lease has waited for a connection here.
  std::function<void(Duration)> OnWaited;
  /// Called whenever a group's leader becomes known.
  std::function<void(const GroupName &)> OnLeader;
  void tick();
  /// \return the sums over all targets.
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
  /// \return by which daemon the target is asked now.
  VmName pathTo(const TargetName &target);
  LeaseId beginBy(const VmName &by, const LeaseRequest &request, Batch first,
                  OnBatch done);
  /// Ends a batch at the next tick: there is no connection for it.
  void endLater(OnBatch done);
  /// \param leaving time since the primary's notice.
  bool mayWorkLeaving(Duration leaving) const;
  void askLead(const TargetName &target);
  /// Asks the replicas that are known to be behind what they have applied.
  void askApplied(Group &group, TimePoint now);
  void askLeadBy(const VmName &by, const TargetName &target);
  void tickGroup(Group &group, TimePoint now);
  void probePaths();
  void share();
  Distance distanceTo(const TargetEntry &target) const;
  TargetPool *poolOf(LeaseId lease);

  Place Self;
  TargetPort &Port;
  RelayPort &Relay;
  const Clock &Time;
  milliseconds LeavingLimit = limits::LeavingLimit;
  std::vector<Member> Live;
  std::uint64_t LastLease = 0;
  std::vector<OnBatch> Ending;
  std::uint64_t Seed = 1;
  TargetList Targets;
  std::map<TargetName, std::unique_ptr<TargetPool>> Pools;
  /// Shared with what is under way, which may end after this.
  std::shared_ptr<PathBook> Book = std::make_shared<PathBook>();
  PathBook &Ways = *Book;
  /// Of targets that are gone, until their last lease has ended.
  std::vector<std::unique_ptr<TargetPool>> Retired;
  std::map<GroupName, std::unique_ptr<Group>> ByName;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GROUPS_H
