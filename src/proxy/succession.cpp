#include "proxy/succession.h"

#include "telemetry/events.h"

#include <algorithm>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

bool isCandidate(const Group &group, const TargetEntry &it) {
  return it.Name != group.View.leader() && !it.Leaving;
}

} // namespace

Succession::Succession(Place self, std::uint64_t incarnation, Groups &groups,
                       SuccessionPort &port, ProxyMetrics &metrics,
                       const Clock &clock)
    : Self(std::move(self)), Incarnation(incarnation), Targets(groups),
      Port(port), Counts(metrics), Time(clock), HolderSeen(clock.now()),
      LastTick(clock.now()) {}

bool Succession::holds() const {
  return Record && Record->Holder == Self.Vm &&
         Record->Incarnation == Incarnation;
}

void Succession::takeRecord(const std::optional<DutyRecord> &record,
                            std::uint64_t revision) {
  bool held = holds();
  bool otherHolder = !Record || !record || record->Holder != Record->Holder ||
                     record->Incarnation != Record->Incarnation;
  Known = true;
  Record = record;
  Revision = revision;
  if (otherHolder)
    seeHolder();
  if (StoreAsked && !StoreReached)
    StoreReached = Time.now();
  if (!held && holds()) {
    forgetSuspicions();
    NextNumber = record->First;
    telemetry::log(Event::DutyTaken, {field("first_number", record->First),
                                      field("revision", revision)});
  }
  if (held && !holds()) {
    Changes.clear();
    telemetry::log(Event::DutyLost,
                   {field("holder", record ? record->Holder.Value : "none"),
                    field("revision", revision)});
  }
}

void Succession::takeMembers(const std::vector<Member> &live) { Live = live; }

/// \return this daemon's place among those that may take the duty over.
std::optional<std::size_t> Succession::rank() const {
  auto ranked =
      rankOwners(Live, TargetName("failover duty"), DomainName(), RegionName());
  auto it = std::find_if(ranked.begin(), ranked.end(),
                         [&](const Member &m) { return m.Vm == Self.Vm; });
  if (it == ranked.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - ranked.begin());
}

void Succession::tickDuty(TimePoint now) {
  if (!Known || Writing)
    return;
  if (holds()) {
    if (Record->Last - NextNumber < limits::NumbersLeft && now >= NextClaim)
      extend();
    return;
  }
  bool alive =
      Record && std::any_of(Live.begin(), Live.end(), [&](const Member &it) {
        // An unknown incarnation is one that was not heard of yet.
        bool same =
            it.Incarnation == 0 || it.Incarnation == Record->Incarnation;
        return it.Vm == Record->Holder && same && !it.Leaving;
      });
  if (alive)
    seeHolder();
  else if (now >= NextClaim)
    missHolder(now);
}

void Succession::seeHolder() {
  HolderSeen = Time.now();
  StoreAsked = false;
  StoreReached.reset();
}

void Succession::missHolder(TimePoint now) {
  auto place = rank();
  if (!place)
    return;
  auto turn = Duration(limits::DutyStagger) * *place;
  auto missed = now - HolderSeen;
  if (!Record) {
    if (missed >= turn)
      claim(now);
    return;
  }
  // Failure: the holder's process was killed and started anew. Symptom: for a
  // lease nobody replaces a primary that fails. The one before it on this VM
  // has ended, so there is nobody to wait for.
  if (Record->Holder == Self.Vm) {
    claim(now);
    return;
  }
  if (missed < limits::DutyLease - limits::DutyConfirm + turn)
    return;
  if (!StoreReached) {
    StoreAsked = true;
    NextClaim = now + limits::DutyRetry;
    Port.readRecord();
  } else if (now - *StoreReached >= limits::DutyConfirm)
    claim(now);
}

void Succession::claim(TimePoint now) {
  DutyRecord next;
  next.Holder = Self.Vm;
  next.Incarnation = Incarnation;
  next.First = Record ? Record->Last + 1 : 1;
  next.Last = next.First + limits::NumbersTaken;
  Writing = true;
  NextClaim = now + limits::DutyRetry;
  Port.writeRecord(next, Record ? Revision : 0);
}

void Succession::extend() {
  auto next = *Record;
  next.Last += limits::NumbersTaken;
  Writing = true;
  NextClaim = Time.now() + limits::DutyRetry;
  Port.writeRecord(next, Revision);
}

void Succession::takeWritten(CallOutcome outcome) {
  Writing = false;
  // However it ended, what is in force is read back: an answer that was lost
  // may hide a claim that succeeded, or one that succeeds later.
  static_cast<void>(outcome);
  Known = false;
  Port.readRecord();
}

