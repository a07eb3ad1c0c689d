/// \file
/// Time as an interface, so that decisions run under a virtual clock in tests.

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

/// The machine's monotonic clock.
class SystemClock final : public Clock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// The machine's monotonic clock that also counts while it is suspended.
/// Ages that a promise rests on take it: a position read before a suspension
/// of four seconds would look fresh by the other clock.
class SuspendAwareClock final : public Clock {
public:
  TimePoint now() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now; }
  void advance(Duration by) { Now += by; }

private:
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace peridotfall

#endif // PERIDOTFALL_CLOCK_H
