/// \file
/// How many requests an entry daemon may send again for one database.

#ifndef PERIDOTFALL_RETRY_BUDGET_H
#define PERIDOTFALL_RETRY_BUDGET_H

#include "peridotfall/clock.h"

namespace peridotfall {

namespace limits {

/// Retries that each first attempt allows. Load: a target that fails or
/// refuses most. Harm: retries multiply the load just when less can be done.
/// Reason: a fifth more is what the reserve of two targets of three carries.
inline constexpr double RetriesPerAttempt = 0.2;
/// Retries a second allowed at any load, so that a quiet database still rides
/// over a change of primary.
inline constexpr double RetriesPerSecond = 20.0;
/// Retries that can be saved up. Reason: what waits at one entry while a
/// primary changes, not more.
inline constexpr double MostRetries = 200.0;

} // namespace limits

/// A bucket of retries. Not synchronised.
class RetryBudget {
public:
  /// Counts a request's first attempt.
  void earn(TimePoint now);
  /// \return whether one more attempt may be made; takes it if so.
  bool spend(TimePoint now);

private:
  void refill(TimePoint now);

  double Left = limits::MostRetries / 2;
  TimePoint At{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_RETRY_BUDGET_H
