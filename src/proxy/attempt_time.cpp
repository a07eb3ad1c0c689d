#include "proxy/attempt_time.h"

#include "base/durations.h"

#include <algorithm>

namespace peridotfall::proxy {

Duration minAttemptTime(bool writes) {
  return writes ? limits::MinAttemptTime : limits::MinReadAttemptTime;
}

/// A read whose goal has passed is still of some use until its limit.
Duration readWait(std::optional<Duration> goalLeft, Duration left) {
  bool meetsGoal = goalLeft && *goalLeft > Duration{};
  auto useful = meetsGoal ? std::min(*goalLeft, left) : left;
  return scaled(useful, limits::ReadWaitShare);
}

std::optional<TimePoint> busyRetryAt(unsigned refusals,
                                     std::optional<Duration> retryAfter,
                                     TimePoint until, TimePoint now) {
  if (retryAfter) {
    auto at = now + std::max<Duration>(*retryAfter, limits::BusyRetryDelay);
    return at < until ? std::optional(at) : std::nullopt;
  }
  // Shorter towards the end, so that the last attempt is as late as it may be.
  auto growing =
      std::min<Duration>({limits::BusyRetryDelay * refusals,
                          limits::MaxBusyRetryDelay, (until - now) / 2});
  auto at = now + std::max<Duration>(growing, limits::BusyRetryDelay);
  return at < until ? std::optional(at) : std::nullopt;
}

} // namespace peridotfall::proxy
