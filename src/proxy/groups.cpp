#include "proxy/groups.h"

#include "telemetry/events.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

Statement ownStatement(StatementKind kind) {
  Statement it;
  it.Kind = kind;
  return it;
}

bool isSameProcess(const TargetEntry &a, const TargetEntry &b) {
  return a.Born == b.Born && a.Address == b.Address && a.Group == b.Group;
}

/// \return whether a success of it shows that the target leads.
/// A plain transaction's statements do, and its commit only if it wrote; a
/// lone read does not.
bool provesLead(const Statement &it, bool plain) {
  if (it.Kind == StatementKind::Begin)
    return true;
  if (it.Kind == StatementKind::Write)
    return true;
  if (it.Kind == StatementKind::Execute && it.Body.Writes)
    return true;
  return plain &&
         (it.Kind == StatementKind::Read || it.Kind == StatementKind::Execute);
}

} // namespace

Groups::Groups(Place self, TargetPort &port, const Clock &clock)
    : Self(std::move(self)), Port(port), Time(clock) {}

Group *Groups::find(const GroupName &name) {
  auto it = ByName.find(name);
  return it == ByName.end() ? nullptr : it->second.get();
}

TargetPool *Groups::pool(const TargetName &target) {
  auto it = Pools.find(target);
  return it == Pools.end() ? nullptr : it->second.get();
}

void Groups::takeTargets(const TargetList &targets) {
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
    // Another process serves at the address: what runs there is not ours.
    auto pool = std::move(it->second);
    it = Pools.erase(it);
    if (gone)
      pool->retire();
    else
      pool->breakAll();
    Retired.push_back(std::move(pool));
  }
  std::map<GroupName, std::vector<TargetEntry>> byGroup;
  for (const auto &[name, it] : targets) {
    if (!Pools.contains(name)) {
      Pools[name] = std::make_unique<TargetPool>(it, Port, Time, LastLease);
      telemetry::log(Event::TargetFound, {field("target", name.Value),
                                          field("group", it.Group.Value),
                                          field("address", it.Address),
                                          field("primary", it.ClaimsPrimary)});
    }
    byGroup[it.Group].push_back(it);
  }
  Targets = targets;
  for (auto &[name, group] : ByName)
    byGroup[name];
  for (auto &[name, entries] : byGroup) {
    auto &group = ByName[name];
    if (!group)
      group = std::make_unique<Group>(++Seed);
    auto before = group->View.leader();
    group->View.takeEntries(entries);
    group->Targets = std::move(entries);
    auto after = group->View.leader();
    if (before != after)
      telemetry::log(Event::PrimaryChanged,
                     {field("group", name.Value),
                      field("target", after ? after->Value : "none"),
                      field("by", "list of targets")});
    if (after && before != after && OnLeader)
      OnLeader(name);
  }
  share();
}

void Groups::takeSettings(const std::map<GroupName, GroupSettings> &settings) {
  for (const auto &[name, it] : settings) {
    auto &group = ByName[name];
    if (!group)
      group = std::make_unique<Group>(++Seed);
    group->Settings = it;
  }
  share();
}

void Groups::setDaemons(std::size_t daemons) {
  Daemons = std::max<std::size_t>(daemons, 1);
  share();
}

