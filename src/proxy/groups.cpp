#include "proxy/groups.h"

#include "telemetry/events.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

bool isSameProcess(const TargetEntry &a, const TargetEntry &b) {
  return a.StartId == b.StartId && a.Address == b.Address && a.Group == b.Group;
}

/// Counts one use of a path, until its answer arrives or its callback is
/// destroyed.
class PathUse {
public:
  PathUse(const std::shared_ptr<AccessTable> &table, TargetName target,
          VmName by)
      : Table(table), Target(std::move(target)), By(std::move(by)) {
    if (auto *it = paths())
      it->started(By);
  }
  ~PathUse() {
    if (auto *it = paths())
      it->dropped(By);
  }
  PathUse(const PathUse &) = delete;
  PathUse &operator=(const PathUse &) = delete;

  void end(const BatchResult &result, TimePoint now) {
    if (auto *it = paths())
      it->ended(By, result.TargetUnreachable, result.Load, now);
    Table.reset();
  }

private:
  HolderPaths *paths() {
    auto table = Table.lock();
    if (!table)
      return nullptr;
    auto it = table->find(Target);
    return it == table->end() ? nullptr : &it->second.Paths;
  }

  std::weak_ptr<AccessTable> Table;
  TargetName Target;
  VmName By;
};

/// \return whether the success of a statement shows that the target is the
/// primary. Statements of a plain transaction do, its commit only if it wrote.
/// A read outside a transaction does not.
bool provesLeader(const Statement &it, bool plain) {
  if (it.Kind == StatementKind::Begin)
    return true;
  if (it.Kind == StatementKind::Write)
    return true;
  if (it.Kind == StatementKind::Execute && it.Body.Writes)
    return true;
  return plain &&
         (it.Kind == StatementKind::Read || it.Kind == StatementKind::Execute);
}

/// A transaction that is begun and rolled back takes no slot, and its answer
/// contains the target's position.
Batch queryBatch(StatementKind beginning) {
  Batch out;
  out.Statements = {makeProxyStatement(beginning),
                    makeProxyStatement(StatementKind::Rollback)};
  out.EndsLease = true;
  out.Timeout = limits::LeaderCheckTimeout;
  return out;
}

LeaseRequest queryRequest(const TargetName &target) {
  return {target,
          0,
          limits::LeaderCheckTimeout,
          2 * limits::LeaderCheckTimeout,
          {}};
}

bool isBefore(const TargetEntry &it, const TargetName &name) {
  return it.Name < name;
}

/// \param list sorted by name.
void putEntry(std::vector<TargetEntry> &list, const TargetEntry &entry) {
  auto it = std::lower_bound(list.begin(), list.end(), entry.Name, isBefore);
  if (it != list.end() && it->Name == entry.Name)
    *it = entry;
  else
    list.insert(it, entry);
}

void removeEntry(std::vector<TargetEntry> &list, const TargetName &name) {
  std::erase_if(list, [&](const TargetEntry &it) { return it.Name == name; });
}

} // namespace

Groups::Groups(Locality self, TargetPort &port, RelayPort &relay,
               const Clock &clock)
    : Self(std::move(self)), Port(port), Relay(relay), Time(clock),
      HoldsUnknownUntil(clock.now() + limits::UnknownHoldLimit),
      LastTick(clock.now()) {
  Member here;
  here.Vm = Self.Vm;
  here.Domain = Self.Domain;
  here.Region = Self.Region;
  Ranks.setMembers({here});
}

Group *Groups::find(const GroupName &name) {
  auto it = ByName.find(name);
  return it == ByName.end() ? nullptr : it->second.get();
}

Group &Groups::groupOf(const GroupName &name) {
  auto &group = ByName[name];
  if (!group)
    group = std::make_unique<Group>(name, ++Seed);
  return *group;
}

