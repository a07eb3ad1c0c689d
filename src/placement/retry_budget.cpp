#include "peridotfall/retry_budget.h"

#include <algorithm>

namespace peridotfall {

void RetryBudget::refill(TimePoint now) {
  if (UpdatedAt != TimePoint{}) {
    auto passed = std::chrono::duration<double>(now - UpdatedAt).count();
    Available =
        std::min(Available + std::max(passed, 0.0) * limits::RetriesPerSecond,
                 limits::MaxRetries);
  }
  UpdatedAt = std::max(UpdatedAt, now);
}

void RetryBudget::earn(TimePoint now) {
  refill(now);
  Available =
      std::min(Available + limits::RetriesPerAttempt, limits::MaxRetries);
}

bool RetryBudget::spend(TimePoint now) {
  refill(now);
  if (Available < 1)
    return false;
  Available -= 1;
  return true;
}

} // namespace peridotfall
