#include "proof/coordinator.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proof {

namespace {

using failover::StepOutcome;
using failover::TargetReport;

constexpr milliseconds ProbeLimit{300};
constexpr milliseconds StepLimit{300};
constexpr auto GroupKey = "peridotfall/groups/orders";
const DatabaseName Database{"orders"};

struct PeerAnswer {
  failover::TargetObservations Seen;
  std::optional<failover::VersionedObject> Object;
};

/// \return the answer; the outcome is unknown if it may have been lost.
StepAnswer answerOf(const Result<StepAnswer> &it) {
  return it ? it.value() : StepAnswer{StepOutcome::Unknown, {}};
}

} // namespace

FakeTarget *Coordinator::find(const TargetName &name) const {
  for (auto *it : Deps.Targets)
    if (it->name() == name)
      return it;
  return nullptr;
}

void Coordinator::tick(const std::vector<failover::OwnedTarget> &owned) {
  bool any = std::any_of(owned.begin(), owned.end(),
                         [&](const auto &it) { return it.Owner == Vm; });
  if (!any) {
    Group.reset();
    return;
  }
  auto now = Context.Sim.now();
  if (!Group)
    Group = failover::makeGroup(Database, Vm, owned, {}, Context.Sim.Rng.next(),
                                now);
  else
    failover::setTargets(*Group, owned, now);
  perform(failover::onTick(*Group, now));
  if (Group && !Group->Primary.empty())
    Deps.OnView({Group->InTerm, Group->Primary, leaving()});
}

std::set<TargetName> Coordinator::leaving() const {
  std::set<TargetName> out;
  for (const auto &it : Group->Targets)
    if (it.Report.Leaving)
      out.insert(it.Name);
  return out;
}

void Coordinator::perform(const failover::Actions &actions) {
  for (const auto &action : actions)
    std::visit([this](const auto &it) { perform(it); }, action);
}

void Coordinator::perform(const failover::Probe &it) {
  auto *target = find(it.Target);
  Context.Net.call<TargetReport>(
      Self, target->node(), ProbeLimit,
      [target](auto reply) { reply(target->report()); },
      [this, name = it.Target](const Result<TargetReport> &report) {
        if (!Group)
          return;
        auto now = Context.Sim.now();
        perform(report ? failover::onStatus(*Group, name, report.value(), now)
                       : failover::onUnreachable(*Group, name, now));
      });
}

void Coordinator::perform(const failover::QueryPeer &it) {
  auto *peer = Deps.Peer(it.Vm);
  if (!peer)
    return;
  Context.Net.call<std::optional<PeerAnswer>>(
      Self, peer->node(), ProbeLimit,
      [peer, version = it.Version](auto reply) {
        std::optional<PeerAnswer> answer;
        if (peer->Group)
          answer = {
              failover::observationsOf(*peer->Group, peer->Context.Sim.now()),
              failover::newerObject(*peer->Group, version)};
        reply(answer);
      },
      [this, vm = it.Vm](const Result<std::optional<PeerAnswer>> &answer) {
        if (!Group || !answer || !answer.value())
          return;
        auto [seen, object] = *answer.value();
        if (object)
          perform(failover::onPeerObject(*Group, *object, Context.Sim.now()));
        perform(failover::onPeerView(*Group, vm, seen, Context.Sim.now()));
      });
}

void Coordinator::perform(const failover::Fence &it) {
  auto *target = find(it.Target);
  Context.Net.call<StepAnswer>(
      Self, target->node(), StepLimit,
      [target, it](auto reply) { reply(target->fence(it.InTerm)); },
      [this, it](const Result<StepAnswer> &answer) {
        if (!Group)
          return;
        if (answerOf(answer).Outcome == StepOutcome::Done)
          fenced(it.InTerm);
        perform(failover::onFenced(*Group, it.Target, it.InTerm,
                                   answerOf(answer).Outcome,
                                   answerOf(answer).Report, Context.Sim.now()));
      });
}

void Coordinator::fenced(Term term) {
  if (term != FencedTerm)
    FencedCount = 0;
  FencedTerm = term;
  ++FencedCount;
  if (FencedCount == 1)
    Context.Hooks.reached(Step::OneFenced);
  if (FencedCount == 2)
    Context.Hooks.reached(Step::MajorityFenced);
}

void Coordinator::perform(const failover::Promote &it) {
  auto *target = find(it.Target);
  Context.Net.call<StepAnswer>(
      Self, target->node(), StepLimit,
      [target, it](auto reply) { reply(target->promote(it.InTerm)); },
      [this, it](const Result<StepAnswer> &answer) {
        if (Group)
          perform(failover::onPromoted(
              *Group, it.Target, it.InTerm, answerOf(answer).Outcome,
              answerOf(answer).Report, Context.Sim.now()));
      });
}

void Coordinator::perform(const failover::Follow &it) {
  auto *target = find(it.Target);
  auto *primary = find(it.Primary);
  Context.Net.call<StepAnswer>(
      Self, target->node(), StepLimit,
      [target, primary, it](auto reply) {
        reply(target->follow(it.InTerm, primary));
      },
      [this, it](const Result<StepAnswer> &answer) {
        if (Group && answerOf(answer).Outcome == StepOutcome::Done)
          perform(failover::onStatus(*Group, it.Target, answerOf(answer).Report,
                                     Context.Sim.now()));
      });
}

void Coordinator::perform(const failover::GetObject &) {
  Deps.Platform->get(Self, GroupKey, [this](const Result<StoredObject> &it) {
    if (!Group)
      return;
    auto now = Context.Sim.now();
    if (!it) {
      perform(failover::onObjectUnavailable(*Group, now));
      return;
    }
    std::optional<failover::GroupObject> object;
    if (it.value().Version != 0)
      object = failover::parseGroupObject(it.value().Value).value();
    perform(failover::onObject(*Group, object, it.value().Version, now));
  });
}

void Coordinator::perform(const failover::PutObject &it) {
  Deps.Platform->put(Self, GroupKey, it.Expected,
                     failover::writeGroupObject(it.Value),
                     [this, it](const Result<StoredObject> &answer) {
                       if (!Group)
                         return;
                       auto outcome = StepOutcome::Unknown;
                       if (answer)
                         outcome = StepOutcome::Done;
                       else if (answer.error().Code == ErrorCode::Conflict)
                         outcome = StepOutcome::Refused;
                       if (answer && it.Value.InTerm > 1)
                         Context.Hooks.reached(Step::Published);
                       perform(failover::onPutDone(*Group, it.Value.Id, outcome,
                                                   Context.Sim.now()));
                     });
}

void Coordinator::perform(const failover::HoldWrites &it) {
  Deps.HoldWrites(it.Until);
}

void Coordinator::perform(const failover::PrimaryChanged &it) {
  Deps.OnView({it.InTerm, it.Primary, leaving()});
}

void Coordinator::perform(const failover::CampaignBegun &) {
  Context.Hooks.reached(Step::Nominated);
}

} // namespace peridotfall::proof
