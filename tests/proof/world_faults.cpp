// Injects and ends each fault.

#include "proof/world.h"

#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds SlowExtra{120};
constexpr milliseconds LateExtra{700};
constexpr milliseconds LongLag{1'500};
constexpr unsigned LossPermille = 500;
constexpr unsigned DuplicatePermille = 500;

} // namespace

NodeId World::nodeAt(FaultLocation location) {
  switch (location) {
  case FaultLocation::Owner:
    return ownerOf(primary()->name())->node();
  case FaultLocation::Primary:
    return primary()->node();
  case FaultLocation::Replica:
    return replica()->node();
  case FaultLocation::Platform:
    return Platform->node();
  default:
    return pick()->node();
  }
}

std::vector<std::pair<NodeId, NodeId>> World::linksAt(FaultLocation location,
                                                      bool out, bool in) {
  std::vector<NodeId> inner;
  std::vector<NodeId> outer;
  if (location == FaultLocation::RegionLink) {
    // The far region: the last target and the last two daemons.
    inner = {Targets.back()->node(), Daemons.back()->node(),
             Daemons[Daemons.size() - 2]->node()};
  } else {
    inner = {nodeAt(location)};
  }
  std::vector<NodeId> all{Platform->node()};
  // A link between regions doesn't affect the callers' links.
  if (location != FaultLocation::RegionLink)
    all.push_back(CallerNode);
  for (auto &it : Targets)
    all.push_back(it->node());
  for (auto &it : Daemons)
    all.push_back(it->node());
  std::vector<std::pair<NodeId, NodeId>> links;
  for (auto a : inner)
    for (auto b : all) {
      if (std::find(inner.begin(), inner.end(), b) != inner.end())
        continue;
      if (out)
        links.emplace_back(a, b);
      if (in)
        links.emplace_back(b, a);
    }
  return links;
}

Action World::injectLinkFault(const Fault &it) {
  bool out = true;
  bool in = it.Kind == FaultKind::CutBothWays || it.Kind == FaultKind::SlowLink;
  // Half of the one-way cuts drop incoming messages in place of outgoing ones.
  if (it.Kind == FaultKind::CutOneWay && Sim.Rng.chance(500))
    std::swap(out, in);
  Link faulty;
  switch (it.Kind) {
  case FaultKind::SlowLink:
    faulty.ExtraDelay = SlowExtra;
    break;
  case FaultKind::AnswersLate:
    faulty.ExtraDelay = LateExtra;
    break;
  case FaultKind::AnswersLost:
    faulty.LossPermille = LossPermille;
    break;
  case FaultKind::AnswersDoubled:
    faulty.DuplicatePermille = DuplicatePermille;
    break;
  case FaultKind::AnswersCrossed:
    faulty.Crossed = true;
    break;
  default:
    faulty.Cut = true;
  }
  auto links = linksAt(it.Location, out, in);
  for (auto [from, to] : links)
    Net.link(from, to) = faulty;
  return [this, links] {
    for (auto [from, to] : links)
      Net.link(from, to) = {};
  };
}

/// Pauses the daemon that runs a change of primary, or else the primary's
/// owner.
Action World::pauseLeader() {
  auto node = nodeAt(FaultLocation::Owner);
  for (auto &it : Daemons)
    if (it->Failover.leads())
      node = it->node();
  Net.pause(node);
  return [this, node] { Net.resume(node); };
}

Action World::inject(const Fault &it) {
  auto platform = [this](PlatformFault fault) -> Action {
    Platform->Fault = fault;
    return [this] { Platform->Fault = PlatformFault::None; };
  };
  switch (it.Kind) {
  case FaultKind::Kill: {
    auto node = nodeAt(it.Location);
    killNode(node);
    return [this, node] { startNode(node); };
  }
  case FaultKind::Freeze: {
    auto node = nodeAt(it.Location);
    Net.pause(node);
    return [this, node] { Net.resume(node); };
  }
  case FaultKind::PlatformDown:
    return platform(PlatformFault::Down);
  case FaultKind::PlatformSlow:
    return platform(PlatformFault::Slow);
  case FaultKind::PlatformAnswersLost:
    applyConfiguration();
    return platform(PlatformFault::AnswersLost);
  case FaultKind::LaggingReplica: {
    auto *target = replica();
    auto lag = std::exchange(target->ShipLag, LongLag);
    return [target, lag] { target->ShipLag = lag; };
  }
  case FaultKind::LaggingList: {
    // A lagging list makes a difference only after a member has gone.
    Platform->setListLag(true);
    auto node = nodeAt(FaultLocation::Owner);
    killNode(node);
    return [this, node] {
      startNode(node);
      Platform->setListLag(false);
    };
  }
  case FaultKind::OperatorsRacing:
    applyConfiguration();
    applyConfiguration();
    return [] {};
  case FaultKind::LeaderPaused:
    return pauseLeader();
  default:
    return injectLinkFault(it);
  }
}

} // namespace peridotfall::proof
