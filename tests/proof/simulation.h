/// \file
/// Virtual time: an event queue and a seeded random number generator. The same
/// seed gives the same run on every machine.

#ifndef PERIDOTFALL_PROOF_SIMULATION_H
#define PERIDOTFALL_PROOF_SIMULATION_H

#include "peridotfall/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace peridotfall::proof {

using Action = std::function<void()>;
using std::chrono::milliseconds;

/// SplitMix64. The standard distributions differ between library
/// implementations, so a seed would not give the same run everywhere.
class Random {
public:
  explicit Random(std::uint64_t seed) : State(seed) {}

  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    auto n = State;
    n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31);
  }
  /// \param n must not be 0. \return a number below it.
  std::uint64_t below(std::uint64_t n) { return next() % n; }
  bool chance(unsigned permille) { return below(1'000) < permille; }
  milliseconds between(milliseconds low, milliseconds high) {
    auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + milliseconds(below(span));
  }

private:
  std::uint64_t State;
};

class Simulation {
public:
  explicit Simulation(std::uint64_t seed) : Rng(seed) {}

  TimePoint now() const { return Time.now(); }
  const Clock &clock() const { return Time; }

  void after(Duration delay, Action action) {
    Events.emplace(std::pair(now() + delay, ++LastEvent), std::move(action));
  }

  /// Runs all events up to \p end, and sets the clock to it.
  void runUntil(TimePoint end) {
    while (!Events.empty() && Events.begin()->first.first <= end) {
      auto event = Events.extract(Events.begin());
      Time.advance(event.key().first - now());
      event.mapped()();
    }
    Time.advance(end - now());
  }
  void runFor(Duration span) { runUntil(now() + span); }

  Random Rng;

private:
  ManualClock Time;
  std::uint64_t LastEvent = 0;
  /// The sequence number orders events of the same time by their creation.
  std::map<std::pair<TimePoint, std::uint64_t>, Action> Events;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_SIMULATION_H
