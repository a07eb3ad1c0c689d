/// \file
/// Queue of leases that wait for a connection to one target: which is next, and
/// which can't be served in time. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_WAIT_QUEUE_H
#define PERIDOTFALL_PROXY_WAIT_QUEUE_H

#include "peridotfall/clock.h"
#include "peridotfall/running_median.h"
#include "proxy/lease.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Time left until its goal below which a statement yields to others of the
/// same priority that have more. Under several seconds of overload all
/// statements would otherwise wait about as long as they may, and nearly all
/// would be answered too late. The value is about how long a target with its
/// full share of statements takes for the last of them.
inline constexpr std::chrono::milliseconds GoalReserve{100};

} // namespace limits

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
};

/// \return whether a statement that starts now would be answered too late to be
/// useful.
bool isLate(std::optional<TimePoint> goal, TimePoint now);

/// Ordered by priority. Not synchronised.
class WaitQueue {
public:
  bool empty() const { return Waiting.empty(); }
  std::size_t size() const { return Waiting.size(); }
  bool contains(LeaseId lease) const;

  /// Adds a lease. If it isn't likely to start before its wait deadline, the
  /// deadline is set to now.
  /// \param free whether it could start at once.
  /// \param maxRunning statements that run at once.
  void push(Waiter waiter, bool free, std::size_t maxRunning, TimePoint now);
  /// \return all waiting leases, the one to run next first.
  std::vector<LeaseId> order(TimePoint now) const;
  /// \return a lease, which must be in the queue.
  const Waiter &at(LeaseId lease) const;
  /// \return whether a lease of the account waits.
  bool isWanted(const AccountName &account) const;
  /// Removes a lease, which must be in the queue.
  Waiter take(LeaseId lease);
  /// \return whether the lease was in the queue.
  bool erase(LeaseId lease);
  /// Removes the leases whose wait deadline has expired.
  std::vector<Waiter> takeExpired(TimePoint now);
  std::deque<Waiter> takeAll();
  /// Records the answer time of a caller's statement.
  /// \param took from when it was sent.
  void addAnswerTime(Duration took) { AnswerTime.add(took); }
  /// \return the median of recent answer times.
  Duration answerTime() const { return AnswerTime.Value; }

private:
  Duration expectedWait(const Waiter &waiter, std::size_t maxRunning) const;

  std::deque<Waiter> Waiting;
  RunningMedian AnswerTime;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WAIT_QUEUE_H
