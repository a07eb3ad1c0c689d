#include "proof/network.h"

namespace peridotfall::proof {

NodeId Network::add() {
  Nodes.emplace_back();
  return {static_cast<unsigned>(Nodes.size() - 1)};
}

void Network::pause(NodeId node) { Nodes[node.Index].Paused = true; }

void Network::resume(NodeId node) {
  auto &it = Nodes[node.Index];
  it.Paused = false;
  auto deferred = std::exchange(it.Deferred, {});
  for (const auto &action : deferred)
    timer(node, Duration(0), action);
}

void Network::kill(NodeId node) {
  auto &it = Nodes[node.Index];
  it.Up = false;
  it.Paused = false;
  it.Deferred.clear();
  ++it.Incarnation;
}

void Network::start(NodeId node) { Nodes[node.Index].Up = true; }

void Network::runAt(NodeId node, std::uint64_t incarnation,
                    const Action &action) {
  auto &it = Nodes[node.Index];
  if (!it.Up || it.Incarnation != incarnation)
    return;
  if (it.Paused)
    it.Deferred.push_back(action);
  else
    action();
}

void Network::timer(NodeId node, Duration delay, Action action) {
  Sim.after(delay,
            [this, node, incarnation = Nodes[node.Index].Incarnation,
             action = std::move(action)] { runAt(node, incarnation, action); });
}

void Network::send(NodeId from, NodeId to, const Action &deliver) {
  const auto &way = link(from, to);
  if (way.Cut)
    return;
  auto jitter = std::chrono::microseconds(Sim.Rng.below(500));
  timer(to, OneWay + jitter + way.ExtraDelay, deliver);
}

void Network::answer(NodeId from, NodeId to, StatementAnswer it,
                     const OnAnswer &deliver) {
  const auto &way = link(from, to);
  if (Sim.Rng.chance(way.LossPermille))
    return;
  // Requests are never duplicated, since they are sent over a connection.
  int copies = Sim.Rng.chance(way.DuplicatePermille) ? 2 : 1;
  auto pass = [this, from, to, deliver, copies](const StatementAnswer &value) {
    for (int n = 0; n < copies; ++n)
      send(from, to, [deliver, value] { deliver(value); });
  };
  if (!way.Crossed) {
    pass(it);
    return;
  }
  auto held = CrossedAnswers.find({from, to});
  if (held == CrossedAnswers.end()) {
    CrossedAnswers[{from, to}] = {std::move(it), pass};
    return;
  }
  auto first = std::move(held->second);
  CrossedAnswers.erase(held);
  first.Deliver(it);
  pass(first.Answer);
}

} // namespace peridotfall::proof
