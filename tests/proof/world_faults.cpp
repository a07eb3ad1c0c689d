// How each fault is brought about, and ended.

#include "proof/world.h"

#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds SlowExtra{120};
constexpr milliseconds LateExtra{700};
constexpr milliseconds LongLag{1'500};
constexpr unsigned LosePermille = 500;
constexpr unsigned DoublePermille = 500;

} // namespace

NodeId World::nodeAt(FaultPlace place) {
  switch (place) {
  case FaultPlace::Owner:
    return ownerOf(primary()->name())->node();
  case FaultPlace::Primary:
    return primary()->node();
  case FaultPlace::Replica:
    return replica()->node();
  case FaultPlace::Platform:
    return Platform->node();
  default:
    return pick()->node();
  }
}

std::vector<std::pair<NodeId, NodeId>> World::linksAt(FaultPlace place,
                                                      bool out, bool in) {
  std::vector<NodeId> inner;
  std::vector<NodeId> outer;
  if (place == FaultPlace::RegionLink) {
    // The far region: the last target and the last two daemons.
    inner = {Targets.back()->node(), Daemons.back()->node(),
             Daemons[Daemons.size() - 2]->node()};
  } else {
    inner = {nodeAt(place)};
  }
  std::vector<NodeId> all{Platform->node()};
  // Callers stay on their side of a link between regions.
  if (place != FaultPlace::RegionLink)
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

Action World::strikeLinks(const Fault &it) {
  bool out = true;
  bool in = it.Kind == FaultKind::CutBothWays || it.Kind == FaultKind::SlowLink;
  // Half of the one-way cuts let it speak and not hear.
  if (it.Kind == FaultKind::CutOneWay && Sim.Rng.chance(500))
    std::swap(out, in);
  Link spoilt;
  switch (it.Kind) {
  case FaultKind::SlowLink:
    spoilt.Extra = SlowExtra;
    break;
  case FaultKind::AnswersLate:
    spoilt.Extra = LateExtra;
    break;
  case FaultKind::AnswersLost:
    spoilt.LosePermille = LosePermille;
    break;
  case FaultKind::AnswersDoubled:
    spoilt.DoublePermille = DoublePermille;
    break;
  case FaultKind::AnswersCrossed:
    spoilt.Crossed = true;
    break;
  default:
    spoilt.Cut = true;
  }
  auto links = linksAt(it.Place, out, in);
  for (auto [from, to] : links)
    Net.link(from, to) = spoilt;
  return [this, links] {
    for (auto [from, to] : links)
      Net.link(from, to) = {};
  };
}

/// The daemon that changes the primary right now, or else its owner.
Action World::pauseHolder() {
  auto node = nodeAt(FaultPlace::Owner);
  for (auto &it : Daemons)
    if (it->Failover.leads())
      node = it->node();
  Net.pause(node);
  return [this, node] { Net.resume(node); };
}

Action World::strike(const Fault &it) {
  auto platform = [this](PlatformFault fault) -> Action {
    Platform->Fault = fault;
    return [this] { Platform->Fault = PlatformFault::None; };
  };
  switch (it.Kind) {
  case FaultKind::Kill: {
    auto node = nodeAt(it.Place);
    killNode(node);
    return [this, node] { startNode(node); };
  }
  case FaultKind::Freeze: {
    auto node = nodeAt(it.Place);
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
    // The list shows its age only when somebody has gone.
    Platform->setListLag(true);
    auto node = nodeAt(FaultPlace::Owner);
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
  case FaultKind::HolderPaused:
    return pauseHolder();
  default:
    return strikeLinks(it);
  }
}

} // namespace peridotfall::proof