std::unique_ptr<TargetPool> Groups::makePool(const TargetEntry &target) {
  auto out = std::make_unique<TargetPool>(target, Port, Time, LastLease);
  out->OnWaited = [this](Duration waited) {
    if (OnWaited)
      OnWaited(waited);
  };
  out->OnRefused = [this](QueueRefusal why) {
    if (OnRefused)
      OnRefused(why);
  };
  out->holdWrites(isHeld(target));
  return out;
}

TargetAccess *Groups::access(const TargetName &target) {
  auto entry = Targets.find(target);
  if (entry == Targets.end())
    return nullptr;
  auto &it = Accesses[target];
  if (!it.Pool)
    it.Pool = makePool(entry->second);
  it.UsedAt = Time.now();
  if (it.PlanVersion != PlanVersion)
    assignConnections(entry->second, it);
  return &it;
}

void Groups::updateTargets(const TargetList &targets) {
  TargetChanges changes;
  for (const auto &[name, it] : Targets)
    if (!targets.contains(name))
      changes.Removed.push_back(name);
  for (const auto &[name, it] : targets) {
    auto known = Targets.find(name);
    if (known == Targets.end() || known->second != it)
      changes.Updated.push_back(it);
  }
  applyTargetChanges(changes);
}

void Groups::applyTargetChanges(const TargetChanges &changes) {
  std::set<GroupName> touched;
  for (const auto &name : changes.Removed) {
    auto known = Targets.find(name);
    if (known == Targets.end())
      continue;
    telemetry::log(Event::TargetGone,
                   {field("target", name.Value), field("replaced", "no")});
    noteLost(known->second);
    removeEntry(groupOf(known->second.Group).Targets, name);
    touched.insert(known->second.Group);
    Targets.erase(known);
    LeavingSince.erase(name);
    Ranks.forget(name);
    auto it = Accesses.find(name);
    if (it == Accesses.end())
      continue;
    auto pool = std::move(it->second.Pool);
    Accesses.erase(it);
    pool->retire();
    Retired.push_back(std::move(pool));
  }
  for (const auto &entry : changes.Updated)
    touched.merge(updateTarget(entry));
  for (const auto &name : touched)
    updateGroup(groupOf(name));
}

std::set<GroupName> Groups::updateTarget(const TargetEntry &entry) {
  std::set<GroupName> touched{entry.Group};
  auto known = Targets.find(entry.Name);
  bool isNew = known == Targets.end();
  bool isReplaced = !isNew && !isSameProcess(known->second, entry);
  if (!isNew && known->second.Group != entry.Group) {
    removeEntry(groupOf(known->second.Group).Targets, entry.Name);
    touched.insert(known->second.Group);
  }
  if (isReplaced)
    noteLost(known->second);
  noteLeaving(entry, isNew ? nullptr : &known->second);
  Targets[entry.Name] = entry;
  putEntry(groupOf(entry.Group).Targets, entry);
  if (isReplaced)
    telemetry::log(Event::TargetGone, {field("target", entry.Name.Value),
                                       field("replaced", "yes")});
  if (isNew || isReplaced)
    telemetry::log(Event::TargetFound, {field("target", entry.Name.Value),
                                        field("group", entry.Group.Value),
                                        field("address", entry.Address),
                                        field("primary", entry.ClaimsPrimary)});
  auto it = Accesses.find(entry.Name);
  if (it == Accesses.end())
    return touched;
  it->second.PlanVersion = 0;
  if (!isReplaced) {
    it->second.Pool->update(entry);
    return touched;
  }
  // The connections of the process that was replaced are invalid.
  auto pool = std::exchange(it->second.Pool, makePool(entry));
  pool->abortAll();
  Retired.push_back(std::move(pool));
  return touched;
}

