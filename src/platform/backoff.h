/// \file
/// When to call the platform again after a failure, and how often at most.
/// Decisions only: the clock is passed in and chance comes from a seed.

#ifndef PERIDOTFALL_PLATFORM_BACKOFF_H
#define PERIDOTFALL_PLATFORM_BACKOFF_H

#include "peridotfall/clock.h"

#include <cstdint>
#include <random>

namespace peridotfall::platform {

/// Load: 1,700 daemons whose calls all fail at the same moment. Harm: they
/// come back together and hold a recovering platform down. The first delay is
/// near the platform's answer time, the longest is short enough that a
/// recovery is noticed within half a minute; each delay is drawn from its
/// upper half, which spreads the fleet without ever giving a zero delay.
struct BackoffOptions {
  Duration First = std::chrono::milliseconds(200);
  Duration Longest = std::chrono::seconds(20);
};

class Backoff {
public:
  Backoff(BackoffOptions options, std::uint64_t seed)
      : Options(options), Random(seed) {}

  /// \return how long to wait before the next attempt.
  Duration failed();
  void succeeded() { Failures = 0; }
  unsigned failures() const { return Failures; }

private:
  BackoffOptions Options;
  std::mt19937_64 Random;
  unsigned Failures = 0;
};

/// Rates a daemon may use of the platform.
///
/// Load: 1,700 daemons share several hundred writes and 2,000 reads a second
/// with all other users. Harm: one faulty loop in each daemon would use the
/// platform up for everyone, failovers included. Limits: 0.6 reads and 0.1
/// writes a second and daemon are 1,020 and 170 over the fleet, about half of
/// what the platform takes; the bursts let one daemon start, or act in a
/// failover of several groups, without waiting.
struct BudgetOptions {
  double ReadsPerSecond = 0.6;
  double ReadBurst = 60;
  double WritesPerSecond = 0.1;
  double WriteBurst = 60;
};

/// A token bucket over virtual or real time.
class CallBudget {
public:
  CallBudget(double perSecond, double burst)
      : PerSecond(perSecond), Burst(burst), Tokens(burst) {}

  /// \return whether a call may be made now; it is then counted.
  bool take(TimePoint now);

private:
  double PerSecond;
  double Burst;
  double Tokens;
  TimePoint At{};
};

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_BACKOFF_H
