#include "peridotfall/quota.h"

#include "base/durations.h"

#include <algorithm>

namespace peridotfall {

double toleratedExcess(const AccountQuota &quota, const QuotaTolerance &it) {
  auto limit = quota.RatePerSecond * secondsOf(it.Window) + quota.Burst;
  return limit * it.Overshoot + it.Slack;
}

std::size_t unreportedLimit(const AccountQuota &quota,
                            const QuotaTolerance &tolerance,
                            std::size_t daemons) {
  auto all = toleratedExcess(quota, tolerance) * (1 - GrantedExcess);
  return static_cast<std::size_t>(all) / std::max<std::size_t>(daemons, 1);
}

QuotaMode initialMode(const AccountQuota &quota,
                      const QuotaTolerance &tolerance, std::size_t daemons) {
  return unreportedLimit(quota, tolerance, daemons) > 0 ? QuotaMode::Report
                                                        : QuotaMode::Ask;
}

} // namespace peridotfall
