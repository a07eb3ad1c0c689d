/// \file
/// Whether a statement waits for a primary that is missing. Load: while a
/// primary changes, each statement that only a primary can run finds none, and
/// a caller comes back a few times only. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_PRIMARY_WAIT_H
#define PERIDOTFALL_PROXY_PRIMARY_WAIT_H

#include "peridotfall/clock.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

using std::chrono::milliseconds;

/// Duration of a change of primary until changes have been seen.
inline constexpr milliseconds FirstPrimaryAbsence{1'700};
/// A shorter absence is not a change of primary: one round of leader queries
/// finds a primary that has only been unknown here.
inline constexpr milliseconds MinPrimaryAbsence{150};
/// A longer absence counts as this long. It is an outage, which says nothing
/// about the next change, and callers don't come back after more than that.
inline constexpr milliseconds MaxPrimaryAbsence{5'000};
/// Absences that are remembered; their median must follow a deployment whose
/// changes become faster or slower.
inline constexpr std::size_t PrimaryAbsenceSamples = 8;
/// Share of its limit that a statement keeps for running after a wait, and the
/// minimum of that time. A write that is cut off has an unknown outcome, and
/// many statements start at once when a primary is back.
inline constexpr double RunReserveShare = 0.15;
inline constexpr milliseconds MinRunReserve{100};
/// Callers refused during a change come back spread over this long, so that
/// they don't fill the new primary's queue in the same moment.
inline constexpr milliseconds PrimaryReturnSpread{500};
/// Retry-after if the primary is later than expected: a caller that is back
/// early waits here again, and one that is late has lost that time.
inline constexpr milliseconds MinPrimaryRetryAfter{100};

} // namespace limits

/// The absences of one group's primary, as seen by this daemon.
class PrimaryAbsences {
public:
  /// \param present whether a primary accepts new work.
  void note(bool present, TimePoint now);
  /// \return whether a primary was ever known.
  bool everPresent() const { return WasPresent; }
  /// \return since when the primary is missing; empty if it isn't, or if none
  /// was ever known.
  std::optional<TimePoint> since() const { return Since; }
  /// \return the median duration of a change of primary.
  Duration usual() const;

private:
  bool WasPresent = false;
  std::optional<TimePoint> Since;
  std::deque<Duration> Seen{limits::FirstPrimaryAbsence};
};

/// \return when a statement stops waiting for a primary or one of its
/// connections, so that it has time left to run.
TimePoint latestStart(TimePoint deadline, Duration limit);

struct PrimaryWait {
  bool Waits = false;
  std::chrono::milliseconds RetryAfter{}; ///< Unless it waits.

  auto operator<=>(const PrimaryWait &) const = default;
};

/// \param until the statement's latest start.
/// \param spread from 0 to 1; differs between callers.
PrimaryWait decidePrimaryWait(const PrimaryAbsences &absences, TimePoint until,
                              double spread, TimePoint now);

/// \return a value from 0 to 1 that differs between consecutive numbers.
double spreadOf(std::uint64_t number);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_PRIMARY_WAIT_H