void Groups::updateGroup(Group &group) {
  auto before = group.View.leader();
  group.View.updateEntries(group.Targets);
  auto after = group.View.leader();
  if (before != after)
    telemetry::log(Event::PrimaryChanged,
                   {field("group", group.Name.Value),
                    field("target", after ? after->Value : "none"),
                    field("by", "list of targets")});
  notePrimaryState(group, Time.now());
  if (after && before != after && OnLeaderKnown)
    OnLeaderKnown(group.Name);
}

void Groups::applySettings(const std::map<GroupName, GroupSettings> &settings,
                           bool byAccount) {
  bool changed = std::exchange(ByAccount, byAccount) != byAccount;
  bool isFirst = !std::exchange(HasSettings, true);
  for (const auto &[name, it] : settings) {
    auto &group = groupOf(name);
    changed = changed || group.Settings != it;
    group.Settings = it;
    AnyWaits = AnyWaits || it.WaitsForReplica;
    if (!std::exchange(group.IsConfigured, true))
      notePrimaryState(group, Time.now());
  }
  PlanVersion += changed;
  if (changed || isFirst)
    updateHeldPools();
}

void Groups::setMembers(const std::vector<Member> &live) {
  PlanVersion += Ranks.setMembers(live);
}

HolderPlan Groups::planOf(const Group &group, const TargetEntry &target) const {
  return planHolders(
      group.Settings.MaxConnections, target.Slots, Ranks.eligible(),
      ByAccount ? limits::PlannedShareByAccount : limits::PlannedShare);
}

/// There may be more daemons than a target accepts connections. The daemons
/// that rank first for a target, those of its failure domain before others,
/// hold its connections; all others reach it through them.
void Groups::assignConnections(const TargetEntry &target, TargetAccess &it) {
  it.PlanVersion = PlanVersion;
  auto *group = find(target.Group);
  if (!group)
    return;
  auto plan = planOf(*group, target);
  auto holders = Ranks.first(target, plan.Holders);
  bool holds =
      std::find(holders.begin(), holders.end(), Self.Vm) != holders.end();
  it.Pool->setCapacity(holds ? plan.Connections : 0, plan.Running);
  if (it.Paths.holders() != holders)
    it.Paths.setHolders(holders);
}

TargetPool *Groups::poolOf(LeaseId lease) {
  for (auto &[name, it] : Accesses)
    if (it.Pool->owns(lease))
      return it.Pool.get();
  for (auto &it : Retired)
    if (it->owns(lease))
      return it.get();
  return nullptr;
}

TargetPool *Groups::poolOf(const TargetName &target, ConnectionId connection) {
  auto it = Accesses.find(target);
  if (it != Accesses.end() && it->second.Pool->owns(connection))
    return it->second.Pool.get();
  for (auto &retired : Retired)
    if (retired->owns(connection))
      return retired.get();
  return nullptr;
}

VmName Groups::choosePath(const TargetName &target,
                          const AccountName &account) {
  auto *it = access(target);
  if (!it)
    return Self.Vm;
  auto path = account.empty()
                  ? it->Paths.choose(Self.Vm, it->Pool->isFree(account))
                  : it->Paths.chooseFor(account, Self.Vm,
                                        it->Pool->hasIdle(account), Time.now());
  return path.value_or(Self.Vm);
}

LeaseId Groups::begin(const LeaseRequest &request, Batch first, OnBatch done) {
  return beginVia(choosePath(request.Target, request.Account), request,
                  std::move(first), std::move(done));
}

LeaseId Groups::beginVia(const VmName &by, const LeaseRequest &request,
                         Batch first, OnBatch done) {
  auto target = request.Target;
  auto use = std::make_shared<PathUse>(SharedAccesses, target, by);
  auto recordEnd = [this, use, done](BatchResult result) {
    use->end(result, Time.now());
    if (done)
      done(std::move(result));
  };
  if (by == Self.Vm && Targets.contains(target))
    return beginHere(request, std::move(first), recordEnd);
  LeaseId lease{++LastLease};
  if (by == Self.Vm)
    failLater(recordEnd);
  else
    Relay.begin(by, lease, request, std::move(first), recordEnd);
  return lease;
}

