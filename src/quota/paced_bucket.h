/// \file
/// The operations that an account may still run with the shares of its limit
/// that a counter holds. For accounts in a lasting burst, which a token bucket
/// of the account's rate refuses although a window allows more, and for shares
/// that move between counters. Decisions only.

#ifndef PERIDOTFALL_QUOTA_PACED_BUCKET_H
#define PERIDOTFALL_QUOTA_PACED_BUCKET_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"
#include "peridotfall/quota.h"

#include <compare>
#include <cstdint>

namespace peridotfall::quota {

/// Parts of a limit that a counter holds, since a former point of time.
struct HeldShares {
  double Now = 0;
  /// Of these, held since then without a break.
  double Kept = 0;
  /// Shares times the time for which each has been held since then.
  double Seconds = 0;

  auto operator<=>(const HeldShares &) const = default;
};

/// Refills at an even pace at which a window's limit is just used up, and holds
/// no more than the excess. In any window the buckets of all counters grant at
/// most the limit and the excess, as long as their shares sum to at most one.
/// Not synchronised.
class PacedBucket {
public:
  /// Begins empty: what was run before is unknown.
  /// \param excess operations that may be granted beyond the limit of a window.
  PacedBucket(const AccountQuota &quota, double excess, Duration window,
              TimePoint now);

  /// Applies another limit.
  void update(const AccountQuota &quota, double excess);
  /// \return the time since which refill() needs the shares.
  TimePoint filled() const { return Filled; }
  /// Required before the other calls at each time.
  /// \param least operations that the bucket may hold although the shares
  /// amount to fewer.
  void refill(const HeldShares &shares, double least, TimePoint now);
  /// Counts operations that have been run.
  void spend(std::uint32_t n) { Level -= n; }
  /// \return how many of \p wanted operations may be run. They are counted.
  std::uint32_t take(std::uint32_t wanted);
  double level() const { return Level; }
  QuotaMode mode() const;
  /// \return the time until the next operation may be run.
  Duration untilNext() const;

private:
  double Pace = 0; ///< Operations a second, of the whole limit.
  double Excess = 0;
  Duration Window;
  double Level = 0;
  double Share = 0;
  TimePoint Filled;
};

} // namespace peridotfall::quota

#endif // PERIDOTFALL_QUOTA_PACED_BUCKET_H
