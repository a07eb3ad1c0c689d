#include "peridotfall/clock.h"

#include <ctime>

namespace peridotfall {

TimePoint SuspendAwareClock::now() const {
  timespec at{};
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  return TimePoint(std::chrono::seconds(at.tv_sec) +
                   std::chrono::nanoseconds(at.tv_nsec));
}

} // namespace peridotfall
