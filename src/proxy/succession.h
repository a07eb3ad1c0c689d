/// \file
/// Who replaces a group's primary, when, and by which replica. One daemon
/// holds the duty at a time; a record in the platform's store names it.

#ifndef PERIDOTFALL_PROXY_SUCCESSION_H
#define PERIDOTFALL_PROXY_SUCCESSION_H

#include "peridotfall/membership.h"
#include "proxy/groups.h"
#include "proxy/metrics.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// A primary that the holder of the duty has not reached for so long is
/// replaced. Longer than a pause of the network or a full queue, which hold
/// an answer up by 150 ms at most; each tenth of a second is a gap in writes.
inline constexpr milliseconds SuspectAfter{600};
/// A daemon that was not running for longer than this knows nothing of the
/// present; its suspicions begin anew.
inline constexpr milliseconds LongTick{300};
/// Longest wait for the other daemons' word and the list of targets; a little
/// more than the two calls may take.
inline constexpr milliseconds EvidenceWait{400};
/// Longest wait for the replicas' word on how much they have received.
inline constexpr milliseconds ChoiceLimit{200};
/// Longest wait for a replica that does not say how much it has received.
/// Harm without it: acknowledged records that only that one has are lost for
/// a pause of its own. Reason: one lost packet and its second try.
inline constexpr milliseconds SilentReplicaLimit{700};
/// The same in a group whose commits are acknowledged once one replica has
/// them: any replica may be the one. Reason: longer than the time after which
/// the entry of a target that is gone for good is removed, which ends the wait.
inline constexpr milliseconds SilentReplicaOfSyncedLimit{5'000};
/// Longest wait for a replica to receive what a leaving primary has.
inline constexpr milliseconds CatchUpLimit{2'500};
/// Between a leaving primary's notice and the choice: writes that the other
/// daemons had sent before they knew are answered by then.
inline constexpr milliseconds HandoverSettle{120};
/// After a promotion was accepted, until another is tried: longer than one
/// takes to be carried out.
inline constexpr milliseconds PromotionSettle{2'000};
/// A call of the platform that is silent for so long is made again beside the
/// first, so many at once at most. Load: answers of the platform that are
/// lost. Harm without it: the group has no primary until the call's limit is
/// over. Reason: some times what a call takes; all carry the same number for
/// the same target, so whichever is carried out, the outcome is the same.
inline constexpr milliseconds PromotionHedge{150};
inline constexpr unsigned MostPromotionCalls = 3;
/// Pause after a promotion failed.
inline constexpr milliseconds PromotionPause{200};
/// A holder of the duty that no daemon has heard of for so long has lost it.
/// No page gives the span within which two may not take turns; this one is
/// longer than the pause in which a live holder is suspected wrongly.
inline constexpr milliseconds DutyLease{3'000};
/// Part of the lease during which the store must have been reached. Harm
/// without it: a daemon that was cut from the holder and from the store takes
/// the duty the moment the cut heals, before it has heard the holder again.
/// Reason: twice the time between two probes of a member.
inline constexpr milliseconds DutyConfirm{1'000};
/// Between the steps of the daemons that may take the duty over, so that the
/// first one's claim is seen before the next one makes its own.
inline constexpr milliseconds DutyStagger{400};
/// Pause after a claim that did not get through.
inline constexpr milliseconds DutyRetry{500};
/// Numbers taken beforehand, so that primaries can be replaced while the
/// store is away; and how many must be left before more are taken.
inline constexpr std::uint64_t NumbersTaken = 64;
inline constexpr std::uint64_t NumbersLeft = 32;

} // namespace limits

/// Who holds the duty, and the numbers that promotions may carry. A number is
/// used for one target only: a call without an answer may be carried out
/// later, and must then be older than the choice that followed it.
struct DutyRecord {
  VmName Holder;
  std::uint64_t Incarnation = 0;
  std::uint64_t First = 0; ///< Least number of this holder.
  std::uint64_t Last = 0;

  auto operator<=>(const DutyRecord &) const = default;
};

enum class CallOutcome : std::uint8_t { Done, Refused, Unknown };

/// What the other daemons say of a group's primary.
struct PeerEvidence {
  std::size_t Answered = 0;
  std::size_t Reach = 0; ///< Of these, how many reach it.

  auto operator<=>(const PeerEvidence &) const = default;
};

/// Calls on the platform and on other daemons. Each is answered once, by the
/// method named; never from within the call.
class SuccessionPort {
public:
  virtual ~SuccessionPort() = default;
  /// \param revision that the record has; 0: there is none. takeWritten.
  virtual void writeRecord(const DutyRecord &record,
                           std::uint64_t revision) = 0;
  /// takeRecord follows.
  virtual void readRecord() = 0;
  /// takePromoted.
  virtual void promote(const GroupName &group, const TargetName &target,
                       std::uint64_t number) = 0;
  /// takeTargetsRead, whether the store answered or not: another holder may
  /// have replaced the primary already.
  virtual void readTargets() = 0;
  /// takeEvidence.
  virtual void askPeers(const GroupName &group) = 0;
};

/// Not synchronised.
class Succession {
public:
  Succession(Place self, std::uint64_t incarnation, Groups &groups,
             SuccessionPort &port, ProxyMetrics &metrics, const Clock &clock);

  /// \param record nothing: there is none.
  void takeRecord(const std::optional<DutyRecord> &record,
                  std::uint64_t revision);
  void takeWritten(CallOutcome outcome);
  void takeMembers(const std::vector<Member> &live);
  /// \param number that the call carried; nothing: that of the last one. The
  /// answer to an older choice is passed over.
  void takePromoted(const GroupName &group, CallOutcome outcome,
                    std::optional<std::uint64_t> number = std::nullopt);
  void takeEvidence(const GroupName &group, const PeerEvidence &evidence);
  void takeTargetsRead();
  void tick();

  bool holds() const;
  /// Of this daemon; before it holds the duty.
  void raiseIncarnation(std::uint64_t incarnation) {
    Incarnation = incarnation;
  }

private:
  enum class Step : std::uint8_t {
    Watching,
    Asking,
    Choosing,
    Calling,
    Settling
  };
  struct Change {
    Step At = Step::Watching;
    TimePoint Since{};
    TimePoint NotBefore{};
    bool Planned = false;
    std::optional<PeerEvidence> Evidence;
    bool TargetsRead = false;
    std::map<TargetName, TargetStatus> Heard;
    std::set<TargetName> Asked;
    std::set<TargetName> Failed; ///< Promotions that did not take.
    TargetName Chosen;
    std::uint64_t Number = 0;
    unsigned Calls = 0;
    unsigned Unanswered = 0; ///< Of these.
    TimePoint LastCall{};
  };

  void tickDuty(TimePoint now);
  void seeHolder();
  void forgetSuspicions();
  void missHolder(TimePoint now);
  void claim(TimePoint now);
  void extend();
  std::optional<std::size_t> rank() const;
  void tickGroup(const GroupName &name, Group &group, TimePoint now);
  void watch(const GroupName &name, Group &group, Change &change,
             TimePoint now);
  void decide(const GroupName &name, Group &group, Change &change,
              TimePoint now);
  void beginChoice(const GroupName &name, Group &group, Change &change);
  void askStatus(const GroupName &name, Group &group, Change &change);
  void choose(const GroupName &name, Group &group, Change &change,
              TimePoint now);
  void beginCalls(const GroupName &name, Change &change);
  void call(const GroupName &name, Change &change);

  Place Self;
  std::uint64_t Incarnation;
  Groups &Targets;
  SuccessionPort &Port;
  ProxyMetrics &Counts;
  const Clock &Time;
  std::optional<DutyRecord> Record;
  std::uint64_t Revision = 0;
  bool Known = false; ///< The record, or that there is none.
  bool Writing = false;
  std::uint64_t NextNumber = 0;
  std::vector<Member> Live;
  TimePoint HolderSeen{};
  bool StoreAsked = false;               ///< Since the holder is missed.
  std::optional<TimePoint> StoreReached; ///< And when it answered.
  TimePoint NextClaim{};
  TimePoint LastTick{};
  std::map<GroupName, Change> Changes;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SUCCESSION_H
