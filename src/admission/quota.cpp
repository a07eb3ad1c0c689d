#include "peridotfall/quota.h"

#include <algorithm>
#include <cmath>

namespace peridotfall {

namespace {

/// Levels, as shares of the burst, from which on a daemon need not ask, or need
/// not report at once.
constexpr double AskBelow = 0.5;
constexpr double ReportAtOnceBelow = 0.85;
/// Returned for an account that may run nothing.
constexpr std::chrono::seconds LongestWait{10};

double seconds(Duration it) {
  return std::chrono::duration<double>(it).count();
}

} // namespace

double toleratedExcess(const AccountQuota &quota, const QuotaTolerance &it) {
  auto limit = quota.RatePerSecond * seconds(it.Window) + quota.Burst;
  return limit * it.Overshoot + it.Slack;
}

QuotaMode initialMode(const AccountQuota &quota,
                      const QuotaTolerance &tolerance, std::size_t daemons) {
  auto ungranted = toleratedExcess(quota, tolerance) * (1 - GrantedExcess) +
                   quota.Burst * AskBelow;
  return static_cast<double>(daemons) <= ungranted ? QuotaMode::Report
                                                   : QuotaMode::Ask;
}

QuotaBucket::QuotaBucket(AccountQuota quota, double excess, TimePoint now)
    : Quota(quota), Excess(excess), Filled(now) {}

void QuotaBucket::update(const AccountQuota &quota, double excess,
                         TimePoint now) {
  refill(now);
  Quota = quota;
  Excess = excess;
  Level = std::min(Level, Quota.Burst);
}

void QuotaBucket::clear(TimePoint now) {
  Level = 0;
  Filled = now;
}

void QuotaBucket::refill(TimePoint now) {
  auto gained = Quota.RatePerSecond * seconds(now - Filled);
  Level = std::min(Level + gained, Quota.Burst);
  Filled = now;
}

void QuotaBucket::spend(std::uint32_t n, TimePoint now) {
  refill(now);
  Level -= n;
}

std::uint32_t QuotaBucket::take(std::uint32_t wanted, TimePoint now) {
  refill(now);
  auto available = std::max(std::floor(Level + Excess), 0.0);
  auto out = static_cast<std::uint32_t>(
      std::min(available, static_cast<double>(wanted)));
  Level -= out;
  return out;
}

QuotaMode QuotaBucket::mode(TimePoint now) {
  refill(now);
  if (Level < Quota.Burst * AskBelow)
    return QuotaMode::Ask;
  return Level < Quota.Burst * ReportAtOnceBelow ? QuotaMode::ReportAtOnce
                                                 : QuotaMode::Report;
}

Duration QuotaBucket::untilNext(TimePoint now) {
  refill(now);
  auto missing = 1 - Excess - Level;
  if (missing <= 0)
    return {};
  auto longest = seconds(LongestWait);
  auto wait = Quota.RatePerSecond > 0 ? missing / Quota.RatePerSecond : longest;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wait, longest)));
}

} // namespace peridotfall