void Groups::share() {
  for (auto &[name, it] : Pools) {
    auto *group = find(it->target().Group);
    if (!group)
      continue;
    auto planned = static_cast<double>(group->Settings.MaxConnections) *
                   limits::PlannedShare / static_cast<double>(Daemons);
    it->setCapacity(
        std::max<std::size_t>(static_cast<std::size_t>(std::ceil(planned)), 2));
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

LeaseId Groups::begin(const LeaseRequest &request, Batch first, OnBatch done) {
  return Pools.at(request.Target)
      ->begin(request, std::move(first), std::move(done));
}

void Groups::run(LeaseId lease, Batch next, OnBatch done) {
  poolOf(lease)->run(lease, std::move(next), std::move(done));
}

void Groups::abandon(LeaseId lease) {
  if (auto *it = poolOf(lease))
    it->abandon(lease);
}

bool Groups::isUsable(const TargetName &target) {
  auto *it = pool(target);
  return it && !it->target().Leaving && !it->unreachableSince();
}

std::optional<TargetName> Groups::writable(const Group &group) const {
  const auto &leader = group.View.leader();
  if (!leader)
    return std::nullopt;
  auto it = Targets.find(*leader);
  if (it == Targets.end())
    return std::nullopt;
  // A primary that leaves is replaced at once; a write that it takes now may
  // be missing in its successor.
  bool held = it->second.Leaving && group.LeavingSince &&
              Time.now() - *group.LeavingSince < limits::HandoverHold;
  if (held)
    return std::nullopt;
  return leader;
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
    candidate.Far = distanceTo(it);
    out.push_back(std::move(candidate));
  }
  return out;
}

void Groups::learn(Group &group, const TargetName &target, const Batch &batch,
                   const BatchResult &result, bool plain, TimePoint sent) {
  auto before = group.View.leader();
  for (std::size_t n = 0; n < result.Answers.size(); ++n) {
    const auto &statement = batch.Statements[n];
    const auto &answer = result.Answers[n];
    bool lead = provesLead(statement, plain);
    if (lead && answer.ok() && answer.At) {
      group.View.noteLead(target, *answer.At, sent);
      group.Reads.noteHead(*answer.At, Time.now());
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
  group.NextLeadCheck = Time.now();
  if (after && OnLeader)
    OnLeader(name);
}

/// A plain transaction is refused by a target that does not lead, so beginning
/// one asks who leads and how far the log is, without use of a slot.
void Groups::askLead(Group &group, const TargetName &target) {
  auto *it = pool(target);
  if (!it || it->target().Leaving)
    return;
  Batch batch;
  batch.Statements = {ownStatement(StatementKind::Begin),
                      ownStatement(StatementKind::Rollback)};
  batch.EndsLease = true;
  batch.Patience = limits::LeadCheckLimit;
  auto sent = Time.now();
  LeaseRequest request{target, 0, limits::LeadCheckLimit};
  auto name = it->target().Group;
  it->begin(request, batch, [this, name, target, batch, sent](BatchResult out) {
    if (auto *found = find(name))
      learn(*found, target, batch, out, true, sent);
  });
  static_cast<void>(group);
}

Group *Groups::use(const GroupName &name) {
  auto *group = find(name);
  if (!group)
    return nullptr;
  auto now = Time.now();
  group->UsedAt = now;
  return group;
}

void Groups::tick() {
  auto now = Time.now();
  for (auto &[name, it] : Pools)
    it->tick();
  for (auto &it : Retired)
    it->tick();
  std::erase_if(Retired, [](const auto &it) { return it->isUnused(); });
  for (auto &[name, group] : ByName) {
    auto leader = group->View.leader();
    bool missing = !leader || !pool(*leader) ||
                   pool(*leader)->unreachableSince().has_value();
    if (!missing)
      group->LeaderMissing.reset();
    else if (!group->LeaderMissing)
      group->LeaderMissing = now;
    bool leaving = leader && pool(*leader) && pool(*leader)->target().Leaving;
    if (!leaving)
      group->LeavingSince.reset();
    else if (!group->LeavingSince)
      group->LeavingSince = now;
    if (now < group->NextLeadCheck)
      continue;
    auto proof = group->View.lastProof();
    bool used = group->UsedAt && now - *group->UsedAt < limits::GroupIdle;
    if (missing || leaving) {
      group->NextLeadCheck = now + limits::LeadCheckPause;
      for (const auto &it : group->Targets)
        askLead(*group, it.Name);
    } else if (used && (!proof || now - *proof > limits::HeadRefresh)) {
      group->NextLeadCheck = now + limits::HeadRefresh / 2;
      askLead(*group, *leader);
    }
  }
}

} // namespace peridotfall::proxy
