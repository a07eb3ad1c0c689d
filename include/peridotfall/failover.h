/// \file
/// Failover of one database group as a pure state machine: its inputs are
/// observations with their time, its outputs are typed actions. Each daemon
/// that owns one of the group's targets runs one GroupState.

#ifndef PERIDOTFALL_FAILOVER_H
#define PERIDOTFALL_FAILOVER_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "peridotfall/result.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotfall::failover {

using std::chrono::milliseconds;

/// Intervals and limits of the state machine. Pauses of a primary, a link or a
/// daemon that are shorter than pauseLimit() cause no change of primary.
struct Timings {
  milliseconds ProbeInterval{150};   ///< Between probes of a target, +-20%.
  milliseconds SuspectAfter{600};    ///< Without an answer from a primary.
  milliseconds Stagger{300};         ///< Delay per rank before an owner acts.
  milliseconds StepRetry{100};       ///< Between two attempts at one step.
  milliseconds CampaignLimit{1'000}; ///< For all steps of one campaign.
  /// Time for which a target's term may exceed its primary's before the primary
  /// is promoted again.
  milliseconds RepromoteAfter{2'000};
  milliseconds HandoverLimit{500};   ///< Longest first hold of writes.
  milliseconds LeavingLimit{3'000};  ///< For replacing a leaving primary.
  milliseconds PublishRetry{1'000};  ///< Between calls to the platform.
  milliseconds RefreshEvery{60'000}; ///< Between reads of the group object.

  auto operator<=>(const Timings &) const = default;
};

/// Timings derived from the interval between probes. A longer interval causes
/// less traffic and detects a failed primary later.
Timings timingsFor(milliseconds probeInterval);

/// Longest pause that cannot cause a change of primary.
/// \param roundTrip the longest of a probe.
milliseconds pauseLimit(const Timings &timings, milliseconds roundTrip);

/// State that a target reports.
struct TargetReport {
  Term CurrentTerm = 0; ///< Highest accepted term.
  bool IsPrimary = false;
  Position Last; ///< Last record of its log.
  TargetName Following;
  bool Leaving = false;

  auto operator<=>(const TargetReport &) const = default;
};

/// One owner's observation of one target.
struct TargetObservation {
  bool Reachable = false; ///< It answered within SuspectAfter.
  TargetReport Report;    ///< Its last answer.
  Duration Age{};         ///< Of the last answer.

  auto operator<=>(const TargetObservation &) const = default;
};

using TargetObservations = std::map<TargetName, TargetObservation>;

/// A term and the only target that may be promoted in it.
struct Successor {
  Term InTerm = 0;
  TargetName Nominee;

  auto operator<=>(const Successor &) const = default;
};

/// The group's object in the platform store: the primary, and the terms
/// assigned in advance, in ascending order.
struct GroupObject {
  std::string Id; ///< Of this write; identifies it if the answer is lost.
  Term InTerm = 0;
  TargetName Primary;
  std::vector<Successor> Successors;

  auto operator<=>(const GroupObject &) const = default;
};

/// The group object with the version in which it was read.
struct VersionedObject {
  std::uint64_t Version = 0;
  GroupObject Value;

  auto operator<=>(const VersionedObject &) const = default;
};

std::string writeGroupObject(const GroupObject &it);
Parsed<GroupObject> parseGroupObject(const std::string &json);

/// Outcome of a step at a target or of a call to the platform.
enum class StepOutcome : std::uint8_t {
  Done,
  Refused, ///< The target accepted a higher term, or the version has changed.
  Unknown, ///< No answer: it may have taken effect.
};

// Actions. The driver performs each one and reports its result with the
// function named in the comment.

struct Probe { ///< onStatus or onUnreachable.
  TargetName Target;
  auto operator<=>(const Probe &) const = default;
};
/// Requests another owner's observations: onPeerView if it answers, and
/// onPeerObject if it has a newer version of the group object.
struct QueryPeer {
  VmName Vm;
  std::uint64_t Version = 0; ///< Of the group object as cached by this owner.
  auto operator<=>(const QueryPeer &) const = default;
};
struct Fence { ///< onFenced.
  TargetName Target;
  Term InTerm = 0;
  auto operator<=>(const Fence &) const = default;
};
struct Promote { ///< onPromoted.
  TargetName Target;
  Term InTerm = 0;
  auto operator<=>(const Promote &) const = default;
};
struct Follow { ///< onStatus, if it answers.
  TargetName Target;
  Term InTerm = 0;
  TargetName Primary;
  auto operator<=>(const Follow &) const = default;
};
struct GetObject { ///< onObject.
  auto operator<=>(const GetObject &) const = default;
};
struct PutObject { ///< onPutDone.
  std::uint64_t Expected = 0;
  GroupObject Value;
  auto operator<=>(const PutObject &) const = default;
};
/// Writes to the group's primary are answered "not run, try again" until this
/// time, so that a replica can catch up. A time that is not in the future ends
/// the hold.
struct HoldWrites {
  TimePoint Until;
  auto operator<=>(const HoldWrites &) const = default;
};
/// Updates cached views and logs.
struct PrimaryChanged {
  TargetName Primary;
  Term InTerm = 0;
  auto operator<=>(const PrimaryChanged &) const = default;
};
struct CampaignBegun {
  Successor Candidate;
  auto operator<=>(const CampaignBegun &) const = default;
};
struct CampaignFailed {
  Successor Candidate;
  auto operator<=>(const CampaignFailed &) const = default;
};
struct TermsExhausted {
  auto operator<=>(const TermsExhausted &) const = default;
};
/// Why a leaving primary was not replaced.
enum class HandoverEnd : std::uint8_t {
  NoReplica,      ///< None answers in the primary's term without leaving.
  NoTerm,         ///< No term assigned to the replica is known.
  ReplicaBehind,  ///< It did not catch up while writes were held.
  CampaignFailed, ///< Refused, without a majority, or overtaken by a write.
  Interrupted,    ///< This owner was paused, or no longer owns the primary.
};
std::string toString(HandoverEnd it);
struct HandoverFailed {
  TargetName From;
  TargetName To; ///< Empty if no replica could be selected.
  HandoverEnd Why = HandoverEnd::NoReplica;
  auto operator<=>(const HandoverFailed &) const = default;
};

using Action =
    std::variant<Probe, QueryPeer, Fence, Promote, Follow, GetObject, PutObject,
                 HoldWrites, PrimaryChanged, CampaignBegun, CampaignFailed,
                 TermsExhausted, HandoverFailed>;
using Actions = std::vector<Action>;

/// One target of the group as this owner monitors it.
struct WatchedTarget {
  TargetName Name;
  VmName Owner;
  TargetReport Report;
  std::optional<TimePoint> Answered; ///< Time of the last answer.
  unsigned Missed = 0;               ///< Probes failed since then.
  TimePoint NextProbe;
  TimePoint NextFollow;
  std::optional<TimePoint> AheadSince;   ///< Its term exceeds the primary's.
  std::optional<TimePoint> LeavingSince; ///< First report of leaving.
};

/// The last observations received from another owner.
struct PeerRecord {
  TargetObservations Seen;
  TimePoint At;
};

/// One attempt at a change of primary.
struct Campaign {
  enum class Phase : std::uint8_t { Fencing, Promoting };
  Successor Candidate;
  Phase CurrentPhase = Phase::Fencing;
  TimePoint Began;
  TimePoint NextAttempt;
  std::map<TargetName, TargetReport> Fenced;
  /// A planned hand-over also waits until this target is fenced.
  TargetName OldPrimary;
};

/// A planned hand-over: writes are held until a replica has caught up.
struct Handover {
  TargetName From;
  TimePoint Began;
  TimePoint Until; ///< End of the hold.
  TargetName To;   ///< The nominee. Empty until a replica has caught up.
};

/// Cached state of the group object, and the calls that read and write it.
struct Publication {
  std::optional<GroupObject> Known;
  std::uint64_t Version = 0;
  std::string PendingId; ///< Of a write whose answer is pending or was lost.
  bool CallPending = false;
  bool MustRead = true;
  TimePoint CallBegan;
  TimePoint NextCall;
  std::optional<TimePoint> LastRead;
  unsigned Failures = 0;               ///< Consecutive unanswered calls.
  std::optional<TimePoint> StaleSince; ///< The object needs an update.
  std::uint64_t Writes = 0;
};

struct GroupState {
  DatabaseName Database;
  VmName Self;
  Timings Limits;
  std::uint64_t Seed = 1;             ///< State of the jitter's generator.
  std::vector<WatchedTarget> Targets; ///< One per failure domain.
  std::map<VmName, PeerRecord> Peers;
  std::optional<TimePoint> LastTick;
  TimePoint LeaderSeen; ///< Last answer of a primary that can confirm writes.
  TargetName Primary;   ///< That primary. Empty until one was seen.
  Term InTerm = 0;
  std::optional<TimePoint> AgreedSince; ///< A majority misses a primary.
  Term HighestAtAgreement = 0;          ///< Highest term seen at that time.
  TimePoint NextCampaign;
  TimePoint NextHandover;
  TimePoint NextPeerQuery;
  std::optional<Campaign> RunningCampaign;
  std::optional<Handover> RunningHandover;
  /// Why no hand-over can begin, as reported by the last HandoverFailed.
  std::optional<HandoverEnd> HandoverBlocked;
  Publication Object;
};

/// A target and the VM of its current owner.
struct OwnedTarget {
  TargetName Name;
  VmName Owner;

  auto operator<=>(const OwnedTarget &) const = default;
};

/// \param targets in an order that all daemons share, e.g. the configuration's.
GroupState makeGroup(DatabaseName database, VmName self,
                     const std::vector<OwnedTarget> &targets,
                     const Timings &limits, std::uint64_t seed, TimePoint now);
/// Owners change with the membership; targets that remain keep their state.
void setTargets(GroupState &group, const std::vector<OwnedTarget> &targets,
                TimePoint now);

/// To be called every few tens of milliseconds.
Actions onTick(GroupState &group, TimePoint now);
Actions onStatus(GroupState &group, const TargetName &target,
                 const TargetReport &report, TimePoint now);
/// A probe failed; only the missing answer is recorded.
Actions onUnreachable(GroupState &group, const TargetName &target,
                      TimePoint now);
Actions onPeerView(GroupState &group, const VmName &peer,
                   TargetObservations seen, TimePoint now);
/// Another owner has read a newer group object from the platform.
Actions onPeerObject(GroupState &group, const VersionedObject &object,
                     TimePoint now);
/// \param report the target's; valid if the outcome is Done.
Actions onFenced(GroupState &group, const TargetName &target, Term term,
                 StepOutcome outcome, const TargetReport &report,
                 TimePoint now);
Actions onPromoted(GroupState &group, const TargetName &target, Term term,
                   StepOutcome outcome, const TargetReport &report,
                   TimePoint now);
/// \param object empty if the platform has none.
/// \param version 0 if the platform has none.
Actions onObject(GroupState &group, const std::optional<GroupObject> &object,
                 std::uint64_t version, TimePoint now);
/// Reading the group object failed.
Actions onObjectUnavailable(GroupState &group, TimePoint now);
/// The object is read back next, whatever the outcome of the write.
Actions onPutDone(GroupState &group, const std::string &id, StepOutcome outcome,
                  TimePoint now);

/// This owner's observations, sent to the other owners.
TargetObservations observationsOf(const GroupState &group, TimePoint now);
/// \return the cached group object if it is newer than \p version.
std::optional<VersionedObject> newerObject(const GroupState &group,
                                           std::uint64_t version);
/// \return the primary among the observed targets: it answers, and no majority
/// of the targets has accepted a higher term. Empty if there is none.
TargetName leaderOf(const TargetObservations &seen);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_H
