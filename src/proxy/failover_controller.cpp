#include "proxy/failover_controller.h"

#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

bool isReplica(const Group &group, const TargetEntry &it) {
  return it.Name != group.View.leader();
}

} // namespace

FailoverController::FailoverController(Locality self, std::uint64_t incarnation,
                                       Groups &groups, FailoverPort &port,
                                       ProxyMetrics &metrics,
                                       const Clock &clock)
    : Self(std::move(self)), Incarnation(incarnation), Targets(groups),
      Port(port), Metrics(metrics), Time(clock), HolderSeenAt(clock.now()),
      LastTick(clock.now()) {}

bool FailoverController::isLeader() const {
  return Record && !IsUnreadable && Record->Holder == Self.Vm &&
         Record->Incarnation == Incarnation;
}

void FailoverController::handleRecord(
    const std::optional<LeadershipRecord> &record, std::uint64_t revision) {
  if (record && record->Last > revision * limits::MaxNumbersPerWrite) {
    handleUnreadableRecord(
        {ErrorCode::Invalid, "duty record: numbers that were never granted"},
        revision);
    return;
  }
  bool held = isLeader();
  bool otherHolder = !Record || !record || record->Holder != Record->Holder ||
                     record->Incarnation != Record->Incarnation;
  RecordKnown = true;
  Record = record;
  IsUnreadable = false;
  Revision = revision;
  if (otherHolder)
    noteHolderSeen();
  if (StoreQueried && !StoreReachedAt)
    StoreReachedAt = Time.now();
  Targets.setWatchesAll(isLeader());
  if (!held && isLeader()) {
    restartSuspicions();
    NextNumber = record->First;
    Leadership = record->First;
    telemetry::log(Event::DutyTaken, {field("first_number", record->First),
                                      field("revision", revision)});
  }
  if (held && !isLeader()) {
    Changes.clear();
    telemetry::log(Event::DutyLost,
                   {field("holder", record ? record->Holder.Value : "none"),
                    field("revision", revision)});
  }
}

/// Nobody leads by such a record: it may have replaced one that named another
/// daemon. The last holder that is known claims leadership again at once, or
/// another daemon after the lease. Without this no primary would be replaced
/// until an operator restores the record.
void FailoverController::handleUnreadableRecord(const Error &why,
                                                std::uint64_t revision) {
  if (!IsUnreadable || revision != Revision)
    telemetry::log(Event::DutyRecordUnreadable,
                   {field("why", why.Message), field("revision", revision)});
  RecordKnown = true;
  Revision = revision;
  if (StoreQueried && !StoreReachedAt)
    StoreReachedAt = Time.now();
  bool held = isLeader();
  if (!std::exchange(IsUnreadable, true))
    noteHolderSeen();
  Targets.setWatchesAll(false);
  if (held) {
    Changes.clear();
    telemetry::log(Event::DutyLost,
                   {field("holder", "none"), field("revision", revision)});
  }
}

void FailoverController::updateMembers(const std::vector<Member> &live) {
  Live = live;
  TakeoverRank.reset();
}

/// The leader answers reports of all daemons, so those with the widest links
/// come first.
std::optional<std::size_t> FailoverController::takeoverRank() {
  if (TakeoverRank)
    return *TakeoverRank;
  TakeoverRank.emplace();
  auto ranked =
      rankOwners(Live, TargetName("failover duty"), DomainName(), RegionName());
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Member &left, const Member &right) {
                     return left.LinkMbps > right.LinkMbps;
                   });
  auto it = std::find_if(ranked.begin(), ranked.end(),
                         [&](const Member &m) { return m.Vm == Self.Vm; });
  if (it != ranked.end())
    *TakeoverRank = static_cast<std::size_t>(it - ranked.begin());
  return *TakeoverRank;
}

void FailoverController::tickLeadership(TimePoint now) {
  if (!RecordKnown || Writing)
    return;
  if (isLeader()) {
    // NextNumber is Last + 1 once all are used.
    if (NextNumber + limits::MinNumbersLeft > Record->Last && now >= NextClaim)
      reserveNumbers();
    return;
  }
  // Only another daemon's process is waited for.
  bool isOther = Record && Record->Holder != Self.Vm;
  bool alive =
      isOther && std::any_of(Live.begin(), Live.end(), [&](const Member &it) {
        // 0: no message with the member's incarnation has arrived yet.
        bool same =
            it.Incarnation == 0 || it.Incarnation == Record->Incarnation;
        return it.Vm == Record->Holder && same && !it.Leaving;
      });
  if (alive)
    noteHolderSeen();
  else if (now >= NextClaim)
    handleMissingHolder(now);
}

