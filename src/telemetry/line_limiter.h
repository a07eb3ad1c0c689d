/// \file
/// Rate limit of log lines per event, and sampling of successes.

#ifndef PERIDOTFALL_TELEMETRY_LINE_LIMITER_H
#define PERIDOTFALL_TELEMETRY_LINE_LIMITER_H

#include "peridotfall/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotfall::telemetry {

/// Lines of one event per second. Under overload every statement may be
/// rejected; unlimited, the log would take processor time from the statements
/// and hide the cause. 20 lines of 250 bytes for each of a few events use less
/// than a thousandth of a VM's link, and still show the databases and targets
/// affected.
inline constexpr std::uint32_t LinesPerSecond = 20;

/// One in this many successes is logged, the same requests at every daemon.
inline constexpr std::uint64_t LogSampleOneIn = 64;

/// Number of lines of one event that were not written.
struct SuppressedLines {
  std::size_t Event = 0;
  std::uint64_t Lines = 0;

  auto operator<=>(const SuppressedLines &) const = default;
};

/// Decides which lines may be written. Not synchronised.
class LineLimiter {
public:
  explicit LineLimiter(std::size_t events) : Counts(events) {}

  /// \return whether a line of the event may be written, and counts it.
  bool admit(std::size_t event, TimePoint now);
  /// \return the lines suppressed in past seconds since the last call.
  std::vector<SuppressedLines> drainSuppressed(TimePoint now);

private:
  struct Count {
    std::uint32_t Written = 0;
    std::uint64_t Suppressed = 0;
  };
  void rollWindow(TimePoint now);

  std::vector<Count> Counts;
  TimePoint WindowStart{};
  std::vector<SuppressedLines> Pending;
};

/// \return whether an ordinary success of the request is logged. Depends only
/// on the id, so that a request can be traced across all daemons.
bool isSampled(std::string_view request);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_LINE_LIMITER_H