void Succession::tick() {
  auto now = Time.now();
  bool paused = now - LastTick > limits::LongTick;
  LastTick = now;
  if (paused) {
    // Frozen or suspended: nothing was heard because nothing was read. Another
    // daemon may hold the duty by now, and the watch that tells may be between
    // two calls; a promotion by the old record would undo the other's.
    seeHolder();
    forgetSuspicions();
    if (holds())
      Port.readRecord();
  }
  tickDuty(now);
  if (!holds())
    return;
  for (auto &[name, group] : Targets.all())
    tickGroup(name, *group, now);
}

void Succession::forgetSuspicions() {
  for (auto &[name, group] : Targets.all())
    if (group->LeaderMissing)
      group->LeaderMissing = Time.now();
}

void Succession::tickGroup(const GroupName &name, Group &group, TimePoint now) {
  if (group.Targets.empty())
    return;
  auto &change = Changes[name];
  if (now < change.NotBefore)
    return;
  switch (change.At) {
  case Step::Watching:
    watch(name, group, change, now);
    return;
  case Step::Asking:
    decide(name, group, change, now);
    return;
  case Step::Choosing:
    choose(name, group, change, now);
    return;
  case Step::Calling:
    if (change.Unanswered < limits::MostPromotionCalls &&
        now - change.LastCall >= limits::PromotionHedge)
      call(name, change);
    return;
  case Step::Settling: {
    bool leads = group.View.leader() == change.Chosen && !group.LeaderMissing;
    if (leads)
      countChangePart(Counts, ChangePart::Lead, now - change.Since);
    if (leads || now - change.Since >= limits::PromotionSettle)
      change = {};
    return;
  }
  }
}

void Succession::watch(const GroupName &name, Group &group, Change &change,
                       TimePoint now) {
  if (group.LeavingSince) {
    if (now - *group.LeavingSince >= limits::HandoverSettle) {
      change.Planned = true;
      beginChoice(name, group, change);
    }
    return;
  }
  if (!group.LeaderMissing || now - *group.LeaderMissing < limits::SuspectAfter)
    return;
  change.At = Step::Asking;
  change.Since = now;
  countChangePart(Counts, ChangePart::Notice, now - *group.LeaderMissing);
  auto leader = group.View.leader();
  telemetry::log(Event::PrimarySuspected,
                 {field("group", name.Value),
                  field("target", leader ? leader->Value : "none"),
                  field("missing_ms", std::chrono::duration_cast<milliseconds>(
                                          now - *group.LeaderMissing)
                                          .count())});
  change.TargetsRead = false;
  change.Evidence.reset();
  Port.readTargets();
  Port.askPeers(name);
}

void Succession::takeEvidence(const GroupName &name,
                              const PeerEvidence &evidence) {
  auto it = Changes.find(name);
  if (it != Changes.end() && it->second.At == Step::Asking)
    it->second.Evidence = evidence;
}

void Succession::takeTargetsRead() {
  for (auto &[name, change] : Changes)
    change.TargetsRead = true;
}

void Succession::decide(const GroupName &name, Group &group, Change &change,
                        TimePoint now) {
  if (!group.LeaderMissing) {
    change = {};
    return;
  }
  bool all = change.Evidence && change.TargetsRead;
  if (!all && now - change.Since < limits::EvidenceWait)
    return;
  // Nobody answered in time: this daemon's own view decides.
  auto evidence = change.Evidence.value_or(PeerEvidence{});
  // Load: a primary that some daemons cannot reach. Harm of replacing it on
  // one daemon's word: records lost and a gap for all, for a fault of one
  // link. It is replaced when no majority of the daemons reaches it.
  if (evidence.Reach * 2 > evidence.Answered + 1) {
    telemetry::log(Event::PrimaryReachedByOthers,
                   {field("group", name.Value), field("reach", evidence.Reach),
                    field("answered", evidence.Answered)});
    change = {};
    change.NotBefore = now + limits::SuspectAfter;
    return;
  }
  beginChoice(name, group, change);
}

void Succession::beginChoice(const GroupName &name, Group &group,
                             Change &change) {
  auto now = Time.now();
  if (change.At == Step::Asking)
    countChangePart(Counts, ChangePart::Evidence, now - change.Since);
  change.At = Step::Choosing;
  change.Since = now;
  change.Heard.clear();
  change.Asked.clear();
  askStatus(name, group, change);
}

void Succession::askStatus(const GroupName &name, Group &group,
                           Change &change) {
  for (const auto &it : group.Targets) {
    if (!isCandidate(group, it) || change.Heard.contains(it.Name) ||
        !change.Asked.insert(it.Name).second)
      continue;
    Batch batch;
    batch.Statements = {ownStatement(StatementKind::Status)};
    batch.EndsLease = true;
    batch.Patience = limits::ChoiceLimit;
    LeaseRequest request{it.Name, 0, limits::ChoiceLimit,
                         2 * limits::ChoiceLimit};
    auto target = it.Name;
    auto heard = [this, name, target](const BatchResult &result) {
      auto found = Changes.find(name);
      if (found == Changes.end() || found->second.At != Step::Choosing)
        return;
      found->second.Asked.erase(target);
      bool whole = result.End == BatchEnd::Whole && result.Answers[0].Status;
      if (whole)
        found->second.Heard[target] = *result.Answers[0].Status;
    };
    Targets.begin(request, std::move(batch), heard);
  }
}

