/// \file
/// Leases that wait for a connection to one target: who is next, and who would
/// wait for nothing. Pure decisions; the time is passed in.

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

/// A statement that has less than this left until its answer is of little use
/// gives way to those of its priority that have more. Load: more work than the
/// target can do, for seconds. Harm without it: all wait about as long as they
/// may, and nearly all are answered too late. Reason: about as long as a target
/// with its full share of statements takes for the last of them.
inline constexpr std::chrono::milliseconds GoalReserve{100};

} // namespace limits

/// A lease that waits, and its first batch.
struct Waiter {
  LeaseId Lease;
  unsigned Priority = 0; ///< 0 is served first.
  Batch First;
  OnBatch Done;
  TimePoint Since;
  TimePoint Until; ///< Longest wait for a connection.
  TimePoint End;   ///< Longest wait for the answers.
  /// When its answer is of little use to the caller.
  std::optional<TimePoint> Goal;
};

/// \return whether a statement that runs now is answered too late to be of use.
bool isLate(std::optional<TimePoint> goal, TimePoint now);

/// By priority. Not synchronised.
class WaitQueue {
public:
  bool empty() const { return Waiting.empty(); }
  std::size_t size() const { return Waiting.size(); }
  bool contains(LeaseId lease) const;

  /// One whose turn is likely to come only after its longest wait is over at
  /// once.
  /// \param free whether it would start without waiting for another.
  /// \param places for statements that run at once.
  void push(Waiter waiter, bool free, std::size_t places, TimePoint now);
  /// \return the one to run next. The queue is not empty.
  const Waiter &next(TimePoint now) const;
  /// Takes one out; it waits here.
  Waiter take(LeaseId lease);
  /// \return whether it waited here.
  bool erase(LeaseId lease);
  /// Takes out those that have waited for as long as they may.
  std::vector<Waiter> takeOver(TimePoint now);
  std::deque<Waiter> takeAll();
  /// A caller's statement was answered.
  /// \param took from when it was sent.
  void noteAnswer(Duration took) { AnswerTime.add(took); }

private:
  Duration expectedWait(const Waiter &waiter, std::size_t places) const;

  std::deque<Waiter> Waiting;
  RunningMedian AnswerTime;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WAIT_QUEUE_H
