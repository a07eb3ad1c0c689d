/// \file
/// When the callers that a queue has refused may return. For the load of an
/// account in a burst, whose refused callers would otherwise return together
/// and be refused again. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_RETURN_TIMES_H
#define PERIDOTFALL_PROXY_RETURN_TIMES_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"

#include <map>

namespace peridotfall::proxy {

namespace limits {

/// With shorter delays a caller's few attempts end before a queue has changed.
inline constexpr std::chrono::milliseconds MinQueueRetryAfter{50};
/// Longer delays use up the time that callers have, and a burst may be over.
inline constexpr std::chrono::milliseconds MaxQueueRetryAfter{1'000};

} // namespace limits

/// Not synchronised.
class ReturnTimes {
public:
  /// \param ahead time until the target has done the work ahead of the lease.
  /// \param interval time in which the target does one lease of the account.
  /// \return the delay for a refused caller; successive ones of an account are
  /// an interval apart.
  Duration next(const AccountName &account, Duration ahead, Duration interval,
                TimePoint now);

private:
  std::map<AccountName, TimePoint> Next;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_RETURN_TIMES_H
