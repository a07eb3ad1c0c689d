/// \file
/// Replaces failed and leaving primaries. One daemon at a time, the failover
/// leader, decides this for all groups; a record in the platform's store names
/// it.

#ifndef PERIDOTFALL_PROXY_FAILOVER_CONTROLLER_H
#define PERIDOTFALL_PROXY_FAILOVER_CONTROLLER_H

#include "peridotfall/membership.h"
#include "peridotfall/result.h"
#include "proxy/groups.h"
#include "proxy/metrics.h"
#include "proxy/successor.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// A primary that the failover leader has not reached for this long is
/// suspected. Network pauses and full queues delay an answer by 150 ms at most;
/// a longer time adds to the interruption of writes.
inline constexpr milliseconds SuspectAfter{600};
/// For the peer reports and the list of targets; slightly longer than the
/// timeouts of the two calls.
inline constexpr milliseconds PeerReportTimeout{400};
/// For the replicas' answers on how much of the log they have received.
inline constexpr milliseconds StatusTimeout{200};
/// Delay between seeing a primary as leaving and selecting its successor. By
/// then the writes are answered that other daemons sent before they saw it.
inline constexpr milliseconds HandoverDelay{120};
/// After a promotion was accepted, until the next attempt; longer than the
/// platform takes to carry one out.
inline constexpr milliseconds PromotionSettleTimeout{2'000};
/// A promotion call without an answer for this long is repeated in parallel,
/// up to MaxPromotionCalls at once. Otherwise a lost answer leaves the group
/// without a primary until the call times out. The delay is several times the
/// usual duration of a call. All calls have the same number and target, so the
/// outcome is the same whichever is carried out.
inline constexpr milliseconds PromotionHedgeDelay{150};
inline constexpr unsigned MaxPromotionCalls = 3;
/// After a failed promotion.
inline constexpr milliseconds PromotionRetryPause{200};
/// Between two rounds of queries of all replicas.
inline constexpr milliseconds StatusRoundPause{50};
/// A promotion that waits longer than this for a replica is reported.
inline constexpr milliseconds SuccessorReportDelay{1'000};
/// Failed primaries replaced at once. The platform takes 50 promotions a
/// second, and a change takes about one; each asks MaxPeersQueried daemons.
inline constexpr std::size_t MaxParallelChanges = 64;
/// Of these, begun in one tick. The calls for hundreds of groups at once would
/// keep a small VM from answering anything else for seconds.
inline constexpr std::size_t MaxSuspectedPerTick = 2;
/// The same as SuspectAfter for a group whose primary has not been listed since
/// this daemon started: when a fleet starts, targets register one after the
/// other. Longer than three of their heartbeats, after which an entry is gone.
inline constexpr milliseconds UnlistedPrimaryTimeout{6'000};
/// A failover leader that has been missing from the live members for this long
/// may be replaced. The platform's documentation gives no minimum time between
/// two leaders; this is longer than the pauses during which a live leader is
/// wrongly suspected.
inline constexpr milliseconds LeadershipLease{3'000};
/// Final part of the lease, which starts only after the store has answered.
/// Without it, a daemon that was partitioned from the leader and the store
/// claims leadership as soon as the partition ends, before it hears from the
/// leader again. Twice the interval between two probes of a member.
inline constexpr milliseconds LeadershipConfirmation{1'000};
/// Added for each rank of the daemons that may become leader, so that the
/// first one's claim is visible before the next one claims.
inline constexpr milliseconds LeadershipStagger{400};
/// Between two attempts to read or write the record.
inline constexpr milliseconds LeadershipRetryPause{500};
/// Promotion numbers reserved in advance, so that primaries can be replaced
/// while the store is unavailable; below MinNumbersLeft more are reserved.
inline constexpr std::uint64_t ReservedNumbers = 64;
inline constexpr std::uint64_t MinNumbersLeft = 32;
/// No write of the record may grant more numbers, whatever the version: where
/// the record was overwritten or removed, its revision or the store's times
/// this is above all numbers that were granted.
inline constexpr std::uint64_t MaxNumbersPerWrite = 256;
static_assert(ReservedNumbers < MaxNumbersPerWrite);

} // namespace limits

/// The failover leader and its range of promotion numbers. A number is used
/// for one target only: a call without an answer may be carried out late, and
/// must then have a lower number than the decision that followed it.
struct LeadershipRecord {
  VmName Holder;
  std::uint64_t Incarnation = 0;
  std::uint64_t First = 0; ///< Lowest promotion number of this holder.
  std::uint64_t Last = 0;  ///< Highest.

  auto operator<=>(const LeadershipRecord &) const = default;
};

enum class CallOutcome : std::uint8_t { Done, Refused, Unknown };

/// The other daemons' reports on a group's primary.
struct PeerReports {
  std::size_t Answered = 0;
  std::size_t Reachable = 0; ///< Of these, how many reach the primary.

  auto operator<=>(const PeerReports &) const = default;
};

/// Calls to the platform and to other daemons. Each is answered once, through
/// the method of FailoverController that its comment names, and never from
/// within the call.
class FailoverPort {
public:
  virtual ~FailoverPort() = default;
  /// Answered by handleWritten.
  /// \param revision of the stored record; 0 if there is none.
  virtual void writeRecord(const LeadershipRecord &record,
                           std::uint64_t revision) = 0;
  /// Answered by handleRecord.
  virtual void readRecord() = 0;
  /// Answered by handlePromoted.
  virtual void promote(const GroupName &group, const TargetName &target,
                       std::uint64_t number) = 0;
  /// Answered by handleTargetsRead, whether or not the store answered. Needed
  /// because another leader may already have replaced the primary.
  virtual void readTargets() = 0;
  /// Answered by handlePeerReports.
  virtual void queryPeers(const GroupName &group) = 0;
  /// Answered by handleHoldAnswer, unless the hold ends.
  virtual void holdWrites(const VmName &daemon, const WriteHold &hold) = 0;
};

/// Not synchronised.
class FailoverController {
public:
  FailoverController(Locality self, std::uint64_t incarnation, Groups &groups,
                     FailoverPort &port, ProxyMetrics &metrics,
                     const Clock &clock);

  /// \param record empty if the store has none.
  /// \param revision of the record, or else of the store.
  void handleRecord(const std::optional<LeadershipRecord> &record,
                    std::uint64_t revision);
  /// Another program has overwritten the record.
  void handleUnreadableRecord(const Error &why, std::uint64_t revision);
  void handleWritten(CallOutcome outcome);
  void updateMembers(const std::vector<Member> &live);
  /// \param number of the call; if empty, that of the last one. An answer to
  /// an older decision is ignored.
  void handlePromoted(const GroupName &group, CallOutcome outcome,
                      std::optional<std::uint64_t> number = std::nullopt);
  void handlePeerReports(const GroupName &group, const PeerReports &evidence);
  void handleTargetsRead();
  /// \param confirmed whether the daemon holds the writes.
  void handleHoldAnswer(const GroupName &group, HoldId hold,
                        const VmName &daemon, bool confirmed);
  /// Answers another daemon's query.
  /// \param theirs the holds in force there. Those of an earlier leader are
  /// taken over: a promotion that it has ordered may still be carried out.
  HoldList handleHoldQuery(const HoldList &theirs);
  void tick();

  bool isLeader() const;
  /// \return the failover leader; empty if none is known.
  VmName leader() const { return Record ? Record->Holder : VmName(); }
  /// Sets this daemon's incarnation; call only before it becomes leader.
  void raiseIncarnation(std::uint64_t incarnation) {
    Incarnation = incarnation;
  }

private:
  enum class Step : std::uint8_t {
    Watching,
    Confirming,
    Holding,
    Selecting,
    Promoting,
    Settling
  };
  /// Of the list of targets that confirms a failure.
  enum class ListState : std::uint8_t { None, Wanted, Reading, Read };
  struct Change {
    Step CurrentStep = Step::Watching;
    TimePoint Since{};
    TimePoint NotBefore{};
    bool Planned = false;
    std::optional<PeerReports> Reports;
    ListState TargetList = ListState::None;
    std::map<TargetName, TargetStatus> Statuses;
    /// Of queries of all replicas. Answers to earlier rounds are ignored.
    std::uint64_t Round = 0;
    TimePoint RoundAt{};
    bool WaitReported = false;
    /// Of a leaving primary. This daemon may not have used the group.
    std::optional<Position> PrimaryAt;
    std::set<TargetName> Pending;
    std::set<TargetName> FailedTargets; ///< Targets whose promotion failed.
    TargetName Chosen;
    std::uint64_t Number = 0;
    unsigned Calls = 0;
    unsigned Unanswered = 0; ///< Of Calls.
    TimePoint LastCall{};
    /// Of a group that waits for replicas, from before the first query until
    /// the change is over.
    std::optional<HoldRound> Hold;
    std::vector<VmName> Holders; ///< Connection holders.
    TimePoint HoldersAt{};       ///< When these were determined.
    /// A promotion without an answer, or one that was accepted and has had no
    /// effect yet, may be carried out at any time.
    bool HasOpenOrder = false;
    /// The present primary was ordered again, which makes the platform reject
    /// all earlier orders.
    bool KeepsPrimary = false;
  };

  void tickLeadership(TimePoint now);
  void noteHolderSeen();
  void restartSuspicions();
  void restartSelections();
  void handleMissingHolder(TimePoint now);
  void claimLeadership(TimePoint now);
  std::uint64_t nextFreeNumber() const;
  void reserveNumbers();
  /// \return this daemon's rank among those that may become leader; empty if it
  /// may not.
  std::optional<std::size_t> takeoverRank();
  void tickGroups(TimePoint now);
  void requestTargets();
  std::size_t unplannedChanges() const;
  void tickGroup(const GroupName &name, Group &group, TimePoint now);
  void detectFailure(const GroupName &name, Group &group, Change &change,
                     TimePoint now);
  void confirmFailure(const GroupName &name, Group &group, Change &change,
                      TimePoint now);
  /// Holds the group's writes first if its commits wait for replicas.
  void beginSelection(const GroupName &name, Group &group, Change &change);
  void beginHold(const GroupName &name, Group &group, Change &change);
  void tellHolders(Group &group, Change &change, TimePoint now);
  void awaitHold(const GroupName &name, Group &group, Change &change,
                 TimePoint now);
  void queryReplicas(const GroupName &name, Group &group, Change &change);
  /// \return whether a change that needs no promotion has ended, or goes on by
  /// ordering the present primary.
  bool endIfNeedless(const GroupName &name, Group &group, Change &change,
                     TimePoint now);
  void awaitTakeover(const GroupName &name, Group &group, Change &change,
                     TimePoint now);
  /// Ends the change and its hold.
  void endChange(Change &change);
  /// Takes over the holds of an earlier failover leader.
  void adoptHolds(const std::vector<WriteHold> &holds);
  /// \return a number for a promotion; nothing if none is left.
  std::optional<std::uint64_t> takeNumber(const GroupName &name, Change &change,
                                          TimePoint now);
  void queryStatus(const GroupName &name, Group &group, Change &change);
  void beginRound(Change &change);
  void queryAll(const GroupName &name, Group &group, Change &change);
  void selectReplica(const GroupName &name, Group &group, Change &change,
                     TimePoint now);
  void reportWait(const GroupName &name, const PrimaryChange &query,
                  Change &change);
  void beginPromotion(const GroupName &name, Change &change);
  void sendPromotion(const GroupName &name, Change &change);

  Locality Self;
  std::uint64_t Incarnation;
  Groups &Targets;
  FailoverPort &Port;
  ProxyMetrics &Metrics;
  const Clock &Time;
  std::optional<LeadershipRecord> Record; ///< The last one that was read.
  bool IsUnreadable = false;              ///< The record in the store now.
  std::uint64_t Revision = 0;
  bool RecordKnown = false; ///< Record is up to date, also if empty.
  bool Writing = false;
  std::uint64_t NextNumber = 0;
  std::uint64_t LastRound = 0;
  std::uint64_t Leadership = 0; ///< First number of this daemon's leadership.
  std::uint64_t LastHold = 0;
  std::vector<Member> Live;
  /// Of the present members, once it was computed.
  std::optional<std::optional<std::size_t>> TakeoverRank;
  TimePoint HolderSeenAt{};
  bool StoreQueried = false; ///< Since the leader has been missing.
  std::optional<TimePoint> StoreReachedAt; ///< When the store answered that.
  TimePoint NextClaim{};
  TimePoint LastTick{};
  std::map<GroupName, Change> Changes;
  bool ReadingTargets = false;
  std::size_t Unplanned = 0;    ///< Failed primaries being replaced.
  std::size_t SuspectedNow = 0; ///< In this tick.
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_FAILOVER_CONTROLLER_H
