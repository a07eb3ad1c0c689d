/// \file
/// Conversion of durations to whole microseconds for messages.

#ifndef PERIDOTFALL_MESSAGES_TIME_H
#define PERIDOTFALL_MESSAGES_TIME_H

#include "peridotfall/clock.h"

#include <algorithm>
#include <cstdint>

namespace peridotfall::messages {

inline std::uint64_t toMicros(Duration it) {
  auto n = std::chrono::duration_cast<std::chrono::microseconds>(it).count();
  return n < 0 ? 0 : static_cast<std::uint64_t>(n);
}

/// One year, more than any wait. Larger values could overflow when added to a
/// time point.
inline constexpr std::int64_t MaxMicros = 365LL * 86'400 * 1'000'000;

inline Duration fromMicros(std::uint64_t n) {
  constexpr auto Max = static_cast<std::uint64_t>(MaxMicros);
  return std::chrono::microseconds(std::min(n, Max));
}

/// For a duration that may be negative, such as the time to a past deadline.
inline Duration fromSignedMicros(std::int64_t n) {
  return std::chrono::microseconds(std::clamp(n, -MaxMicros, MaxMicros));
}

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_TIME_H
