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

inline Duration fromMicros(std::uint64_t n) {
  // Past this a sum with the clock could overflow; no wait is that long.
  constexpr std::uint64_t Longest = 365ULL * 86'400 * 1'000'000;
  return std::chrono::microseconds(std::min(n, Longest));
}

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_TIME_H
