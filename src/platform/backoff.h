/// \file
/// Retry delays and rate limits of calls to the platform. Makes no calls: the
/// time is passed in and the randomness is seeded.

#ifndef PERIDOTFALL_PLATFORM_BACKOFF_H
#define PERIDOTFALL_PLATFORM_BACKOFF_H

#include "peridotfall/clock.h"

#include <cstdint>
#include <random>

namespace peridotfall::platform {

/// Delays of an exponential backoff with jitter. If the calls of all 1,700
/// daemons fail at once, simultaneous retries would overload a recovering
/// platform. The first delay is close to the platform's response time; the
/// longest lets a daemon detect a recovery within half a minute. Each delay is
/// drawn from the upper half of its range, which spreads the retries and is
/// never zero.
struct BackoffOptions {
  Duration InitialDelay = std::chrono::milliseconds(200);
  Duration MaxDelay = std::chrono::seconds(20);
};

class Backoff {
public:
  Backoff(BackoffOptions options, std::uint64_t seed)
      : Options(options), Random(seed) {}

  /// Counts a failure. \return the delay before the next attempt.
  Duration nextDelay();
  void reset() { Failures = 0; }
  unsigned failures() const { return Failures; }

private:
  BackoffOptions Options;
  std::mt19937_64 Random;
  unsigned Failures = 0;
};

/// Rate limits of one daemon's calls to the platform.
///
/// 1,700 daemons share several hundred writes and 2,000 reads a second with all
/// other users. Without a limit, a faulty loop in each daemon would exhaust the
/// platform for everyone, failovers included. 0.6 reads and 0.1 writes a second
/// per daemon are 1,020 and 170 for the fleet, about half of the platform's
/// capacity. The bursts allow a daemon to start, or to act in a failover of
/// several groups, without waiting.
struct BudgetOptions {
  double ReadsPerSecond = 0.6;
  double ReadBurst = 60;
  double WritesPerSecond = 0.1;
  double WriteBurst = 60;
};

/// A token bucket. The time passed in may be virtual.
class CallBudget {
public:
  CallBudget(double perSecond, double burst)
      : PerSecond(perSecond), Burst(burst), Tokens(burst) {}

  /// \return whether a call may be made now; if so, it uses a token.
  bool tryAcquire(TimePoint now);

private:
  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint LastRefill{};
};

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_BACKOFF_H