void FailoverController::noteHolderSeen() {
  HolderSeenAt = Time.now();
  StoreQueried = false;
  StoreReachedAt.reset();
}

void FailoverController::handleMissingHolder(TimePoint now) {
  auto ownRank = takeoverRank();
  if (!ownRank)
    return;
  auto stagger = Duration(limits::LeadershipStagger) * *ownRank;
  auto missed = now - HolderSeenAt;
  if (!Record && !IsUnreadable) {
    if (missed >= stagger)
      claimLeadership(now);
    return;
  }
  // The record names an earlier process of this VM, which has ended, or named
  // this one until it was overwritten. Waiting for the lease would leave failed
  // primaries without a replacement.
  if (Record && Record->Holder == Self.Vm) {
    claimLeadership(now);
    return;
  }
  if (missed <
      limits::LeadershipLease - limits::LeadershipConfirmation + stagger)
    return;
  if (!StoreReachedAt) {
    StoreQueried = true;
    NextClaim = now + limits::LeadershipRetryPause;
    Port.readRecord();
  } else if (now - *StoreReachedAt >= limits::LeadershipConfirmation)
    claimLeadership(now);
}

/// \return a number above all that were ever granted. Where no record tells,
/// the store's revision does, which each write of the record raises.
std::uint64_t FailoverController::nextFreeNumber() const {
  if (Record && !IsUnreadable)
    return Record->Last + 1;
  return Revision * limits::MaxNumbersPerWrite + 1;
}

void FailoverController::claimLeadership(TimePoint now) {
  LeadershipRecord next;
  next.Holder = Self.Vm;
  next.Incarnation = Incarnation;
  next.First = nextFreeNumber();
  next.Last = next.First + limits::ReservedNumbers;
  Writing = true;
  NextClaim = now + limits::LeadershipRetryPause;
  Port.writeRecord(next, Record || IsUnreadable ? Revision : 0);
}

void FailoverController::reserveNumbers() {
  auto next = *Record;
  next.Last += limits::ReservedNumbers;
  Writing = true;
  NextClaim = Time.now() + limits::LeadershipRetryPause;
  Port.writeRecord(next, Revision);
}

void FailoverController::handleWritten(CallOutcome outcome) {
  Writing = false;
  // The record is read back whatever the outcome: with a lost answer, the write
  // may have succeeded or may still succeed later.
  static_cast<void>(outcome);
  RecordKnown = false;
  Port.readRecord();
}

void FailoverController::tick() {
  auto now = Time.now();
  bool paused = now - LastTick > limits::MaxTickInterval;
  LastTick = now;
  if (paused) {
    // The process was frozen or suspended and received nothing. Another daemon
    // may be leader by now, and the watch that reports it may be between two
    // calls. A promotion based on the old record would undo the other's.
    noteHolderSeen();
    restartSuspicions();
    restartSelections();
    if (isLeader())
      Port.readRecord();
  }
  tickLeadership(now);
  if (!isLeader())
    return;
  tickGroups(now);
}

/// Groups that are neither in use nor without a primary have nothing to do.
void FailoverController::tickGroups(TimePoint now) {
  Unplanned = unplannedChanges();
  SuspectedNow = 0;
  if (Targets.knowsHolds())
    adoptHolds(Targets.holds());
  // Queries may make further groups active.
  auto active = Targets.active();
  for (auto *it : active)
    tickGroup(it->Name, *it, now);
  for (auto it = Changes.begin(); it != Changes.end();) {
    auto *group = Targets.find(it->first);
    if (group && !group->IsActive && !group->Targets.empty())
      tickGroup(it->first, *group, now);
    bool isOver = it->second.CurrentStep == Step::Watching &&
                  it->second.FailedTargets.empty() && !it->second.Hold &&
                  !it->second.HasOpenOrder && now >= it->second.NotBefore;
    bool isDropped = !group || !Targets.isLookedAfter(*group);
    it = isOver || isDropped ? Changes.erase(it) : std::next(it);
  }
  requestTargets();
}

/// One list of all targets serves all groups suspected before it was begun.
/// When a region is lost, hundreds are; with a list for each, every one would
/// replace the one before it, and none would ever be complete.
void FailoverController::requestTargets() {
  if (ReadingTargets)
    return;
  for (auto &[name, it] : Changes)
    if (it.TargetList == ListState::Wanted) {
      it.TargetList = ListState::Reading;
      ReadingTargets = true;
    }
  if (ReadingTargets)
    Port.readTargets();
}

