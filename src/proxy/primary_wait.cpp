#include "proxy/primary_wait.h"

#include "base/durations.h"

#include <algorithm>
#include <vector>

namespace peridotfall::proxy {

using std::chrono::milliseconds;

void PrimaryAbsences::note(bool present, TimePoint now) {
  if (!present) {
    if (WasPresent && !Since)
      Since = now;
    return;
  }
  WasPresent = true;
  if (!Since)
    return;
  auto lasted = now - *Since;
  Since.reset();
  if (lasted < limits::MinPrimaryAbsence)
    return;
  Seen.push_back(std::min<Duration>(lasted, limits::MaxPrimaryAbsence));
  // The first value is replaced like a seen one.
  if (Seen.size() > limits::PrimaryAbsenceSamples)
    Seen.pop_front();
}

Duration PrimaryAbsences::usual() const {
  std::vector<Duration> sorted(Seen.begin(), Seen.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted[(sorted.size() - 1) / 2];
}

TimePoint latestStart(TimePoint deadline, Duration limit) {
  return deadline - std::max<Duration>(scaled(limit, limits::RunReserveShare),
                                       limits::MinRunReserve);
}

/// Waiting costs a caller none of its attempts, so a statement also waits while
/// nothing is known of the absence's end.
PrimaryWait decidePrimaryWait(const PrimaryAbsences &absences, TimePoint until,
                              double spread, TimePoint now) {
  auto since = absences.since();
  auto end = since ? *since + absences.usual() : now;
  bool isChange = since && now - *since >= limits::MinPrimaryAbsence;
  if (now < until && (!isChange || end <= until))
    return {true, {}};
  auto left = std::max<Duration>(end - now, limits::MinPrimaryRetryAfter) +
              scaled(limits::PrimaryReturnSpread, spread);
  return {false, std::chrono::ceil<milliseconds>(left)};
}

/// The multiplier is that of Fibonacci hashing, which places consecutive
/// numbers far from each other.
double spreadOf(std::uint64_t number) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15;
  constexpr unsigned Dropped = 11; // A double holds 53 bits.
  constexpr double Scale = 1.0 / (std::uint64_t{1} << 53U);
  return static_cast<double>((number * Multiplier) >> Dropped) * Scale;
}

} // namespace peridotfall::proxy
