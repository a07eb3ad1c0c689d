/// \file
/// Clock interface, so that tests can use a virtual clock.

#ifndef PERIDOTFALL_CLOCK_H
#define PERIDOTFALL_CLOCK_H

#include <chrono>

namespace peridotfall {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A source of monotonic time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// The system's monotonic clock; it stops while the machine is suspended.
class SystemClock final : public Clock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// The system's monotonic clock that also advances while the machine is
/// suspended. Ages that a freshness guarantee depends on are measured with it:
/// by SystemClock, a position read before a suspension of four seconds would
/// still look fresh.
class SuspendAwareClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that moves only by advance(); for tests.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }
  void advance(Duration by) { Now += by; }

private:
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace peridotfall

#endif // PERIDOTFALL_CLOCK_H