std::size_t FailoverController::unplannedChanges() const {
  return static_cast<std::size_t>(
      std::count_if(Changes.begin(), Changes.end(), [](const auto &it) {
        return it.second.CurrentStep != Step::Watching && !it.second.Planned;
      }));
}

void FailoverController::restartSuspicions() {
  for (auto *it : Targets.active())
    if (it->LeaderMissingSince)
      it->LeaderMissingSince = Time.now();
}

void FailoverController::tickGroup(const GroupName &name, Group &group,
                                   TimePoint now) {
  bool isIdle = !group.LeaderMissingSince && !group.LeavingSince &&
                !Changes.contains(name);
  if (group.Targets.empty() || isIdle || !Targets.isLookedAfter(group))
    return;
  auto &change = Changes[name];
  if (change.Hold)
    tellHolders(group, change, now);
  if (now < change.NotBefore)
    return;
  switch (change.CurrentStep) {
  case Step::Watching:
    detectFailure(name, group, change, now);
    return;
  case Step::Confirming:
    confirmFailure(name, group, change, now);
    return;
  case Step::Holding:
    awaitHold(name, group, change, now);
    return;
  case Step::Selecting:
    selectReplica(name, group, change, now);
    return;
  case Step::Promoting:
    if (change.Unanswered < limits::MaxPromotionCalls &&
        now - change.LastCall >= limits::PromotionHedgeDelay)
      sendPromotion(name, change);
    return;
  case Step::Settling:
    awaitTakeover(name, group, change, now);
    return;
  }
}

void FailoverController::detectFailure(const GroupName &name, Group &group,
                                       Change &change, TimePoint now) {
  // Until the platform rejects it, an open order can put a replica in the place
  // of a primary that goes on.
  if (change.HasOpenOrder) {
    change.Planned = group.LeavingSince.has_value();
    beginSelection(name, group, change);
    return;
  }
  if (change.Hold && !group.LeavingSince && !group.LeaderMissingSince) {
    endChange(change);
    return;
  }
  if (group.LeavingSince) {
    if (now - *group.LeavingSince >= limits::HandoverDelay) {
      change.Planned = true;
      beginSelection(name, group, change);
    }
    return;
  }
  auto limit = group.Absences.everPresent() ? limits::SuspectAfter
                                            : limits::UnlistedPrimaryTimeout;
  if (!group.LeaderMissingSince || now - *group.LeaderMissingSince < limit ||
      Unplanned >= limits::MaxParallelChanges ||
      SuspectedNow >= limits::MaxSuspectedPerTick)
    return;
  ++Unplanned;
  ++SuspectedNow;
  change.CurrentStep = Step::Confirming;
  change.Since = now;
  countChangePart(Metrics, ChangePart::Detection,
                  now - *group.LeaderMissingSince);
  auto leader = group.View.leader();
  telemetry::log(Event::PrimarySuspected,
                 {field("group", name.Value),
                  field("target", leader ? leader->Value : "none"),
                  field("missing_ms", std::chrono::duration_cast<milliseconds>(
                                          now - *group.LeaderMissingSince)
                                          .count())});
  change.TargetList = ListState::Wanted;
  change.Reports.reset();
  Port.queryPeers(name);
}

void FailoverController::handlePeerReports(const GroupName &name,
                                           const PeerReports &evidence) {
  auto it = Changes.find(name);
  if (it != Changes.end() && it->second.CurrentStep == Step::Confirming)
    it->second.Reports = evidence;
}

void FailoverController::handleTargetsRead() {
  ReadingTargets = false;
  for (auto &[name, it] : Changes)
    if (it.TargetList == ListState::Reading)
      it.TargetList = ListState::Read;
}

void FailoverController::confirmFailure(const GroupName &name, Group &group,
                                        Change &change, TimePoint now) {
  if (!group.LeaderMissingSince) {
    endChange(change);
    return;
  }
  bool all = change.Reports && change.TargetList == ListState::Read;
  if (!all && now - change.Since < limits::PeerReportTimeout)
    return;
  // Without an answer in time, this daemon's own view decides.
  auto evidence = change.Reports.value_or(PeerReports{});
  // The primary is replaced only if no majority of the daemons reaches it.
  // Replacing it on one daemon's view would lose records and interrupt all
  // callers for the fault of one link.
  if (evidence.Reachable * 2 > evidence.Answered + 1) {
    telemetry::log(Event::PrimaryReachedByOthers,
                   {field("group", name.Value),
                    field("reach", evidence.Reachable),
                    field("answered", evidence.Answered)});
    endChange(change);
    change.NotBefore = now + limits::SuspectAfter;
    return;
  }
  beginSelection(name, group, change);
}

