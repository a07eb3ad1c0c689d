/// \file
/// Start tags by which accounts that compete for one target take turns by work
/// (start-time fair queueing). For the load of one account in a burst that
/// fills the queue of a target, so that all other accounts would wait behind
/// it. Pure decisions.

#ifndef PERIDOTFALL_PROXY_FAIR_ORDER_H
#define PERIDOTFALL_PROXY_FAIR_ORDER_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"

#include <map>
#include <string_view>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Minimum work of a lease. Before the first answers no work is known, and
/// without any work accounts would not alternate.
inline constexpr std::chrono::milliseconds MinLeaseWork{1};

} // namespace limits

/// What the order needs to know of a waiting lease.
struct QueuedWork {
  unsigned Priority = 0;
  unsigned Class = 0; ///< Within the priority.
  std::string_view Account;
  Duration Work{}; ///< Expected time at the target.

  auto operator<=>(const QueuedWork &) const = default;
};

/// Tags are computed from what waits now, so that a lease that is refused
/// doesn't delay its account's later ones. Not synchronised.
class FairOrder {
public:
  /// \param waiting in order of arrival.
  /// \return the start tag of each; comparable within a priority and class.
  /// Those of one account never decrease.
  std::vector<Duration> tags(const std::vector<QueuedWork> &waiting) const;
  /// Records that a lease of the account starts.
  void started(unsigned priority, const AccountName &account, Duration work);
  /// Adds work of the account that was not known when its lease started.
  void charge(unsigned priority, const AccountName &account, Duration work);

private:
  /// Accounts compete only within a priority.
  struct Turns {
    Duration Now{}; ///< Start tag of the lease that started last.
    /// Finish tags of accounts that are ahead of Now.
    std::map<std::string, Duration, std::less<>> Finish;
  };

  static Duration nextTag(const Turns &turns, std::string_view account);

  std::map<unsigned, Turns> ByPriority;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_FAIR_ORDER_H
