/// \file
/// Fake links between nodes, each way on its own: cut, slowed, losing or
/// doubling; and nodes that are killed, started, paused and resumed.

#ifndef PERIDOTFALL_PROOF_NETWORK_H
#define PERIDOTFALL_PROOF_NETWORK_H

#include "peridotfall/result.h"
#include "peridotfall/statement.h"
#include "proof/simulation.h"

#include <compare>
#include <map>
#include <memory>
#include <type_traits>
#include <utility>
#include <vector>

namespace peridotfall::proof {

struct NodeId {
  unsigned Index = 0;

  auto operator<=>(const NodeId &) const = default;
};

/// One direction between two nodes.
struct Link {
  bool Cut = false;
  Duration Extra{};            ///< Added to the delay.
  unsigned LosePermille = 0;   ///< Answers lost on the way.
  unsigned DoublePermille = 0; ///< Answers that come twice.
  bool Crossed = false;        ///< Answers change places, two by two.

  auto operator<=>(const Link &) const = default;
};

class Network {
public:
  Network(Simulation &simulation, Duration oneWay)
      : Sim(simulation), OneWay(oneWay) {}

  NodeId add();
  Link &link(NodeId from, NodeId to) { return Links[{from, to}]; }
  void healAll() { Links.clear(); }

  void pause(NodeId node);
  void resume(NodeId node);
  /// What was on its way to it, and its timers, are dropped.
  void kill(NodeId node);
  void start(NodeId node);
  bool isUp(NodeId node) const { return Nodes[node.Index].Up; }
  bool isPaused(NodeId node) const { return Nodes[node.Index].Paused; }

  /// Runs the action at the node after a time; a paused node runs it when it
  /// is resumed, a killed one never.
  void timer(NodeId node, Duration delay, Action action);
  void send(NodeId from, NodeId to, const Action &deliver);
  using OnAnswer = std::function<void(StatementAnswer)>;
  /// Sends an answer, which the link may lose or exchange for another.
  void answer(NodeId from, NodeId to, StatementAnswer it,
              const OnAnswer &deliver);

  /// A call with its answer. \p serve runs at the callee and is given the
  /// function that answers. \p done runs once at the caller: with the answer,
  /// with Unavailable where the callee refused the connection, or with Unknown
  /// when the limit has passed.
  template <class R>
  void call(NodeId from, NodeId to, Duration limit,
            std::function<void(std::function<void(R)>)> serve,
            std::function<void(Result<R>)> done);

private:
  struct Node {
    bool Up = true;
    bool Paused = false;
    std::uint64_t Incarnation = 1;
    std::vector<Action> Deferred; ///< While it is paused.
  };
  struct HeldAnswer {
    StatementAnswer Answer;
    OnAnswer Deliver;
  };
  using Direction = std::pair<NodeId, NodeId>;

  void runAt(NodeId node, std::uint64_t incarnation, const Action &action);

  Simulation &Sim;
  Duration OneWay;
  std::vector<Node> Nodes;
  std::map<Direction, Link> Links;
  std::map<Direction, HeldAnswer> Held;
};

template <class R>
void Network::call(NodeId from, NodeId to, Duration limit,
                   std::function<void(std::function<void(R)>)> serve,
                   std::function<void(Result<R>)> done) {
  auto pending =
      std::make_shared<std::function<void(Result<R>)>>(std::move(done));
  auto finish = [this, from, incarnation = Nodes[from.Index].Incarnation,
                 pending](Result<R> it) {
    // Whoever asked is gone, and another has taken its place.
    if (Nodes[from.Index].Incarnation != incarnation)
      return;
    // The limit and a doubled answer come after the first: dropped.
    if (auto first = std::exchange(*pending, nullptr))
      first(std::move(it));
  };
  timer(from, limit, [finish] {
    finish(Error{ErrorCode::Unknown, "no answer within the limit"});
  });
  if (!isUp(to) && !link(from, to).Cut) {
    timer(from, 2 * OneWay, [finish] {
      finish(Error{ErrorCode::Unavailable, "connection refused"});
    });
    return;
  }
  auto reply = [this, from, to, finish](R it) {
    if constexpr (std::is_same_v<R, StatementAnswer>) {
      answer(to, from, std::move(it),
             [finish](StatementAnswer value) { finish(std::move(value)); });
    } else if (!Sim.Rng.chance(link(to, from).LosePermille)) {
      send(to, from, [finish, it] { finish(it); });
    }
  };
  send(from, to, [serve = std::move(serve), reply] { serve(reply); });
}

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_NETWORK_H