void FailoverController::beginSelection(const GroupName &name, Group &group,
                                        Change &change) {
  auto now = Time.now();
  if (change.CurrentStep == Step::Confirming)
    countChangePart(Metrics, ChangePart::Confirmation, now - change.Since);
  change.Since = now;
  if (group.Settings.WaitsForReplica)
    beginHold(name, group, change);
  else
    queryReplicas(name, group, change);
}

void FailoverController::queryReplicas(const GroupName &name, Group &group,
                                       Change &change) {
  change.CurrentStep = Step::Selecting;
  change.WaitReported = false;
  beginRound(change);
  queryStatus(name, group, change);
}

std::optional<std::uint64_t>
FailoverController::takeNumber(const GroupName &name, Change &change,
                               TimePoint now) {
  if (isLeader() && NextNumber <= Record->Last)
    return NextNumber++;
  telemetry::log(Event::TermsExhausted, {field("group", name.Value)});
  change.NotBefore = now + limits::PromotionRetryPause;
  return std::nullopt;
}

void FailoverController::beginRound(Change &change) {
  change.Round = ++LastRound;
  change.RoundAt = Time.now();
  change.Statuses.clear();
  change.PrimaryAt.reset();
  change.Pending.clear();
}

/// Where the positions decide what is acknowledged, they are compared within
/// one round: while one replica is silent, the others may receive more.
void FailoverController::queryAll(const GroupName &name, Group &group,
                                  Change &change) {
  if (group.Settings.WaitsForReplica)
    beginRound(change);
  change.Statuses.clear();
  queryStatus(name, group, change);
}

void FailoverController::queryStatus(const GroupName &name, Group &group,
                                     Change &change) {
  for (const auto &it : group.Targets) {
    bool isOldPrimary = (change.Planned || change.HasOpenOrder) &&
                        it.Name == group.View.leader();
    bool isWanted =
        isOldPrimary
            ? !change.PrimaryAt
            : isReplica(group, it) &&
                  isCandidate(group.Settings.WaitsForReplica, it.Leaving);
    if (!isWanted || change.Statuses.contains(it.Name) ||
        !change.Pending.insert(it.Name).second)
      continue;
    Batch batch;
    batch.Statements = {makeProxyStatement(StatementKind::Status)};
    batch.EndsLease = true;
    batch.Timeout = limits::StatusTimeout;
    LeaseRequest request{it.Name, 0, limits::StatusTimeout,
                         2 * limits::StatusTimeout};
    auto target = it.Name;
    auto received = [this, name, target, isOldPrimary,
                     round = change.Round](const BatchResult &result) {
      auto found = Changes.find(name);
      if (found == Changes.end() ||
          found->second.CurrentStep != Step::Selecting ||
          found->second.Round != round)
        return;
      found->second.Pending.erase(target);
      if (result.End != BatchEnd::Complete || !result.Answers[0].Status)
        return;
      const auto &status = *result.Answers[0].Status;
      if (!isOldPrimary)
        found->second.Statuses[target] = status;
      else if (status.IsPrimary)
        found->second.PrimaryAt = status.Received;
    };
    Targets.begin(request, std::move(batch), received);
  }
}

void FailoverController::selectReplica(const GroupName &name, Group &group,
                                       Change &change, TimePoint now) {
  auto leader = group.View.leader();
  if (endIfNeedless(name, group, change, now))
    return;
  auto waited = now - change.Since;
  auto begun = group.Settings.WaitsForReplica ? change.RoundAt : change.Since;
  if (!change.Pending.empty() && now - begun < limits::StatusTimeout)
    return;
  PrimaryChange query;
  query.WaitsForReplica = group.Settings.WaitsForReplica;
  query.Planned = change.Planned;
  query.PrimaryAt = change.PrimaryAt;
  query.LastHead = group.View.lastHead();
  query.HeadAtLoss = group.HeadAtLoss;
  query.Waited = waited;
  for (const auto &it : group.Targets) {
    if (!isReplica(group, it))
      continue;
    ReplicaReport replica{it.Name, it.Leaving,
                          change.FailedTargets.contains(it.Name)};
    if (auto found = change.Statuses.find(it.Name);
        found != change.Statuses.end())
      replica.Status = found->second;
    query.Replicas.push_back(std::move(replica));
  }
  auto decision = selectSuccessor(query);
  switch (decision.Step) {
  case SuccessorStep::QueryMissing:
    queryStatus(name, group, change);
    return;
  case SuccessorStep::QueryAll:
    reportWait(name, query, change);
    queryAll(name, group, change);
    change.NotBefore = now + limits::StatusRoundPause;
    return;
  case SuccessorStep::NoneLeft:
    change.FailedTargets.clear();
    queryAll(name, group, change);
    change.NotBefore = now + limits::PromotionRetryPause;
    return;
  case SuccessorStep::Promote:
    break;
  }
  auto number = takeNumber(name, change, now);
  if (!number)
    return;
  Metrics.Promotions->Increment();
  Metrics.RecordsMissing->Increment(
      static_cast<double>(decision.MissingRecords));
  change.Chosen = decision.Target;
  change.Number = *number;
  telemetry::log(
      Event::PromotionDecided,
      {field("group", name.Value), field("target", decision.Target.Value),
       field("old", leader ? leader->Value : "none"),
       field("planned", change.Planned), field("number", change.Number),
       field("lacks", decision.MissingRecords),
       field("received", fmt::format("{}.{}", decision.Received.InTerm,
                                     decision.Received.Index)),
       field("heard", change.Statuses.size())});
  beginPromotion(name, change);
}

