/// \file
/// A running median in constant memory, for durations with a few very long
/// outliers.

#ifndef PERIDOTFALL_RUNNING_MEDIAN_H
#define PERIDOTFALL_RUNNING_MEDIAN_H

#include "peridotfall/clock.h"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace peridotfall {

/// Moves towards each value by a fixed share, and faster while the values stay
/// on one side. A mean is unsuitable: one statement of 50 times the usual
/// length multiplies it.
struct RunningMedian {
  Duration Value{};
  std::size_t Seen = 0;
  std::size_t InRow = 0; ///< Values on the same side.
  bool Above = false;

  auto operator<=>(const RunningMedian &) const = default;

  void add(Duration it) {
    constexpr std::size_t EarlySamples = 30; // Larger steps until then.
    constexpr double EarlyStep = 0.2;
    constexpr double Step = 0.04;
    constexpr Duration MinValue = std::chrono::microseconds(10);
    constexpr std::size_t UsualRun = 4; // Values on one side by chance.
    constexpr double MaxStep = 0.5;
    bool above = it > Value;
    InRow = above == Above ? InRow + 1 : 1;
    Above = above;
    double faster =
        InRow > UsualRun ? static_cast<double>(InRow - UsualRun + 1) : 1;
    double by = 1 + std::min((Seen < EarlySamples ? EarlyStep : Step) * faster,
                             MaxStep);
    if (Seen++ == 0)
      Value = it;
    else
      Value = Duration(static_cast<Duration::rep>(
          static_cast<double>(Value.count()) * (above ? by : 1 / by)));
    Value = std::max(Value, MinValue);
  }
};

} // namespace peridotfall

#endif // PERIDOTFALL_RUNNING_MEDIAN_H