LeaseId Groups::beginHere(const LeaseRequest &request, Batch first,
                          OnBatch done) {
  noteSuspension();
  auto *it = access(request.Target);
  if (!it)
    return {};
  return it->Pool->begin(request, std::move(first), std::move(done));
}

void Groups::run(LeaseId lease, Batch next, OnBatch done) {
  noteSuspension();
  if (Relay.owns(lease))
    Relay.run(lease, std::move(next), std::move(done));
  else if (auto *it = poolOf(lease))
    it->run(lease, std::move(next), std::move(done));
  else
    failLater(std::move(done));
}

/// When a connection breaks between two statements of a transaction, no batch
/// is pending to be told. The next batch must be answered, but not from within
/// the call that starts it.
void Groups::failLater(OnBatch done) {
  UnservedBatches.push_back(std::move(done));
}

void Groups::abandon(LeaseId lease) {
  if (Relay.owns(lease))
    Relay.abandon(lease);
  else if (auto *it = poolOf(lease))
    it->abandon(lease);
}

bool Groups::isHeldHere(LeaseId lease) {
  auto *it = poolOf(lease);
  return it && it->isAwaitingBatch(lease);
}

std::optional<TimePoint>
Groups::unreachableSince(const TargetName &target) const {
  auto it = Accesses.find(target);
  if (it == Accesses.end())
    return std::nullopt;
  return it->second.Paths.unreachableSince();
}

const TargetEntry *Groups::entry(const TargetName &target) const {
  auto it = Targets.find(target);
  return it == Targets.end() ? nullptr : &it->second;
}

bool Groups::isUsable(const TargetName &target) const {
  const auto *it = entry(target);
  return it && !it->Leaving && !unreachableSince(target);
}

std::optional<TargetName> Groups::writablePrimary(const Group &group) const {
  const auto &leader = group.View.leader();
  if (!leader)
    return std::nullopt;
  auto it = Targets.find(*leader);
  if (it == Targets.end())
    return std::nullopt;
  if (it->second.Leaving && !acceptsWorkWhileLeaving(group, *leader))
    return std::nullopt;
  return leader;
}

std::optional<TargetName> Groups::usablePrimary(const Group &group,
                                                PrimaryUse use) const {
  auto out = writablePrimary(group);
  if (!out || unreachableSince(*out))
    return std::nullopt;
  if (use == PrimaryUse::Write && isHeld(Targets.at(*out)))
    return std::nullopt;
  return out;
}

const PrimaryAbsences &Groups::notePrimary(Group &group) const {
  group.Absences.note(usablePrimary(group, PrimaryUse::Write).has_value(),
                      Time.now());
  return group.Absences;
}

/// At first writes are held, since one may be missing from the new primary's
/// log. If no new primary is found in that time, the old one accepts work again
/// until the limit for a leaving target; not where commits wait for replicas,
/// as a replica that does not have them may be promoted at any time.
bool Groups::acceptsWorkWhileLeaving(const Group &group,
                                     const TargetName &primary) const {
  auto it = LeavingSince.find(primary);
  if (group.Settings.WaitsForReplica || it == LeavingSince.end() || !it->second)
    return false;
  auto leaving = Time.now() - *it->second;
  return leaving >= limits::HandoverHold &&
         leaving < LeavingLimit - limits::LeavingReserve;
}

void Groups::noteLost(const TargetEntry &entry) {
  auto &group = groupOf(entry.Group);
  if (group.View.headSource() != entry.Name)
    group.HeadAtLoss = std::max(group.HeadAtLoss, group.View.lastHead());
}

