#include "platform/backoff.h"

#include <algorithm>

namespace peridotfall::platform {

Duration Backoff::nextDelay() {
  constexpr unsigned MaxDoublings = 20;
  auto doublings = std::min(Failures++, MaxDoublings);
  auto delay = std::min(Options.MaxDelay,
                        Options.InitialDelay * (Duration::rep(1) << doublings));
  std::uniform_int_distribution<Duration::rep> upperHalf(delay.count() / 2,
                                                         delay.count());
  return Duration(upperHalf(Random));
}

bool CallBudget::tryAcquire(TimePoint now) {
  if (now > LastRefill) {
    auto passed = std::chrono::duration<double>(now - LastRefill).count();
    Tokens = std::min(Burst, Tokens + passed * PerSecond);
    LastRefill = now;
  }
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace peridotfall::platform
