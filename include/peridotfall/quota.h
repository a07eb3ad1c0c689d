/// \file
/// Limits on the operations of client accounts over all daemons. One daemon
/// counts an account; the others report to it what they run. Decisions only.

#ifndef PERIDOTFALL_QUOTA_H
#define PERIDOTFALL_QUOTA_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace peridotfall {

/// What may be run beyond a limit, for any span of the window's length.
struct QuotaTolerance {
  std::chrono::milliseconds Window{5'000};
  double Overshoot = 0; ///< Share of the limit.
  double Slack = 0;     ///< Operations.

  auto operator<=>(const QuotaTolerance &) const = default;
};

/// \return the operations that may be run beyond the quota in a window.
double toleratedExcess(const AccountQuota &quota, const QuotaTolerance &it);

/// How a daemon treats an account's operations until it is told otherwise. The
/// less an account has left, the less may be run without a question.
enum class QuotaMode : std::uint8_t {
  Report,       ///< Run them; report them together.
  ReportAtOnce, ///< Run them; report each without delay.
  Ask,          ///< Ask before each.
};

/// \return the mode of a daemon that has not been told one. An account may be
/// run without a question only if each daemon may do so once.
QuotaMode initialMode(const AccountQuota &quota,
                      const QuotaTolerance &tolerance, std::size_t daemons);

/// Share of the tolerated excess that is granted. The rest is for operations
/// that are run before their report has arrived.
inline constexpr double GrantedExcess = 0.5;

/// The operations that an account may still run, as a token bucket.
class QuotaBucket {
public:
  /// Begins empty: what was run before is unknown.
  /// \param excess operations that may be granted beyond the quota.
  QuotaBucket(AccountQuota quota, double excess, TimePoint now);

  /// Applies another limit; the bucket keeps its level as far as it fits.
  void update(const AccountQuota &quota, double excess, TimePoint now);
  /// Empties the bucket, as what was run before is unknown.
  void clear(TimePoint now);
  /// Counts operations that have been run.
  void spend(std::uint32_t n, TimePoint now);
  /// \return how many of \p wanted operations may be run. They are counted.
  std::uint32_t take(std::uint32_t wanted, TimePoint now);
  QuotaMode mode(TimePoint now);
  /// \return the time until the next operation may be run.
  Duration untilNext(TimePoint now);

private:
  void refill(TimePoint now);

  AccountQuota Quota;
  double Excess = 0;
  double Level = 0;
  TimePoint Filled;
};

} // namespace peridotfall

#endif // PERIDOTFALL_QUOTA_H
