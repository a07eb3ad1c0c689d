#include "peridotfall/retry_budget.h"

#include <algorithm>

namespace peridotfall {

void RetryBudget::refill(TimePoint now) {
  if (At != TimePoint{}) {
    auto passed = std::chrono::duration<double>(now - At).count();
    Left = std::min(Left + std::max(passed, 0.0) * limits::RetriesPerSecond,
                    limits::MostRetries);
  }
  At = std::max(At, now);
}

void RetryBudget::earn(TimePoint now) {
  refill(now);
  Left = std::min(Left + limits::RetriesPerAttempt, limits::MostRetries);
}

bool RetryBudget::spend(TimePoint now) {
  refill(now);
  if (Left < 1)
    return false;
  Left -= 1;
  return true;
}

} // namespace peridotfall
