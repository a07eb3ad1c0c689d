/// \file
/// Queue of leases that wait for a connection to one target: which is next, and
/// which can't be served in time. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_WAIT_QUEUE_H
#define PERIDOTFALL_PROXY_WAIT_QUEUE_H

#include "peridotfall/clock.h"
#include "peridotfall/running_median.h"
#include "proxy/fair_order.h"
#include "proxy/lease.h"
#include "proxy/return_times.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Time left until its goal below which a statement yields to others of the
/// same priority that have more. Under several seconds of overload all
/// statements would otherwise wait about as long as they may, and nearly all
/// would be answered too late. The value is about how long a target with its
/// full share of statements takes for the last of them.
inline constexpr std::chrono::milliseconds GoalReserve{100};
/// Accounts with more than this many times the waiting leases of another are
/// displaced in its favour. Accounts with equal demand often differ by less.
inline constexpr std::size_t HeavyRatio = 2;

} // namespace limits

/// Why a lease is removed from the queue without being run.
enum class QueueRefusal : std::uint8_t {
  Expired,   ///< Its wait deadline has passed.
  TooLong,   ///< On arrival, it wasn't likely to start in time.
  Displaced, ///< In favour of a lease of an account that waits less.
};
inline constexpr std::size_t QueueRefusals = 3;

/// A waiting lease and its first batch.
struct Waiter {
  LeaseId Lease;
  unsigned Priority = 0; ///< 0 is served first.
  AccountName Account;
  Batch First;
  OnBatch Done;
  TimePoint Since;
  TimePoint WaitDeadline;   ///< When it stops waiting for a connection.
  TimePoint AnswerDeadline; ///< When it stops waiting for the answers.
  /// When its answer stops being useful to the caller (its goal).
  std::optional<TimePoint> Goal;
  /// Applies if it is not run.
  QueueRefusal Refusal = QueueRefusal::Expired;
};

/// \return whether a statement that starts now would be answered too late to be
/// useful.
bool isLate(std::optional<TimePoint> goal, TimePoint now);

/// Ordered by priority, then by class, then by fair turns of the accounts. With
/// a single account or none, the turns are by arrival. Not synchronised.
class WaitQueue {
public:
  bool empty() const { return Waiting.empty(); }
  std::size_t size() const { return Waiting.size(); }
  bool contains(LeaseId lease) const;
  /// \return the largest number of waiting leases of one account.
  std::size_t mostByAccount() const;

  /// Adds a lease. If it isn't likely to start before its wait deadline, the
  /// deadline is set to now. Likewise if it makes the last lease of an account
  /// with a longer queue unlikely to start in time, or would fit without it;
  /// that lease is then displaced and not returned by order().
  /// \param free whether it could start at once.
  /// \param maxRunning statements that run at once.
  void push(Waiter waiter, bool free, std::size_t maxRunning, TimePoint now);
  /// \return all waiting leases, the one to run next first.
  std::vector<LeaseId> order(TimePoint now) const;
  /// \return a lease, which must be in the queue.
  const Waiter &at(LeaseId lease) const;
  /// \return whether a lease of the account waits.
  bool isWanted(const AccountName &account) const;
  /// Removes a lease that starts now and must be in the queue.
  Waiter take(LeaseId lease);
  /// \return whether the lease was in the queue.
  bool erase(LeaseId lease);
  /// Removes the leases whose wait deadline has expired, and displaced ones.
  std::vector<Waiter> takeExpired(TimePoint now);
  std::deque<Waiter> takeAll();
  /// Records the answer time of a caller's statement.
  /// \param took from when it was sent.
  void addAnswerTime(Duration took) { AnswerTime.add(took); }
  /// \return the median of recent answer times.
  Duration answerTime() const { return AnswerTime.Value; }
  /// Records how long the first batch of a lease took.
  /// \param single whether it was the lease's only one.
  void addWork(bool single, Duration took);
  /// Counts a later batch of a lease as work of its account.
  void charge(unsigned priority, const AccountName &account, Duration took) {
    Turns.charge(priority, account, took);
  }
  /// \return when the caller of a refused lease may return; nothing without an
  /// account.
  std::optional<Duration> retryAfter(const Waiter &refused,
                                     std::size_t maxRunning, TimePoint now);

private:
  using Counts = std::map<std::string_view, std::size_t>;

  Duration workOf(const Waiter &it) const;
  /// \return start tags of all waiting leases by \p classes, then that of
  /// \p newcomer if it was added to them.
  std::vector<Duration> tags(const std::vector<unsigned> &classes,
                             const Waiter *newcomer) const;
  /// \return positions of the leases that run before one added now.
  std::vector<std::size_t> ahead(const Waiter &newcomer) const;
  /// \return expected time until the lease with \p ahead others before it
  /// starts.
  Duration waitBehind(std::size_t ahead, std::size_t maxRunning) const;
  /// \return waiting leases by account.
  Counts waitingByAccount() const;
  /// Displaces leases ahead of \p newcomer of accounts with longer queues, if
  /// it then starts in time.
  bool makeRoom(const Waiter &newcomer, std::size_t maxRunning, TimePoint now);
  /// Displaces a lease that can't start in time any more because of
  /// \p newcomer, if its account has a longer queue; refuses \p newcomer if its
  /// own account has.
  void displaceBehind(LeaseId newcomer, std::size_t maxRunning, TimePoint now);
  Waiter &find(LeaseId lease);

  std::deque<Waiter> Waiting;
  RunningMedian AnswerTime;
  RunningMedian SingleWork;
  RunningMedian BeginWork;
  FairOrder Turns;
  ReturnTimes Returns;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WAIT_QUEUE_H
