// FailoverController: holds the writes of a group whose commits wait for
// replicas, and ends a change of its primary once no order is open.

#include "proxy/failover_controller.h"

#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

void FailoverController::awaitTakeover(const GroupName &name, Group &group,
                                       Change &change, TimePoint now) {
  bool present = group.View.leader() && !group.LeaderMissingSince;
  bool leads = present && group.View.leader() == change.Chosen;
  bool isOver = now - change.Since >= limits::PromotionSettleTimeout;
  // An order before the one that keeps the primary may have been accepted.
  if (change.KeepsPrimary && !isOver)
    return;
  if (leads && !change.KeepsPrimary)
    countChangePart(Metrics, ChangePart::Takeover, now - change.Since);
  if (!leads && !isOver)
    return;
  bool kept = std::exchange(change.KeepsPrimary, false);
  if (leads || !change.Hold || (kept && present)) {
    endChange(change);
    return;
  }
  // The writes stay held: the promotion may still take effect.
  change.HasOpenOrder = !kept;
  change.CurrentStep = Step::Watching;
  telemetry::log(Event::PromotionWithoutEffect,
                 {field("group", name.Value),
                  field("target", change.Chosen.Value),
                  field("number", change.Number)});
}

/// The answers of a round that was interrupted by a suspension may be out of
/// date, and so may the hold.
void FailoverController::restartSelections() {
  for (auto &[name, it] : Changes)
    if (it.Hold &&
        (it.CurrentStep == Step::Holding || it.CurrentStep == Step::Selecting))
      it.CurrentStep = Step::Watching;
}

void FailoverController::endChange(Change &change) {
  if (change.Hold) {
    auto end = change.Hold->hold();
    end.Ends = true;
    for (const auto &vm : change.Hold->told())
      if (vm == Self.Vm)
        Targets.hold(end, nullptr);
      else
        Port.holdWrites(vm, end);
  }
  change = {};
}

void FailoverController::adoptHolds(const std::vector<WriteHold> &holds) {
  for (const auto &it : holds) {
    auto *group = Targets.find(it.Group);
    if (it.Id.Leadership >= Leadership || Changes.contains(it.Group) ||
        !group || group->Targets.empty() || !group->Settings.WaitsForReplica ||
        !Targets.isLookedAfter(*group))
      continue;
    // Another target leads by now, so the order has been carried out.
    const auto &leader = group->View.leader();
    if (!it.Target.empty() && leader && leader != it.Target)
      continue;
    Changes[it.Group].HasOpenOrder = true;
    telemetry::log(Event::HoldAdopted, {field("group", it.Group.Value),
                                        field("leadership", it.Id.Leadership)});
  }
}

HoldList FailoverController::handleHoldQuery(const HoldList &theirs) {
  if (!isLeader() || !Targets.knowsHolds())
    return {};
  adoptHolds(theirs.Holds);
  HoldList out{Leadership, {}};
  for (const auto &[name, it] : Changes)
    if (it.Hold)
      out.Holds.push_back(it.Hold->hold());
  return out;
}

void FailoverController::handleHoldAnswer(const GroupName &group, HoldId hold,
                                          const VmName &daemon,
                                          bool confirmed) {
  auto it = Changes.find(group);
  if (it != Changes.end() && it->second.Hold &&
      it->second.Hold->hold().Id == hold)
    it->second.Hold->answered(daemon, confirmed, Time.now());
}

void FailoverController::beginHold(const GroupName &name, Group &group,
                                   Change &change) {
  change.CurrentStep = Step::Holding;
  WriteHold hold;
  hold.Group = name;
  hold.Id = {Leadership, ++LastHold};
  // After an open order another target may lead at any time, and lose its lead
  // to the next order.
  if (!change.HasOpenOrder)
    hold.Target = group.View.leader().value_or(TargetName());
  change.Hold.emplace(std::move(hold));
  change.HoldersAt = {};
  tellHolders(group, change, Time.now());
}

void FailoverController::tellHolders(Group &group, Change &change,
                                     TimePoint now) {
  if (now - change.HoldersAt >= limits::HoldRefresh) {
    change.Holders = Targets.connectionHolders(group);
    change.HoldersAt = now;
  }
  const auto hold = change.Hold->hold();
  for (const auto &vm : change.Hold->due(change.Holders, now)) {
    if (vm != Self.Vm) {
      Port.holdWrites(vm, hold);
      continue;
    }
    auto held = [this, name = hold.Group, id = hold.Id] {
      handleHoldAnswer(name, id, Self.Vm, true);
    };
    if (!Targets.hold(hold, held))
      handleHoldAnswer(hold.Group, hold.Id, Self.Vm, false);
  }
}

/// Goes on without a daemon that does not answer: else the writes would stop
/// for as long as one is gone.
void FailoverController::awaitHold(const GroupName &name, Group &group,
                                   Change &change, TimePoint now) {
  if (endIfNeedless(name, group, change, now))
    return;
  auto missing = change.Hold->missing(change.Holders);
  if (!missing.empty() && now - change.Since < limits::HoldConfirmTimeout)
    return;
  std::string names;
  for (const auto &it : missing)
    names += (names.empty() ? "" : ",") + it.Value;
  const auto &hold = change.Hold->hold();
  telemetry::log(
      Event::WritesHeldForChange,
      {field("group", name.Value),
       field("target", hold.Target.empty() ? "all" : hold.Target.Value),
       field("daemons", change.Holders.size()),
       field("missing", missing.empty() ? "none" : names),
       field("took_ms",
             std::chrono::duration_cast<milliseconds>(now - change.Since)
                 .count())});
  countChangePart(Metrics, ChangePart::Hold, now - change.Since);
  change.Since = now;
  queryReplicas(name, group, change);
}

bool FailoverController::endIfNeedless(const GroupName &name, Group &group,
                                       Change &change, TimePoint now) {
  bool primaryBack = !change.Planned && !group.LeaderMissingSince;
  bool handoverCancelled = change.Planned && !group.LeavingSince;
  if (!primaryBack && !handoverCancelled)
    return false;
  if (!change.HasOpenOrder) {
    endChange(change);
    return true;
  }
  if (change.CurrentStep == Step::Holding)
    return false;
  auto leader = group.View.leader();
  if (!leader || group.LeaderMissingSince) {
    change.Planned = false;
    return false;
  }
  if (!change.PrimaryAt) {
    // It may have lost its lead already, which the list does not tell yet.
    if (change.Pending.empty() ||
        now - change.RoundAt >= limits::StatusTimeout) {
      queryAll(name, group, change);
      change.NotBefore = now + limits::StatusRoundPause;
    }
    return true;
  }
  auto number = takeNumber(name, change, now);
  if (!number)
    return true;
  change.Chosen = *leader;
  change.Number = *number;
  change.KeepsPrimary = true;
  telemetry::log(Event::PrimaryKept,
                 {field("group", name.Value), field("target", leader->Value),
                  field("number", change.Number)});
  beginPromotion(name, change);
  return true;
}

} // namespace peridotfall::proxy
