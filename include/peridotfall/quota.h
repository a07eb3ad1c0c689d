/// \file
/// Limits on the operations of client accounts over all daemons. One daemon
/// counts an account; the others report to it what they run. Decisions only.

#ifndef PERIDOTFALL_QUOTA_H
#define PERIDOTFALL_QUOTA_H

#include "peridotfall/client_account.h"

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

/// \return the operations of an account that a daemon may run before the
/// counter knows of them. Over all daemons they are covered by the excess that
/// isn't granted: others may have used up the rest of the limit.
std::size_t unreportedLimit(const AccountQuota &quota,
                            const QuotaTolerance &tolerance,
                            std::size_t daemons);

/// Share of the tolerated excess that is granted. The rest is for operations
/// that are run before their report has arrived.
inline constexpr double GrantedExcess = 0.5;

} // namespace peridotfall

#endif // PERIDOTFALL_QUOTA_H
