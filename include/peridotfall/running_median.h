/// \file
/// A median that costs two numbers, for times with a few very long ones.

#ifndef PERIDOTFALL_RUNNING_MEDIAN_H
#define PERIDOTFALL_RUNNING_MEDIAN_H

#include "peridotfall/clock.h"

#include <algorithm>
#include <compare>
#include <cstddef>

namespace peridotfall {

/// Steps towards each value by a share, and faster while the values stay on
/// one side. A mean would not do: one statement of 50 times the usual length
/// moves it by whole multiples.
struct RunningMedian {
  Duration Value{};
  std::size_t Seen = 0;
  std::size_t InRow = 0; ///< Values on the same side.
  bool Above = false;

  auto operator<=>(const RunningMedian &) const = default;

  void add(Duration it) {
    constexpr std::size_t Early = 30; // Larger steps while nothing is known.
    constexpr double EarlyStep = 0.2;
    constexpr double Step = 0.04;
    constexpr Duration Least = std::chrono::microseconds(10);
    constexpr std::size_t Usual = 4; // In a row, by chance.
    constexpr double Most = 0.5;
    bool above = it > Value;
    InRow = above == Above ? InRow + 1 : 1;
    Above = above;
    double faster = InRow > Usual ? static_cast<double>(InRow - Usual + 1) : 1;
    double by = 1 + std::min((Seen < Early ? EarlyStep : Step) * faster, Most);
    if (Seen++ == 0)
      Value = it;
    else
      Value = Duration(static_cast<Duration::rep>(
          static_cast<double>(Value.count()) * (above ? by : 1 / by)));
    Value = std::max(Value, Least);
  }
};

} // namespace peridotfall

#endif // PERIDOTFALL_RUNNING_MEDIAN_H
