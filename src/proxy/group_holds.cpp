// Groups: connection holders hold writes while a primary is replaced.

#include "proxy/groups.h"

#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

bool Groups::isHeld(const TargetEntry &target) const {
  auto it = ByName.find(target.Group);
  if (it == ByName.end())
    return false;
  const auto &group = *it->second;
  if (group.Held.covers(target.Name))
    return true;
  // Without a configuration any group's commits may wait for replicas.
  bool mayWait = !HasSettings || group.Settings.WaitsForReplica;
  return mayWait && HoldsUnknownUntil;
}

template <class Action> void Groups::forHeldPools(Action action) {
  for (auto &[name, it] : Accesses)
    if (isHeld(it.Pool->target()))
      action(*it.Pool);
  for (auto &it : Retired)
    if (isHeld(it->target()))
      action(*it);
}

void Groups::updateHeldPools() {
  for (auto &[name, it] : Accesses)
    it.Pool->holdWrites(isHeld(it.Pool->target()));
  for (auto &it : Retired)
    it->holdWrites(isHeld(it->target()));
}

bool Groups::hold(const WriteHold &hold, std::function<void()> held) {
  auto now = Time.now();
  auto &group = groupOf(hold.Group);
  auto before = group.Held.current();
  if (!group.Held.apply(hold, now))
    return false;
  if (before != group.Held.current())
    telemetry::log(
        Event::WriteHoldApplied,
        {field("group", hold.Group.Value),
         field("target", hold.Target.empty() ? "all" : hold.Target.Value),
         field("ends", hold.Ends), field("leadership", hold.Id.Leadership),
         field("count", hold.Id.Count)});
  if (hold.Ends)
    WithHold.erase(hold.Group);
  else
    WithHold.insert(hold.Group);
  updateHeldPools();
  if (hold.Ends)
    return true;
  // A silent target answers nothing that is worth a wait.
  bool isSilent = !hold.Target.empty() && unreachableSince(hold.Target);
  Draining draining{hold.Group, hold.Id,
                    isSilent ? now : now + limits::WriteDrain, std::move(held)};
  if (!tickDraining(draining, now))
    DrainingHolds.push_back(std::move(draining));
  return true;
}

bool Groups::tickDraining(Draining &it, TimePoint now) {
  bool isRunning = false;
  forHeldPools([&](const TargetPool &pool) {
    isRunning = isRunning ||
                (pool.target().Group == it.Group && pool.hasCommitRunning());
  });
  if (isRunning && now < it.Until)
    return false;
  if (isRunning)
    forHeldPools([&](TargetPool &pool) {
      if (pool.target().Group == it.Group)
        pool.cutCommits();
    });
  if (it.Held)
    it.Held();
  return true;
}

void Groups::handleHolds(const HoldList &kept) {
  if (kept.Leadership == 0)
    return;
  HoldsUnknownUntil.reset();
  for (auto ending : holds()) {
    bool isKept = std::any_of(
        kept.Holds.begin(), kept.Holds.end(),
        [&](const WriteHold &it) { return it.Group == ending.Group; });
    // Only the leader that began a hold knows that it is over.
    if (isKept || ending.Id.Leadership != kept.Leadership)
      continue;
    ending.Ends = true;
    hold(ending, nullptr);
  }
  for (const auto &it : kept.Holds)
    hold(it, nullptr);
  updateHeldPools();
}

std::vector<WriteHold> Groups::holds() const {
  std::vector<WriteHold> out;
  for (const auto &name : WithHold)
    if (const auto &it = ByName.at(name)->Held.current())
      out.push_back(*it);
  return out;
}

std::vector<VmName> Groups::connectionHolders(const Group &group) {
  std::set<VmName> out;
  for (const auto &it : group.Targets) {
    auto first =
        Ranks.first(it, planOf(group, it).Holders + limits::HoldMargin);
    out.insert(first.begin(), first.end());
  }
  return {out.begin(), out.end()};
}

void Groups::noteSuspension() {
  auto now = Time.now();
  if (now - LastTick <= limits::MaxTickInterval)
    return;
  LastTick = now;
  HoldsUnknownUntil = now + limits::UnknownHoldLimit;
  updateHeldPools();
  forHeldPools([](TargetPool &pool) { pool.cutCommits(); });
}

void Groups::tickHolds(TimePoint now) {
  bool changed = HoldsUnknownUntil && now >= *HoldsUnknownUntil;
  if (changed)
    HoldsUnknownUntil.reset();
  bool isOld = false;
  for (auto it = WithHold.begin(); it != WithHold.end();) {
    auto &held = ByName.at(*it)->Held;
    bool expired = held.expire(now);
    if (expired)
      telemetry::log(Event::WriteHoldExpired, {field("group", it->Value)});
    isOld = isOld || (!expired && held.age(now) >= limits::HoldQueryAge);
    changed = changed || expired;
    it = expired ? WithHold.erase(it) : std::next(it);
  }
  if (changed)
    updateHeldPools();
  std::erase_if(DrainingHolds,
                [&](Draining &it) { return tickDraining(it, now); });
  bool isWanted = AnyWaits && (HoldsUnknownUntil || isOld);
  if (!isWanted || now < NextHoldQuery)
    return;
  NextHoldQuery = now + limits::HoldQueryPause;
  if (OnHoldsUnknown)
    OnHoldsUnknown();
}

} // namespace peridotfall::proxy
