/// \file
/// How many lines of each event may be written. Decides only.

#ifndef PERIDOTFALL_TELEMETRY_LINE_LIMITER_H
#define PERIDOTFALL_TELEMETRY_LINE_LIMITER_H

#include "peridotfall/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotfall::telemetry {

/// Lines of one event in a second. Load: every statement of an overloaded
/// second is refused. Harm: the log takes the processor from the statements
/// and buries the cause. Reason: twenty lines of 250 bytes for each of a few
/// events are under a thousandth of a VM's link, and enough to see which
/// databases and targets are concerned.
inline constexpr std::uint32_t LinesPerSecond = 20;

/// One in so many successes is logged, the same ones at every daemon.
inline constexpr std::uint64_t SampledOneIn = 64;

struct LeftOut {
  std::size_t Event = 0;
  std::uint64_t Lines = 0;

  auto operator<=>(const LeftOut &) const = default;
};

/// Not synchronised.
class LineLimiter {
public:
  explicit LineLimiter(std::size_t events) : Counts(events) {}

  /// \return whether a line of the event may be written; it is then counted.
  bool admit(std::size_t event, TimePoint now);
  /// \return what was left out in the seconds that are over, once.
  std::vector<LeftOut> takeLeftOut(TimePoint now);

private:
  struct Count {
    std::uint32_t Written = 0;
    std::uint64_t Left = 0;
  };
  void roll(TimePoint now);

  std::vector<Count> Counts;
  TimePoint Second{};
  std::vector<LeftOut> Over;
};

/// \return whether a calm success of the request is logged. It goes by the
/// id alone, so that its lines can be followed over all daemons.
bool isSampled(std::string_view request);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_LINE_LIMITER_H
