/// \file
/// Limits the retries of an entry daemon for one database.

#ifndef PERIDOTFALL_RETRY_BUDGET_H
#define PERIDOTFALL_RETRY_BUDGET_H

#include "peridotfall/clock.h"

namespace peridotfall {

namespace limits {

/// Retries added for each first attempt. Bounds the extra load while a target
/// fails or refuses most requests and less can be served. A fifth more is
/// what the spare capacity of two targets out of three carries.
inline constexpr double RetriesPerAttempt = 0.2;
/// Retries added each second at any load, so that the requests of a database
/// with little traffic can be retried during a change of primary.
inline constexpr double RetriesPerSecond = 20.0;
/// Capacity of the bucket: the requests that wait at one entry daemon during a
/// change of primary.
inline constexpr double MaxRetries = 200.0;

} // namespace limits

/// Token bucket of retries. Not thread-safe.
class RetryBudget {
public:
  /// Adds to the budget for a request's first attempt.
  void earn(TimePoint now);
  /// Takes one retry from the budget. \return false if none is left.
  bool spend(TimePoint now);

private:
  void refill(TimePoint now);

  double Available = limits::MaxRetries / 2;
  TimePoint UpdatedAt{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_RETRY_BUDGET_H