/// The list does not tell since when a target has been leaving. One that was
/// leaving before this daemon saw it may be past its limit.
void Groups::noteLeaving(const TargetEntry &entry, const TargetEntry *known) {
  if (!entry.Leaving)
    LeavingSince.erase(entry.Name);
  else if (!known || !isSameProcess(*known, entry))
    LeavingSince[entry.Name] = std::nullopt;
  else
    LeavingSince.try_emplace(entry.Name, Time.now());
}

Distance Groups::distanceTo(const TargetEntry &target) const {
  if (target.Domain == Self.Domain)
    return Distance::SameDomain;
  return target.Region == Self.Region ? Distance::SameRegion
                                      : Distance::OtherRegion;
}

std::vector<Candidate> Groups::candidates(const Group &group) {
  std::vector<Candidate> out;
  for (const auto &it : group.Targets) {
    Candidate candidate;
    candidate.Name = it.Name;
    candidate.IsPrimary = group.View.leader() == it.Name;
    candidate.Reachable = isUsable(it.Name);
    candidate.Leaving = it.Leaving;
    candidate.TargetDistance = distanceTo(it);
    out.push_back(std::move(candidate));
  }
  return out;
}

void Groups::handleAnswers(Group &group, const TargetName &target,
                           const Batch &batch, const BatchResult &result,
                           bool plain, TimePoint sent) {
  auto before = group.View.leader();
  for (std::size_t n = 0; n < result.Answers.size(); ++n) {
    const auto &statement = batch.Statements[n];
    const auto &answer = result.Answers[n];
    // After a refused Begin the target runs statements outside a transaction.
    if (statement.Kind == StatementKind::Begin && !answer.ok())
      plain = false;
    bool provesLead = provesLeader(statement, plain);
    if (provesLead && answer.ok() && answer.At) {
      group.View.noteLeading(target, *answer.At, sent);
      group.ReadPlacement.noteHead(*answer.At, Time.now());
    }
    if (answer.Error && answer.Error->Kind == ErrorKind::ReadOnly)
      group.View.noteNotLeading(target);
  }
  auto after = group.View.leader();
  if (before == after)
    return;
  telemetry::log(Event::PrimaryChanged,
                 {field("group", group.Name.Value),
                  field("target", after ? after->Value : "none"),
                  field("term", group.View.term()), field("by", "answer"),
                  field("from", target.Value)});
  group.NextLeaderQuery = Time.now();
  notePrimaryState(group, Time.now());
  if (after && OnLeaderKnown)
    OnLeaderKnown(group.Name);
}

void Groups::queryLeader(const TargetName &target) {
  queryLeaderVia(choosePath(target, AccountName()), target);
}

/// Only the primary accepts a plain transaction, so the answer to Begin shows
/// whether the target leads, and its log head.
void Groups::queryLeaderVia(const VmName &by, const TargetName &target) {
  const auto *it = entry(target);
  if (!it || it->Leaving)
    return;
  auto batch = queryBatch(StatementKind::Begin);
  auto learned = [this, group = it->Group, target, batch,
                  sent = Time.now()](const BatchResult &out) {
    if (auto *found = find(group))
      handleAnswers(*found, target, batch, out, true, sent);
  };
  beginVia(by, queryRequest(target), batch, learned);
}

void Groups::checkPrimary(Group &group, milliseconds limit,
                          std::function<void(bool)> done) {
  auto primary = usablePrimary(group, PrimaryUse::Read);
  if (!primary) {
    done(false);
    return;
  }
  auto batch = queryBatch(StatementKind::Begin);
  batch.Timeout = limit;
  auto learned = [this, name = group.Name, target = *primary, batch,
                  done = std::move(done),
                  sent = Time.now()](const BatchResult &out) {
    if (auto *found = find(name))
      handleAnswers(*found, target, batch, out, true, sent);
    done(!out.Answers.empty() && out.Answers[0].ok());
  };
  begin({*primary, 0, limit, limit, {}}, batch, std::move(learned));
}

