#include "quota/paced_bucket.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>

namespace peridotfall::quota {

namespace {

/// Parts of the depth below which a daemon has to ask, or to report at once.
constexpr double AskBelow = 0.5;
constexpr double ReportAtOnceBelow = 0.85;
/// Returned for an account that may run nothing.
constexpr std::chrono::seconds LongestWait{10};

} // namespace

PacedBucket::PacedBucket(const AccountQuota &quota, double excess,
                         Duration window, TimePoint now)
    : Window(window), Filled(now) {
  update(quota, excess);
}

void PacedBucket::update(const AccountQuota &quota, double excess) {
  auto window = secondsOf(Window);
  Pace = quota.RatePerSecond + (window > 0 ? quota.Burst / window : 0);
  // A limit of zero has an excess for operations that are under way only.
  Excess = Pace > 0 ? excess : 0;
}

void PacedBucket::refill(const HeldShares &shares, double least,
                         TimePoint now) {
  // A share that has been elsewhere meanwhile brings nothing of its depth: it
  // may have been spent there.
  Level = std::min(Level, std::max(Excess * shares.Kept, least));
  auto depth = std::max(Excess * shares.Now, least);
  Level = std::min(Level + Pace * shares.Seconds, depth);
  Share = shares.Now;
  Filled = now;
}

std::uint32_t PacedBucket::take(std::uint32_t wanted) {
  auto available = std::max(std::floor(Level), 0.0);
  auto out = static_cast<std::uint32_t>(
      std::min(available, static_cast<double>(wanted)));
  Level -= out;
  return out;
}

QuotaMode PacedBucket::mode() const {
  auto depth = Excess * Share;
  if (Level < std::max(depth * AskBelow, 1.0))
    return QuotaMode::Ask;
  return Level < depth * ReportAtOnceBelow ? QuotaMode::ReportAtOnce
                                           : QuotaMode::Report;
}

Duration PacedBucket::untilNext() const {
  if (Level >= 1)
    return {};
  auto longest = secondsOf(LongestWait);
  auto pace = Pace * Share;
  auto wait = pace > 0 ? (1 - Level) / pace : longest;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wait, longest)));
}

} // namespace peridotfall::quota
