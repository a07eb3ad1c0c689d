/// \file
/// A sum of durations in which recent ones weigh most.

#ifndef PERIDOTFALL_PROXY_DECAYING_SUM_H
#define PERIDOTFALL_PROXY_DECAYING_SUM_H

#include "base/durations.h"
#include "peridotfall/clock.h"

#include <cmath>
#include <compare>

namespace peridotfall::proxy {

/// Halves with each HalfLife.
struct DecayingSum {
  /// Longer than the pauses between an account's statements, shorter than a
  /// change of its demand that matters.
  static constexpr std::chrono::seconds HalfLife{5};

  double Seconds = 0;
  TimePoint UpdatedAt{};

  auto operator<=>(const DecayingSum &) const = default;

  double at(TimePoint now) const {
    using Lives = std::chrono::duration<double, std::ratio<5>>;
    static_assert(Lives(1) == HalfLife);
    return Seconds * std::exp2(-Lives(now - UpdatedAt).count());
  }
  void add(Duration it, TimePoint now) {
    Seconds = at(now) + secondsOf(it);
    UpdatedAt = now;
  }
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_DECAYING_SUM_H