void Groups::queryApplied(Group &group, TimePoint now) {
  group.NextAppliedQuery = now + limits::AppliedQueryPause;
  for (const auto &it : group.Targets) {
    bool isReplica = group.View.leader() != it.Name;
    if (!isReplica || !isUsable(it.Name) ||
        !group.ReadPlacement.lagsBy(it.Name, limits::LargeLag))
      continue;
    auto learned = [this, name = it.Group,
                    target = it.Name](const BatchResult &out) {
      auto *found = find(name);
      if (!found || out.Answers.empty() || !out.Answers[0].At)
        return;
      found->ReadPlacement.noteApplied(target, *out.Answers[0].At, Time.now());
    };
    begin(queryRequest(it.Name), queryBatch(StatementKind::BeginRead), learned);
  }
}

bool Groups::isUsed(const Group &group, TimePoint now) {
  return group.UsedAt && now - *group.UsedAt < limits::GroupIdle;
}

/// Where a path to the primary has failed, the queries show whether others
/// work.
bool Groups::isHeadWanted(const Group &group, TimePoint now) const {
  if (!isUsed(group, now))
    return false;
  auto it = group.View.leader() ? Accesses.find(*group.View.leader())
                                : Accesses.end();
  bool hasFailedPath = it != Accesses.end() && it->second.Paths.hasFailedPath();
  return hasFailedPath || *group.UsedAt - group.UsedSince >= limits::SteadyUse;
}

Group *Groups::markUsed(const GroupName &name) {
  auto *group = find(name);
  if (!group)
    return nullptr;
  auto now = Time.now();
  if (!isUsed(*group, now))
    group->UsedSince = now;
  group->UsedAt = now;
  if (!group->IsActive) {
    activate(*group);
    notePrimaryState(*group, now);
  }
  return group;
}

void Groups::activate(Group &group) {
  if (std::exchange(group.IsActive, true))
    return;
  Active.push_back(&group);
}

bool Groups::needsAttention(const Group &group, TimePoint now) const {
  bool isWatched = WatchesAll && !group.Targets.empty() &&
                   isLookedAfter(group) &&
                   (group.LeaderMissingSince || group.LeavingSince);
  return isWatched || isUsed(group, now);
}

/// Suspicions start now: what this daemon noted of groups that it did not use
/// may be old.
void Groups::setWatchesAll(bool watches) {
  if (std::exchange(WatchesAll, watches) == watches || !watches)
    return;
  for (auto &[name, group] : ByName) {
    group->LeaderMissingSince.reset();
    notePrimaryState(*group, Time.now());
  }
}

void Groups::handleMissingReport(const GroupName &name) {
  auto *group = WatchesAll ? markUsed(name) : nullptr;
  auto now = Time.now();
  if (!group || now < group->NextMissingReport || !group->View.leader())
    return;
  group->NextMissingReport = now + limits::MaxHeadAge;
  auto primary = *group->View.leader();
  auto *it = access(primary);
  if (!it)
    return;
  auto holders = it->Paths.holders();
  for (const auto &by : holders)
    queryLeaderVia(by, primary);
}

/// A failed path gets no work; leader queries detect when it works again. Where
/// all paths to a target of a group that is not in use have failed, tickGroup()
/// queries one of them.
void Groups::probeFailedPaths(TimePoint now) {
  for (auto &[target, it] : Accesses) {
    const auto *known = entry(target);
    const auto *group = known ? find(known->Group) : nullptr;
    if (!group || !isUsed(*group, now))
      continue;
    for (const auto &by : it.Paths.probesDue(now))
      queryLeaderVia(by, target);
  }
}

void Groups::notePrimaryState(Group &group, TimePoint now) {
  auto leader = group.View.leader();
  const auto *it = leader ? entry(*leader) : nullptr;
  bool missing = !it || unreachableSince(*leader);
  if (!missing)
    group.LeaderMissingSince.reset();
  else if (!group.LeaderMissingSince)
    group.LeaderMissingSince = now;
  bool leaving = it && it->Leaving;
  if (!leaving)
    group.LeavingSince.reset();
  else if (!group.LeavingSince)
    group.LeavingSince = now;
  notePrimary(group);
  if (needsAttention(group, now))
    activate(group);
}

