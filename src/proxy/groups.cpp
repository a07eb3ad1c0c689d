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
  PathUse(const std::shared_ptr<PathTable> &table, TargetName target, VmName by)
      : SharedPaths(table), Target(std::move(target)), By(std::move(by)) {
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
    SharedPaths.reset();
  }

private:
  HolderPaths *paths() {
    auto table = SharedPaths.lock();
    if (!table)
      return nullptr;
    auto it = table->find(Target);
    return it == table->end() ? nullptr : &it->second;
  }

  std::weak_ptr<PathTable> SharedPaths;
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

} // namespace

Groups::Groups(Locality self, TargetPort &port, RelayPort &relay,
               const Clock &clock)
    : Self(std::move(self)), Port(port), Relay(relay), Time(clock) {
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

TargetPool *Groups::pool(const TargetName &target) {
  auto it = Pools.find(target);
  return it == Pools.end() ? nullptr : it->second.get();
}

void Groups::updateTargets(const TargetList &targets) {
  for (auto it = Pools.begin(); it != Pools.end();) {
    auto now = targets.find(it->first);
    bool gone = now == targets.end();
    if (!gone && isSameProcess(it->second->target(), now->second)) {
      it->second->update(now->second);
      ++it;
      continue;
    }
    telemetry::log(Event::TargetGone, {field("target", it->first.Value),
                                       field("replaced", gone ? "no" : "yes")});
    // If another process has replaced the target, its connections are invalid.
    auto pool = std::move(it->second);
    it = Pools.erase(it);
    if (gone)
      pool->retire();
    else
      pool->abortAll();
    Retired.push_back(std::move(pool));
  }
  std::map<GroupName, std::vector<TargetEntry>> byGroup;
  for (const auto &[name, it] : targets) {
    if (!Pools.contains(name)) {
      auto &pool = Pools[name];
      pool = std::make_unique<TargetPool>(it, Port, Time, LastLease);
      pool->OnWaited = [this](Duration waited) {
        if (OnWaited)
          OnWaited(waited);
      };
      pool->OnRefused = [this](QueueRefusal why) {
        if (OnRefused)
          OnRefused(why);
      };
      telemetry::log(Event::TargetFound, {field("target", name.Value),
                                          field("group", it.Group.Value),
                                          field("address", it.Address),
                                          field("primary", it.ClaimsPrimary)});
    }
    byGroup[it.Group].push_back(it);
  }
  Targets = targets;
  Ranks.retain(targets);
  for (auto &[name, group] : ByName)
    byGroup[name];
  for (auto &[name, entries] : byGroup) {
    auto &group = ByName[name];
    if (!group)
      group = std::make_unique<Group>(++Seed);
    auto before = group->View.leader();
    group->View.updateEntries(entries);
    group->Targets = std::move(entries);
    auto after = group->View.leader();
    if (before != after)
      telemetry::log(Event::PrimaryChanged,
                     {field("group", name.Value),
                      field("target", after ? after->Value : "none"),
                      field("by", "list of targets")});
    if (after && before != after && OnLeaderKnown)
      OnLeaderKnown(name);
  }
  assignConnections();
}

void Groups::applySettings(const std::map<GroupName, GroupSettings> &settings,
                           bool byAccount) {
  ByAccount = byAccount;
  for (const auto &[name, it] : settings) {
    auto &group = ByName[name];
    if (!group)
      group = std::make_unique<Group>(++Seed);
    group->Settings = it;
  }
  assignConnections();
}

void Groups::setMembers(const std::vector<Member> &live) {
  Ranks.setMembers(live);
  assignConnections();
}

/// There may be more daemons than a target accepts connections. The daemons
/// that rank first for a target, those of its failure domain before others,
/// hold its connections; all others reach it through them.
void Groups::assignConnections() {
  std::erase_if(PathsByTarget,
                [&](const auto &it) { return !Pools.contains(it.first); });
  for (auto &[name, pool] : Pools) {
    const auto &target = pool->target();
    auto *group = find(target.Group);
    if (!group)
      continue;
    auto plan = planHolders(
        group->Settings.MaxConnections, target.Slots, Ranks.eligible(),
        ByAccount ? limits::PlannedShareByAccount : limits::PlannedShare);
    auto holders = Ranks.first(target, plan.Holders);
    bool holds =
        std::find(holders.begin(), holders.end(), Self.Vm) != holders.end();
    pool->setCapacity(holds ? plan.Connections : 0, plan.Running);
    auto &paths = PathsByTarget[name];
    if (paths.holders() != holders)
      paths.setHolders(holders);
  }
}

TargetPool *Groups::poolOf(LeaseId lease) {
  for (auto &[name, it] : Pools)
    if (it->owns(lease))
      return it.get();
  for (auto &it : Retired)
    if (it->owns(lease))
      return it.get();
  return nullptr;
}

VmName Groups::choosePath(const TargetName &target,
                          const AccountName &account) {
  auto paths = PathsByTarget.find(target);
  auto *here = pool(target);
  if (paths == PathsByTarget.end() || !here)
    return Self.Vm;
  auto path = account.empty()
                  ? paths->second.choose(Self.Vm, here->isFree(account))
                  : paths->second.chooseFor(account, Self.Vm,
                                            here->hasIdle(account), Time.now());
  return path.value_or(Self.Vm);
}

LeaseId Groups::begin(const LeaseRequest &request, Batch first, OnBatch done) {
  return beginVia(choosePath(request.Target, request.Account), request,
                  std::move(first), std::move(done));
}

LeaseId Groups::beginVia(const VmName &by, const LeaseRequest &request,
                         Batch first, OnBatch done) {
  auto target = request.Target;
  auto use = std::make_shared<PathUse>(SharedPaths, target, by);
  auto recordEnd = [this, use, done](BatchResult result) {
    use->end(result, Time.now());
    if (done)
      done(std::move(result));
  };
  if (by == Self.Vm && pool(target))
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
  auto *it = pool(request.Target);
  if (!it)
    return {};
  return it->begin(request, std::move(first), std::move(done));
}

void Groups::run(LeaseId lease, Batch next, OnBatch done) {
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
  auto it = PathsByTarget.find(target);
  if (it == PathsByTarget.end())
    return std::nullopt;
  return it->second.unreachableSince();
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
  if (it->second.Leaving && group.LeavingSince &&
      !acceptsWorkWhileLeaving(Time.now() - *group.LeavingSince))
    return std::nullopt;
  return leader;
}

std::optional<TargetName> Groups::usablePrimary(const Group &group) const {
  auto out = writablePrimary(group);
  return out && !unreachableSince(*out) ? out : std::nullopt;
}

const PrimaryAbsences &Groups::notePrimary(Group &group) const {
  group.Absences.note(usablePrimary(group).has_value(), Time.now());
  return group.Absences;
}

/// At first writes are held, since one may be missing from the new primary's
/// log. If no new primary is found in that time, the old one accepts work again
/// until the limit for a leaving target.
bool Groups::acceptsWorkWhileLeaving(Duration leaving) const {
  return leaving >= limits::HandoverHold &&
         leaving < LeavingLimit - limits::LeavingReserve;
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
  auto name = group.Targets.empty() ? GroupName() : group.Targets[0].Group;
  telemetry::log(Event::PrimaryChanged,
                 {field("group", name.Value),
                  field("target", after ? after->Value : "none"),
                  field("term", group.View.term()), field("by", "answer"),
                  field("from", target.Value)});
  group.NextLeaderQuery = Time.now();
  if (after && OnLeaderKnown)
    OnLeaderKnown(name);
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

Group *Groups::markUsed(const GroupName &name) {
  auto *group = find(name);
  if (!group)
    return nullptr;
  auto now = Time.now();
  group->UsedAt = now;
  return group;
}

/// A failed path gets no work; leader queries detect when it works again.
void Groups::probeFailedPaths() {
  auto now = Time.now();
  for (auto &[target, paths] : PathsByTarget)
    for (const auto &by : paths.probesDue(now))
      queryLeaderVia(by, target);
}

void Groups::tickGroup(Group &group, TimePoint now) {
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
  bool used = group.UsedAt && now - *group.UsedAt < limits::GroupIdle;
  if (used && now >= group.NextAppliedQuery)
    queryApplied(group, now);
  if (now < group.NextLeaderQuery)
    return;
  auto proof = group.View.lastConfirmed();
  if (missing || leaving) {
    group.NextLeaderQuery = now + limits::LeaderQueryPause;
    for (const auto &target : group.Targets)
      if (!unreachableSince(target.Name))
        queryLeader(target.Name);
  } else if (used && (!proof || now - *proof > limits::MaxHeadAge)) {
    group.NextLeaderQuery = now + limits::MaxHeadAge / 2;
    queryLeader(*leader);
  }
}

PoolStats Groups::poolStats() const {
  PoolStats out;
  for (const auto &[name, it] : Pools) {
    auto stats = it->stats();
    out.Open += stats.Open;
    out.Opening += stats.Opening;
    out.Idle += stats.Idle;
    out.Waiting += stats.Waiting;
    out.MostByAccount = std::max(out.MostByAccount, stats.MostByAccount);
  }
  return out;
}

void Groups::tick() {
  auto now = Time.now();
  for (auto &it : std::exchange(UnservedBatches, {})) {
    BatchResult failed;
    failed.Error = {ErrorKind::Busy, "the connection is gone"};
    if (it)
      it(std::move(failed));
  }
  for (auto &[name, it] : Pools)
    it->tick();
  for (auto &it : Retired)
    it->tick();
  std::erase_if(Retired, [](const auto &it) { return it->isUnused(); });
  probeFailedPaths();
  for (auto &[name, group] : ByName)
    tickGroup(*group, now);
}

} // namespace peridotfall::proxy
