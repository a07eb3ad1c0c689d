/// \file
/// Spans of time in messages: whole microseconds.

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

/// Past this a sum with the clock could overflow; no wait is that long.
inline constexpr std::int64_t LongestMicros = 365LL * 86'400 * 1'000'000;

inline Duration fromMicros(std::uint64_t n) {
  constexpr auto Longest = static_cast<std::uint64_t>(LongestMicros);
  return std::chrono::microseconds(std::min(n, Longest));
}

/// Of a span that may be over already.
inline Duration fromSignedMicros(std::int64_t n) {
  return std::chrono::microseconds(
      std::clamp(n, -LongestMicros, LongestMicros));
}

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_TIME_H