/// Writes are refused until the replicas named here answer, catch up or are no
/// longer listed, or the primary is back.
void FailoverController::reportWait(const GroupName &name,
                                    const PrimaryChange &query,
                                    Change &change) {
  if (change.WaitReported || query.Waited < limits::SuccessorReportDelay)
    return;
  change.WaitReported = true;
  std::string silent;
  for (const auto &it : query.Replicas)
    if (!it.Status)
      silent += (silent.empty() ? "" : ",") + it.Name.Value;
  telemetry::log(
      Event::SuccessorAwaited,
      {field("group", name.Value), field("planned", query.Planned),
       field("silent", silent.empty() ? "none" : silent),
       field("heard", change.Statuses.size()),
       field("primary_at", query.PrimaryAt
                               ? fmt::format("{}.{}", query.PrimaryAt->InTerm,
                                             query.PrimaryAt->Index)
                               : "-")});
}

void FailoverController::beginPromotion(const GroupName &name, Change &change) {
  auto now = Time.now();
  countChangePart(Metrics, ChangePart::Selection, now - change.Since);
  change.CurrentStep = Step::Promoting;
  change.Since = now;
  change.Calls = 0;
  change.Unanswered = 0;
  sendPromotion(name, change);
}

void FailoverController::sendPromotion(const GroupName &name, Change &change) {
  change.LastCall = Time.now();
  ++change.Calls;
  ++change.Unanswered;
  Port.promote(name, change.Chosen, change.Number);
}

void FailoverController::handlePromoted(const GroupName &name,
                                        CallOutcome outcome,
                                        std::optional<std::uint64_t> number) {
  auto it = Changes.find(name);
  if (it == Changes.end() || it->second.CurrentStep != Step::Promoting)
    return;
  if (number && *number != it->second.Number)
    return;
  auto &change = it->second;
  auto now = Time.now();
  if (change.Unanswered > 0)
    --change.Unanswered;
  telemetry::log(
      Event::PromotionAnswered,
      {field("group", name.Value), field("target", change.Chosen.Value),
       field("number", change.Number),
       field("outcome", outcome == CallOutcome::Done      ? "accepted"
                        : outcome == CallOutcome::Refused ? "refused"
                                                          : "no answer"),
       field("took_ms",
             std::chrono::duration_cast<milliseconds>(now - change.Since)
                 .count())});
  countChangePart(Metrics, ChangePart::Promotion, now - change.Since);
  constexpr unsigned MaxCalls = 2;
  if (outcome == CallOutcome::Done) {
    change.CurrentStep = Step::Settling;
    change.Since = now;
    change.NotBefore = {};
    return;
  }
  if (outcome == CallOutcome::Unknown && change.Unanswered > 0)
    return;
  if (outcome == CallOutcome::Unknown && change.Calls < MaxCalls) {
    // Number and target are the same, so the outcome is the same whichever
    // call is carried out.
    sendPromotion(name, change);
    return;
  }
  // The number is not used again. The record is read to see whether another
  // daemon is leader by now.
  bool isOpen = outcome == CallOutcome::Unknown || change.Unanswered > 0;
  Change next;
  next.FailedTargets.insert(change.Chosen);
  next.Planned = change.Planned;
  next.NotBefore = now + limits::PromotionRetryPause;
  if (change.Hold) {
    next.Hold = std::move(change.Hold);
    next.Holders = std::move(change.Holders);
    next.HoldersAt = change.HoldersAt;
    next.HasOpenOrder = change.HasOpenOrder || isOpen;
  }
  change = std::move(next);
  Port.readRecord();
}

} // namespace peridotfall::proxy
