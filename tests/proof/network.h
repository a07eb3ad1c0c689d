/// \file
/// Fake links between nodes, which can be cut, slowed, or lose or duplicate
/// answers in each direction separately; and nodes that can be killed, started,
/// paused and resumed.

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
  Duration ExtraDelay{};          ///< Added to the delay.
  unsigned LossPermille = 0;      ///< Answers that are lost.
  unsigned DuplicatePermille = 0; ///< Answers that are delivered twice.
  bool Crossed = false;           ///< Each two consecutive answers are swapped.

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
  /// Drops its timers and the messages in flight to it.
  void kill(NodeId node);
  void start(NodeId node);
  bool isUp(NodeId node) const { return Nodes[node.Index].Up; }
  bool isPaused(NodeId node) const { return Nodes[node.Index].Paused; }

  /// Runs the action at the node after a delay. A paused node runs it when it
  /// resumes, a killed one never.
  void timer(NodeId node, Duration delay, Action action);
  void send(NodeId from, NodeId to, const Action &deliver);
  using OnAnswer = std::function<void(StatementAnswer)>;
  /// Sends an answer, which the link may lose, duplicate or swap with another.
  void answer(NodeId from, NodeId to, StatementAnswer it,
              const OnAnswer &deliver);

  /// Calls a node. \p serve runs at the callee with the function that sends the
  /// answer. \p done runs once at the caller: with the answer, with Unavailable
  /// if the callee refused the connection, or with Unknown after \p limit.
  template <class R>
  void call(NodeId from, NodeId to, Duration limit,
            std::function<void(std::function<void(R)>)> serve,
            std::function<void(Result<R>)> done);

private:
  struct Node {
    bool Up = true;
    bool Paused = false;
    std::uint64_t Incarnation = 1;
    std::vector<Action> Deferred; ///< Events that were due while it was paused.
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
  std::map<Direction, HeldAnswer> CrossedAnswers;
};

template <class R>
void Network::call(NodeId from, NodeId to, Duration limit,
                   std::function<void(std::function<void(R)>)> serve,
                   std::function<void(Result<R>)> done) {
  auto pending =
      std::make_shared<std::function<void(Result<R>)>>(std::move(done));
  auto finish = [this, from, incarnation = Nodes[from.Index].Incarnation,
                 pending](Result<R> it) {
    // The caller was restarted; its new process must not get the answer.
    if (Nodes[from.Index].Incarnation != incarnation)
      return;
    // A timeout or a duplicate after the first result is dropped.
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
    } else if (!Sim.Rng.chance(link(to, from).LossPermille)) {
      send(to, from, [finish, it] { finish(it); });
    }
  };
  send(from, to, [serve = std::move(serve), reply] { serve(reply); });
}

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_NETWORK_H
