/// \file
/// Change of primary of one database group, as a pure state machine: what is
/// observed goes in with the time, typed actions come out. One GroupState
/// lives at each daemon that owns one of the group's targets.

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

/// The machine's own waits. Pauses of a primary, a link or a daemon that are
/// shorter than pauseLimit() cause no change of primary.
struct Timings {
  milliseconds ProbeInterval{150};   ///< Between probes of a target, +-20%.
  milliseconds SuspectAfter{600};    ///< Without an answer of a primary.
  milliseconds Stagger{300};         ///< Between the ranks' steps.
  milliseconds StepRetry{100};       ///< Between two tries of one step.
  milliseconds CampaignLimit{1'000}; ///< For all steps of one change.
  milliseconds HealAfter{2'000};     ///< That a target is ahead of its primary.
  milliseconds HandoverLimit{500};   ///< Longest first hold of writes.
  milliseconds LeavingLimit{3'000};  ///< For replacing a leaving primary.
  milliseconds PublishRetry{1'000};  ///< Between calls on the platform.
  milliseconds RefreshEvery{60'000}; ///< Reading of the platform's object.

  auto operator<=>(const Timings &) const = default;
};

/// The waits for an interval between probes. Longer ones cost less traffic and
/// notice a dead primary later.
Timings timingsFor(milliseconds probeInterval);

/// Longest pause that cannot cause a change of primary, given the longest
/// round trip of a probe.
milliseconds pauseLimit(const Timings &timings, milliseconds roundTrip);

/// What a target says of itself.
struct TargetReport {
  Term CurrentTerm = 0; ///< Highest that it has accepted.
  bool IsPrimary = false;
  Position Last; ///< Of its log.
  TargetName Following;
  bool Leaving = false;

  auto operator<=>(const TargetReport &) const = default;
};

/// One target as one owner sees it.
struct TargetSight {
  bool Reachable = false; ///< It answered within SuspectAfter.
  TargetReport Report;    ///< Its last answer.
  Duration Age{};         ///< Of that answer.

  auto operator<=>(const TargetSight &) const = default;
};

using Sights = std::map<TargetName, TargetSight>;

/// A term, and the one replica that may be promoted in it.
struct Successor {
  Term InTerm = 0;
  TargetName Nominee;

  auto operator<=>(const Successor &) const = default;
};

/// The group's object at the platform: who leads, and the terms that are
/// given away already, by rising term.
struct GroupObject {
  std::string Id; ///< Of this write, to settle a lost answer.
  Term InTerm = 0;
  TargetName Primary;
  std::vector<Successor> Successors;

  auto operator<=>(const GroupObject &) const = default;
};

/// The group's object as it was read in one version.
struct VersionedObject {
  std::uint64_t Version = 0;
  GroupObject Value;

  auto operator<=>(const VersionedObject &) const = default;
};

std::string writeGroupObject(const GroupObject &it);
Parsed<GroupObject> parseGroupObject(const std::string &json);

/// How a step at a target or a call on the platform ended.
enum class StepOutcome : std::uint8_t {
  Done,
  Refused, ///< The target has accepted a higher term; another version exists.
  Unknown, ///< No answer: it may have taken effect.
};

// Actions. The driver performs each and reports back by the call named.

struct Probe { ///< onStatus or onUnreachable.
  TargetName Target;
  auto operator<=>(const Probe &) const = default;
};
/// onPeerView, where it answers, and onPeerObject, where it knows a newer
/// version of the group's object.
struct AskPeer {
  VmName Vm;
  std::uint64_t Version = 0; ///< Of the object, as it is known here.
  auto operator<=>(const AskPeer &) const = default;
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
struct Follow { ///< onStatus, where it answers.
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
/// Writes to the group's primary are answered "not run, try again" until
/// then, so that a replica can draw level. A time in the past: no longer.
struct HoldWrites {
  TimePoint Until;
  auto operator<=>(const HoldWrites &) const = default;
};
/// For views and logs.
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
  NoReplica,      ///< None answers in the primary's term and stays.
  NoTerm,         ///< No agreed term of the replica is known.
  ReplicaBehind,  ///< It did not draw level while writes were held.
  CampaignFailed, ///< Refused, without a majority, or overtaken by a write.
  Interrupted,    ///< This owner was paused, or owns the primary no more.
};
std::string toString(HandoverEnd it);
struct HandoverFailed {
  TargetName From;
  TargetName To; ///< Empty: none could be chosen.
  HandoverEnd Why = HandoverEnd::NoReplica;
  auto operator<=>(const HandoverFailed &) const = default;
};

using Action =
    std::variant<Probe, AskPeer, Fence, Promote, Follow, GetObject, PutObject,
                 HoldWrites, PrimaryChanged, CampaignBegun, CampaignFailed,
                 TermsExhausted, HandoverFailed>;
using Actions = std::vector<Action>;

/// One target of the group, as this owner watches it.
struct WatchedTarget {
  TargetName Name;
  VmName Owner;
  TargetReport Report;
  std::optional<TimePoint> Answered; ///< When the last answer came.
  unsigned Missed = 0;               ///< Probes failed since then.
  TimePoint NextProbe;
  TimePoint NextFollow;
  std::optional<TimePoint> AheadSince;   ///< Of the primary's term.
  std::optional<TimePoint> LeavingSince; ///< By its answers here.
};

struct PeerRecord {
  Sights Seen;
  TimePoint At;
};

/// One attempt at a change of primary.
struct Campaign {
  enum class Phase : std::uint8_t { Fencing, Promoting };
  Successor Candidate;
  Phase Step = Phase::Fencing;
  TimePoint Began;
  TimePoint NextTry;
  std::map<TargetName, TargetReport> Fenced;
  /// A planned hand-over waits for this one to be fenced as well.
  TargetName OldPrimary;
};

/// A planned hand-over: writes are held until a replica has drawn level.
struct Handover {
  TargetName From;
  TimePoint Began;
  TimePoint Until; ///< Of the hold.
  TargetName To;   ///< Whose promotion has begun. Empty: none is level yet.
};

/// What is known of the platform's object.
struct Publication {
  std::optional<GroupObject> Known;
  std::uint64_t Version = 0;
  std::string PendingId; ///< Of a write whose answer is awaited or was lost.
  bool Calling = false;
  bool MustRead = true;
  TimePoint CallBegan;
  TimePoint NextCall;
  std::optional<TimePoint> LastRead;
  unsigned Failures = 0;               ///< Calls in a row without an answer.
  std::optional<TimePoint> StaleSince; ///< That it lacks what is seen here.
  std::uint64_t Writes = 0;
};

struct GroupState {
  DatabaseName Database;
  VmName Self;
  Timings Limits;
  std::uint64_t Seed = 1;             ///< Of the jitter.
  std::vector<WatchedTarget> Targets; ///< One per failure domain.
  std::map<VmName, PeerRecord> Peers;
  std::optional<TimePoint> LastTick;
  TimePoint LeaderSeen; ///< When a primary that can confirm last answered.
  TargetName Primary;   ///< The last such; empty: none seen yet.
  Term InTerm = 0;
  std::optional<TimePoint> AgreedSince; ///< That a majority misses a primary.
  Term HighestAtAgreement = 0;          ///< Highest term seen then.
  TimePoint NextCampaign;
  TimePoint NextHandover;
  TimePoint NextAsk;
  std::optional<Campaign> Running;
  std::optional<Handover> Leaving;
  std::optional<HandoverEnd> HandoverBlocked; ///< Why none can begin, as told.
  Publication Object;
};

/// A target and the daemon that owns it now.
struct OwnedTarget {
  TargetName Name;
  VmName Owner;

  auto operator<=>(const OwnedTarget &) const = default;
};

/// \param targets in an order that all daemons share, as the configuration's.
GroupState makeGroup(DatabaseName database, VmName self,
                     const std::vector<OwnedTarget> &targets,
                     const Timings &limits, std::uint64_t seed, TimePoint now);
/// Owners change with the membership; targets that stay keep their record.
void setTargets(GroupState &group, const std::vector<OwnedTarget> &targets,
                TimePoint now);

/// To be called every few tens of milliseconds.
Actions onTick(GroupState &group, TimePoint now);
Actions onStatus(GroupState &group, const TargetName &target,
                 const TargetReport &report, TimePoint now);
/// A probe failed. Nothing is learnt but that no answer came.
Actions onUnreachable(GroupState &group, const TargetName &target,
                      TimePoint now);
Actions onPeerView(GroupState &group, const VmName &peer, Sights seen,
                   TimePoint now);
/// Another owner has read the group's object at the platform.
Actions onPeerObject(GroupState &group, const VersionedObject &object,
                     TimePoint now);
/// \param report the target's, where the outcome is Done.
Actions onFenced(GroupState &group, const TargetName &target, Term term,
                 StepOutcome outcome, const TargetReport &report,
                 TimePoint now);
Actions onPromoted(GroupState &group, const TargetName &target, Term term,
                   StepOutcome outcome, const TargetReport &report,
                   TimePoint now);
/// \param object nothing: there is none. \param version 0 then.
Actions onObject(GroupState &group, const std::optional<GroupObject> &object,
                 std::uint64_t version, TimePoint now);
/// Reading the object failed.
Actions onObjectUnavailable(GroupState &group, TimePoint now);
/// However a write ended, the object is read back next.
Actions onPutDone(GroupState &group, const std::string &id, StepOutcome outcome,
                  TimePoint now);

/// This owner's answer to the others.
Sights sightsOf(const GroupState &group, TimePoint now);
/// \return the group's object, where it is newer than \p version.
std::optional<VersionedObject> newerObject(const GroupState &group,
                                           std::uint64_t version);
/// The primary among the targets seen: it answers, and no majority of the
/// targets has accepted a higher term. Empty: none.
TargetName leaderOf(const Sights &seen);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_H
