/// \file
/// Admission control for one target: decides which statement runs next, which
/// waits and which is refused. Does no I/O; the caller passes the time.

#ifndef PERIDOTFALL_ADMISSION_H
#define PERIDOTFALL_ADMISSION_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "peridotfall/running_median.h"
#include "peridotfall/statement.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotfall {

namespace limits {

/// Statements waiting for one target. Bounds the memory on a small VM in a
/// burst of short statements with long deadlines. At 4 ms a statement and 2
/// slots, 1,024 statements take 2 s, more than most deadlines allow.
inline constexpr std::size_t MaxQueued = 1'024;
/// Share of the time to its deadline that a lookup may wait in the queue. Under
/// saturation a longer queue answers no more statements in time and all of
/// them later, with no time left for another target
/// (docs/design/admission.md).
inline constexpr double LookupWaitShare = 0.25;
/// The same for writes of record, which only the primary can run.
inline constexpr double RecordWaitShare = 0.8;
/// Share of the work that lookups get while writes of record wait, so that a
/// burst of orders does not starve the lookups of the customer desk. A tenth
/// delays the writes by a ninth at most.
inline constexpr double LookupFloor = 0.1;
/// A statement is long when it takes more than this many times the median.
/// Keeps a few reports from taking every slot; the run times of one kind of
/// short statement spread by less than this factor.
inline constexpr double LongFactor = 8.0;
/// Time constant of the decaying work rates: longer than a statement, shorter
/// than a burst.
inline constexpr std::chrono::milliseconds RateWindow{1'000};
/// Time constant of the decaying sum of refused work: about the usual
/// retry-after time, so that callers refused earlier count as still to return.
inline constexpr std::chrono::milliseconds RefusedWindow{10'000};
/// Bounds of the retry-after time. Below the minimum, refusing a caller costs
/// more than running its statement; the maximum keeps one bad estimate from
/// delaying callers for minutes.
inline constexpr std::chrono::milliseconds MinRetryAfter{50};
inline constexpr std::chrono::milliseconds MaxRetryAfter{30'000};
/// Estimates kept for each target. Bounds the memory when callers send SQL
/// with literals that normaliseSql() does not recognise.
inline constexpr std::size_t MaxEstimates = 2'048;
/// An open transaction without a statement for this long is rolled back, so
/// that a caller that stops midway does not block the target with its
/// connection and locks. Well above a round trip between regions, well below
/// the default deadline of waiting statements.
inline constexpr std::chrono::milliseconds IdleTransaction{3'000};

} // namespace limits

/// Priority classes, highest first.
enum class WorkClass : std::uint8_t {
  Continuing, ///< Of an open transaction: it has a connection and locks.
  Record,     ///< Orders, approvals, payments.
  Lookup,
};
inline constexpr std::size_t WorkClasses = 3;

/// Expected run time of a statement.
struct WorkEstimate {
  Duration Expected{};
  bool Long = false; ///< Compared with the other statements of the target.

  auto operator<=>(const WorkEstimate &) const = default;
};

/// Estimates run times by statement kind and normalised SQL.
class WorkEstimator {
public:
  WorkEstimate estimate(const std::string &key) const;
  void observe(const std::string &key, Duration took);

private:
  std::unordered_map<std::string, Duration> MeanTimes;
  RunningMedian MedianTime{.Value = std::chrono::milliseconds(5)};
};

/// Replaces numbers and quoted text by "?" and joins white space.
std::string normaliseSql(const std::string &sql);
/// \return the key of the request's run time estimate.
std::string workKey(const StatementRequest &request);

/// A statement that needs a slot.
struct WorkItem {
  CallerName Caller;
  WorkClass Class = WorkClass::Lookup;
  WorkEstimate Work;
  TimePoint Deadline;

  auto operator<=>(const WorkItem &) const = default;
};

/// Why a statement is not run, and when the caller may retry.
struct Refusal {
  AnswerCode Code = AnswerCode::Overloaded;
  Duration RetryAfter{};

  auto operator<=>(const Refusal &) const = default;
};

/// A waiting statement that is removed and refused.
struct Shed {
  TicketHandle Ticket;
  Refusal Why;

  auto operator<=>(const Shed &) const = default;
};

struct Offer {
  TicketHandle Ticket;      ///< Valid if the statement was queued.
  Refusal Why;              ///< Set if it was not queued.
  std::vector<Shed> Others; ///< Shed in its favour; to be answered.

  auto operator<=>(const Offer &) const = default;
};

/// The queue of statements for one target. Not thread-safe.
class Admission {
public:
  /// \param slots statements that the target can run at the same time without
  /// delay.
  /// \param seed of the jitter of the retry-after times.
  Admission(std::uint32_t slots, std::uint64_t seed);

  Offer offer(const WorkItem &item, TimePoint now);
  /// Starts the next statement. \return its ticket, or nothing if no waiting
  /// statement may start.
  std::optional<TicketHandle> next(TimePoint now);
  /// Frees the slot of a started statement.
  void finish(TicketHandle ticket);
  /// Removes a waiting statement whose caller no longer needs the answer.
  void cancel(TicketHandle ticket);
  /// Removes the statements that can no longer be answered in time. \return
  /// their refusals.
  std::vector<Shed> expire(TimePoint now);
  /// Removes the waiting statements when another owner takes over the target.
  /// Statements of open transactions stay: their connection is here.
  std::vector<Shed> clear(TimePoint now);

  /// \return how long the statement would wait in the present queue.
  Duration expectedWait(const WorkItem &item, TimePoint now) const;
  /// \return how long the last short lookup in the queue waits; placement
  /// compares targets by it.
  Duration shortWait(TimePoint now) const;
  std::size_t queued() const { return Waiting; }
  std::size_t running() const { return Active.size(); }

private:
  struct Entry {
    TicketHandle Ticket;
    WorkItem Item;
  };
  /// Statements of one caller. Short and long ones have separate lanes, so that
  /// a long one that may not start does not block the short ones behind it.
  struct Flow {
    std::array<std::deque<Entry>, 2> Lanes;
    std::array<Duration, 2> Work{};
    /// Work served, by lane: a caller's reports do not delay its lookups.
    std::array<Duration, 2> VirtualTime{};

    bool empty() const { return Lanes[0].empty() && Lanes[1].empty(); }
    std::size_t size() const { return Lanes[0].size() + Lanes[1].size(); }
  };
  /// Fair queue of one class: callers take turns by the work already served.
  struct ClassQueue {
    std::map<CallerName, Flow> Flows;
    std::array<Duration, 2> VirtualNow{};
    std::array<Duration, 2> Work{};
  };
  struct RunningStatement {
    WorkItem Item;
    TimePoint At;
  };
  using FlowIterator = std::map<CallerName, Flow>::iterator;

  bool canStartLong() const;
  bool hasFreeSlot(bool isLong) const;
  bool lookupsBelowFloor() const;
  Duration remainingWork(bool isLong, TimePoint now) const;
  Duration workAhead(const WorkItem &item) const;
  double serviceRate(const WorkItem &item, TimePoint now) const;
  double recordLoad(TimePoint now) const;
  void addRecordWork(const WorkItem &item, TimePoint now);
  bool fitsDeadline(const WorkItem &item, Duration wait, TimePoint now) const;
  Refusal refuse(AnswerCode code, const WorkItem &item, Duration wait,
                 TimePoint now);
  std::optional<TicketHandle> startFrom(ClassQueue &queue, TimePoint now);
  /// \return the flow with the lowest virtual time in the lane.
  static FlowIterator nextFlow(ClassQueue &queue, std::size_t lane);
  void push(Entry entry);
  Entry removeEntry(ClassQueue &queue, FlowIterator flow, std::size_t lane,
                    std::size_t index);
  /// Removes the newest lookup of the caller with the most lookups waiting, if
  /// those are more than \p above.
  std::optional<Entry> removeFromHeaviest(std::size_t above);
  void shedLate(std::size_t lane, TimePoint now, std::vector<Shed> &out);

  std::uint32_t Slots;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::array<ClassQueue, WorkClasses> ClassQueues;
  std::map<TicketHandle, RunningStatement> Active;
  std::size_t Waiting = 0;
  std::size_t LongRunning = 0;
  Duration ServedLookupWork{};
  Duration ServedWork{};
  double RecentRecordWork = 0; ///< Decaying sum, in nanoseconds.
  TimePoint RecentRecordWorkAt{};
  double RecentRefusedWork = 0; ///< Decaying sum, in nanoseconds.
  TimePoint RecentRefusedWorkAt{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_ADMISSION_H
