/// \file
/// Arithmetic of durations with fractions.

#ifndef PERIDOTFALL_BASE_DURATIONS_H
#define PERIDOTFALL_BASE_DURATIONS_H

#include "peridotfall/clock.h"

namespace peridotfall {

inline double secondsOf(Duration it) {
  return std::chrono::duration<double>(it).count();
}

/// Rounds towards zero.
inline Duration scaled(Duration it, double by) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(it.count()) * by));
}

} // namespace peridotfall

#endif // PERIDOTFALL_BASE_DURATIONS_H