/// Takes the replica that has received most; what it lacks is lost. All that
/// are asked get a moment to answer, and a planned change waits for a replica
/// that has everything.
void Succession::choose(const GroupName &name, Group &group, Change &change,
                        TimePoint now) {
  auto leader = group.View.leader();
  bool back = !change.Planned && !group.LeaderMissing;
  bool left = change.Planned && !group.LeavingSince;
  if (back || left) {
    change = {};
    return;
  }
  auto waited = now - change.Since;
  if (!change.Asked.empty() && waited < limits::ChoiceLimit)
    return;
  auto candidates = static_cast<std::size_t>(std::count_if(
      group.Targets.begin(), group.Targets.end(),
      [&](const TargetEntry &it) { return isCandidate(group, it); }));
  auto limit = group.Settings.WaitsForReplica
                   ? limits::SilentReplicaOfSyncedLimit
                   : limits::SilentReplicaLimit;
  if (change.Heard.size() < candidates && waited < limit) {
    askStatus(name, group, change);
    return;
  }
  const TargetStatus *best = nullptr;
  TargetName chosen;
  for (const auto &[target, status] : change.Heard) {
    if (change.Failed.contains(target) && change.Heard.size() > 1)
      continue;
    if (status.IsPrimary || (best && status.Received <= best->Received))
      continue;
    best = &status;
    chosen = target;
  }
  if (!best) {
    change.Failed.clear();
    change.Heard.clear();
    askStatus(name, group, change);
    change.NotBefore = now + limits::PromotionPause;
    return;
  }
  std::uint64_t lacks = 0;
  if (auto last = group.View.lastHead();
      last && last->InTerm == best->Received.InTerm &&
      last->Index > best->Received.Index)
    lacks = last->Index - best->Received.Index;
  if (change.Planned && lacks > 0 && waited < limits::CatchUpLimit) {
    change.Heard.clear();
    askStatus(name, group, change);
    change.NotBefore = now + milliseconds(50);
    return;
  }
  if (!holds() || NextNumber > Record->Last) {
    telemetry::log(Event::TermsExhausted, {field("group", name.Value)});
    change.NotBefore = now + limits::PromotionPause;
    return;
  }
  Counts.Promotions->Increment();
  Counts.RecordsLacked->Increment(static_cast<double>(lacks));
  change.Chosen = chosen;
  change.Number = NextNumber++;
  telemetry::log(Event::PromotionDecided,
                 {field("group", name.Value), field("target", chosen.Value),
                  field("old", leader ? leader->Value : "none"),
                  field("planned", change.Planned),
                  field("number", change.Number), field("lacks", lacks),
                  field("received", fmt::format("{}.{}", best->Received.InTerm,
                                                best->Received.Index)),
                  field("heard", change.Heard.size())});
  beginCalls(name, change);
}

void Succession::beginCalls(const GroupName &name, Change &change) {
  auto now = Time.now();
  countChangePart(Counts, ChangePart::Choice, now - change.Since);
  change.At = Step::Calling;
  change.Since = now;
  change.Calls = 0;
  change.Unanswered = 0;
  call(name, change);
}

void Succession::call(const GroupName &name, Change &change) {
  change.LastCall = Time.now();
  ++change.Calls;
  ++change.Unanswered;
  Port.promote(name, change.Chosen, change.Number);
}

void Succession::takePromoted(const GroupName &name, CallOutcome outcome,
                              std::optional<std::uint64_t> number) {
  auto it = Changes.find(name);
  if (it == Changes.end() || it->second.At != Step::Calling)
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
  countChangePart(Counts, ChangePart::Call, now - change.Since);
  constexpr unsigned MostCalls = 2;
  if (outcome == CallOutcome::Done) {
    change.At = Step::Settling;
    change.Since = now;
    change.NotBefore = {};
    return;
  }
  if (outcome == CallOutcome::Unknown && change.Unanswered > 0)
    return;
  if (outcome == CallOutcome::Unknown && change.Calls < MostCalls) {
    // The same number for the same target: whichever call is carried out,
    // the outcome is the same.
    call(name, change);
    return;
  }
  // The number is not used again. The record tells whether another holds the
  // duty by now.
  auto failed = change.Chosen;
  auto planned = change.Planned;
  change = {};
  change.Failed.insert(failed);
  change.Planned = planned;
  change.NotBefore = now + limits::PromotionPause;
  Port.readRecord();
}

} // namespace peridotfall::proxy
