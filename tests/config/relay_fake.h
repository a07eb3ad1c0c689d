/// \file
/// Simulates, in virtual time, many daemons that relay one change. The tree is
/// the production code's; links and failures are parameters.

#ifndef PERIDOTFALL_TESTS_CONFIG_RELAY_FAKE_H
#define PERIDOTFALL_TESTS_CONFIG_RELAY_FAKE_H

#include "config/fan_out.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::fake {

using std::chrono::milliseconds;

struct RelayOptions {
  std::size_t Daemons = 1'700;
  std::size_t Domains = 7;
  std::size_t Watchers = 99; ///< Limit of those that reach the platform.
  double Dead = 0;           ///< Share of failed daemons, not yet noticed.
  bool AdoptChildren = true; ///< Relay to those of a dead child.
  bool Compare = true;
  milliseconds Link{8};        ///< One-way delay between any two.
  milliseconds SendLimit{500}; ///< Until a child counts as dead.
  milliseconds ComparePeriod{2'000};
  milliseconds End{20'000};
  std::uint64_t Seed = 1;
};

struct RelayOutcome {
  std::vector<milliseconds> ReachedAt; ///< Sorted; live daemons only.
  std::size_t Alive = 0;
  std::size_t Messages = 0;
  std::size_t MaxSent = 0; ///< By one daemon.

  bool all() const { return ReachedAt.size() == Alive; }
  milliseconds last() const {
    return ReachedAt.empty() ? milliseconds{} : ReachedAt.back();
  }
};

class RelayRun {
public:
  explicit RelayRun(const RelayOptions &options)
      : Options(options), Random(options.Seed) {
    for (std::size_t n = 0; n < options.Daemons; ++n) {
      Member it;
      it.Vm = VmName("vm-" + std::to_string(n));
      it.Domain = DomainName("d" + std::to_string(n % options.Domains));
      All.push_back(it);
    }
    std::bernoulli_distribution dead(options.Dead);
    for (const auto &it : All)
      if (dead(Random))
        Dead.insert(it.Vm);
  }

  /// At time 0 the live watchers receive the change.
  RelayOutcome run() {
    for (const auto &it : All)
      if (Dead.count(it.Vm) == 0) {
        ++Out.Alive;
        if (Watching < Options.Watchers && isWatcher(All, it) && ++Watching)
          at(milliseconds(0), [this, it] { learn(it.Vm, {it.Vm, false}); });
        if (Options.Compare)
          at(pause(), [this, it] { compare(it.Vm); });
      }
    while (!Events.empty() && Events.top().At <= Options.End) {
      auto it = Events.top();
      Events.pop();
      Now = it.At;
      it.Do();
    }
    for (const auto &[vm, when] : Reached)
      Out.ReachedAt.push_back(when);
    std::sort(Out.ReachedAt.begin(), Out.ReachedAt.end());
    for (const auto &[vm, n] : Sent)
      Out.MaxSent = std::max(Out.MaxSent, n);
    return Out;
  }

private:
  struct Event {
    milliseconds At;
    std::uint64_t Turn;
    std::function<void()> Do;
    bool operator<(const Event &it) const {
      return std::tie(it.At, it.Turn) < std::tie(At, Turn);
    }
  };

  void at(milliseconds when, std::function<void()> action) {
    Events.push({when, ++Turn, std::move(action)});
  }

  milliseconds pause() {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        1, Options.ComparePeriod.count())(Random));
  }

  void learn(const VmName &vm, const RelayTree &tree) {
    Reached.emplace(vm, Now);
    if (Passed.insert({vm, tree.Root}).second)
      passOn(vm, tree, vm);
  }

  void passOn(const VmName &sender, const RelayTree &tree, const VmName &node) {
    auto &order = Orders[tree.Root];
    if (order.empty())
      order = buildRelayOrder(All, tree);
    for (const auto &it : childrenOf(order, tree, node)) {
      ++Out.Messages;
      ++Sent[sender];
      if (Dead.count(it.Vm) == 0)
        // The announcement, and fetching the change.
        at(Now + 3 * Options.Link, [this, it, tree] { learn(it.Vm, tree); });
      else if (Options.AdoptChildren)
        at(Now + Options.SendLimit,
           [this, sender, it, tree] { passOn(sender, tree, it.Vm); });
    }
  }

  void compare(const VmName &vm) {
    const auto &peer = All[Random() % All.size()].Vm;
    ++Out.Messages;
    if (Dead.count(peer) == 0 && Reached.count(vm) + Reached.count(peer) == 1) {
      auto late = Reached.count(vm) ? peer : vm;
      at(Now + 4 * Options.Link, [this, late] { learn(late, {late, true}); });
    }
    at(Now + Options.ComparePeriod, [this, vm] { compare(vm); });
  }

  RelayOptions Options;
  std::mt19937_64 Random;
  std::vector<Member> All;
  std::set<VmName> Dead;
  std::priority_queue<Event> Events;
  std::map<VmName, RelayTreeOrder> Orders;
  std::size_t Watching = 0;
  std::uint64_t Turn = 0;
  milliseconds Now{};
  std::map<VmName, milliseconds> Reached;
  std::set<std::pair<VmName, VmName>> Passed;
  std::map<VmName, std::size_t> Sent;
  RelayOutcome Out;
};

} // namespace peridotfall::fake

#endif // PERIDOTFALL_TESTS_CONFIG_RELAY_FAKE_H