void Groups::reportIfMissing(Group &group, TimePoint now) {
  bool isDue = !WatchesAll && group.LeaderMissingSince &&
               now - *group.LeaderMissingSince >= limits::MissingReportDelay &&
               now >= group.NextMissingReport;
  if (!isDue)
    return;
  group.NextMissingReport = now + limits::MissingReportPause;
  if (OnPrimaryMissing)
    OnPrimaryMissing(group.Name);
}

/// \return whether the group's targets were queried although it is not in use.
bool Groups::tickGroup(Group &group, TimePoint now, bool mayQueryUnused) {
  notePrimaryState(group, now);
  bool used = isUsed(group, now);
  if (used)
    reportIfMissing(group, now);
  if (used && now >= group.NextAppliedQuery)
    queryApplied(group, now);
  if (now < group.NextLeaderQuery || (!used && !mayQueryUnused))
    return false;
  auto proof = group.View.lastConfirmed();
  if (group.LeaderMissingSince || group.LeavingSince) {
    group.NextLeaderQuery = now + limits::LeaderQueryPause;
    for (const auto &target : group.Targets)
      if (!used || !unreachableSince(target.Name))
        queryLeader(target.Name);
    return !used;
  }
  if (isHeadWanted(group, now) &&
      (!proof || now - *proof > limits::MaxHeadAge)) {
    group.NextLeaderQuery = now + limits::MaxHeadAge / 2;
    queryLeader(*group.View.leader());
  }
  return false;
}

/// Groups that are not in use take turns, from tick to tick.
void Groups::tickActive(TimePoint now) {
  std::size_t budget = limits::MaxWatchedPerTick;
  auto first = NextWatched;
  // Groups that become active meanwhile are added at the end.
  auto count = Active.size();
  for (std::size_t n = 0; n < count; ++n) {
    auto at = (first + n) % count;
    if (!tickGroup(*Active[at], now, budget > 0))
      continue;
    --budget;
    NextWatched = at + 1;
  }
  std::erase_if(Active, [&](Group *it) {
    it->IsActive = needsAttention(*it, now);
    return !it->IsActive;
  });
}

PoolStats Groups::poolStats() const {
  PoolStats out;
  for (const auto &[name, it] : Accesses) {
    auto stats = it.Pool->stats();
    out.Open += stats.Open;
    out.Opening += stats.Opening;
    out.Idle += stats.Idle;
    out.Waiting += stats.Waiting;
    out.MostByAccount = std::max(out.MostByAccount, stats.MostByAccount);
  }
  return out;
}

void Groups::tick() {
  noteSuspension();
  auto now = Time.now();
  LastTick = now;
  tickHolds(now);
  for (auto &it : std::exchange(UnservedBatches, {})) {
    BatchResult failed;
    failed.Error = {ErrorKind::Busy, "the connection is gone"};
    if (it)
      it(std::move(failed));
  }
  tickAccesses(now);
  for (auto &it : Retired)
    it->tick();
  std::erase_if(Retired, [](const auto &it) { return it->isUnused(); });
  probeFailedPaths(now);
  tickActive(now);
}

void Groups::tickAccesses(TimePoint now) {
  for (auto &[target, it] : Accesses) {
    const auto *known = entry(target);
    if (known && it.PlanVersion != PlanVersion)
      assignConnections(*known, it);
    it.Pool->tick();
  }
  std::erase_if(Accesses, [now](const auto &it) {
    return it.second.Pool->isUnused() &&
           now - it.second.UsedAt > limits::TargetIdle;
  });
}

} // namespace peridotfall::proxy
