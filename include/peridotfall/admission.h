/// \file
/// Admission to one target: what runs next on its few slots, what waits, and
/// what is refused at once. Pure decisions under a clock that is passed in.

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

/// Statements waiting for one target. Load: a burst of tiny statements with
/// long deadlines. Harm: memory of a small VM. Reason: at 4 ms a statement and
/// 2 slots a queue of 1,024 is 2 s long, more than most deadlines allow.
inline constexpr std::size_t MaxQueued = 1'024;
/// Share of the time left that a lookup may wait. Load: saturation. Harm: an
/// answer just too late, and no time to go elsewhere. Reason: a longer queue
/// answers no more in time and all of it later (docs/design/admission.md).
inline constexpr double LookupWaitShare = 0.25;
/// The same for writes of record, which have one place only to run.
inline constexpr double RecordWaitShare = 0.8;
/// Share of the work that lookups get while writes of record wait. Load: a
/// burst of orders. Harm: the customer desk sees nothing at all. Reason: a
/// tenth keeps lookups alive and delays the writes by a ninth at most.
inline constexpr double LookupFloor = 0.1;
/// A statement is long when it needs this many times the median. Load: a few
/// reports among lookups. Harm: every slot taken by a report. Reason: the
/// spread of one kind of short work stays below this.
inline constexpr double LongFactor = 8.0;
/// Window over which rates of work are remembered. Reason: longer than a
/// statement, shorter than a burst.
inline constexpr std::chrono::milliseconds RateWindow{1'000};
/// Window over which refused work is remembered: about as long as callers are
/// sent away, so that those sent away before are counted on to come back.
inline constexpr std::chrono::milliseconds RefusedWindow{10'000};
/// Bounds of the time to come back. Below the first a refused caller costs
/// more than the statement; the second keeps one bad estimate from sending
/// callers away for minutes.
inline constexpr std::chrono::milliseconds LeastRetryAfter{50};
inline constexpr std::chrono::milliseconds MostRetryAfter{30'000};
/// Statements whose work is remembered at a target. Harm: memory, when
/// callers send SQL with literals in forms that are not recognised.
inline constexpr std::size_t MaxEstimates = 2'048;
/// An open transaction without a statement for this long is rolled back.
/// Load: a caller that stops in the middle. Harm: its connection and its
/// locks block the target. Reason: well above a round trip between regions,
/// well below the default deadline of those who wait.
inline constexpr std::chrono::milliseconds IdleTransaction{3'000};

} // namespace limits

/// In the order in which they are served.
enum class WorkClass : std::uint8_t {
  Continuing, ///< Of an open transaction: holds a connection and locks.
  Record,     ///< Orders, approvals, payments.
  Lookup,
};
inline constexpr std::size_t WorkClasses = 3;

/// What a statement is expected to need.
struct WorkEstimate {
  Duration Expected{};
  bool Long = false; ///< Against the other statements of the target.

  auto operator<=>(const WorkEstimate &) const = default;
};

/// Learns how long statements run, by kind and SQL without its literals.
class WorkEstimator {
public:
  WorkEstimate estimate(const std::string &key) const;
  void observe(const std::string &key, Duration took);

private:
  std::unordered_map<std::string, Duration> Means;
  RunningMedian Typical{.Value = std::chrono::milliseconds(5)};
};

/// Numbers and quoted text replaced, blanks joined.
std::string normaliseSql(const std::string &sql);
/// Under which a request's work is remembered.
std::string workKey(const StatementRequest &request);

/// One statement that asks for a slot.
struct WorkItem {
  CallerName Caller;
  WorkClass Class = WorkClass::Lookup;
  WorkEstimate Work;
  TimePoint Deadline;

  auto operator<=>(const WorkItem &) const = default;
};

/// Why a statement is not run, and when to come back.
struct Refusal {
  AnswerCode Code = AnswerCode::Overloaded;
  Duration RetryAfter{};

  auto operator<=>(const Refusal &) const = default;
};

/// A statement that waited and is given up on.
struct Shed {
  TicketHandle Ticket;
  Refusal Why;

  auto operator<=>(const Shed &) const = default;
};

struct Offer {
  TicketHandle Ticket;      ///< Valid when queued.
  Refusal Why;              ///< Otherwise.
  std::vector<Shed> Others; ///< Given up on in its favour; to be answered.

  auto operator<=>(const Offer &) const = default;
};

/// The queue before one target. Not synchronised.
class Admission {
public:
  /// \param slots statements that the target runs at once without delay.
  /// \param seed of the jitter in the times to come back.
  Admission(std::uint32_t slots, std::uint64_t seed);

  Offer offer(const WorkItem &item, TimePoint now);
  /// Starts the next statement. \return its ticket, or nothing when no slot
  /// is free for what waits.
  std::optional<TicketHandle> next(TimePoint now);
  /// A started statement has ended.
  void finish(TicketHandle ticket);
  /// Takes a waiting statement out; nobody waits for it any more.
  void cancel(TicketHandle ticket);
  /// Takes out what can no longer be answered in time. \return what is to be
  /// refused now.
  std::vector<Shed> expire(TimePoint now);
  /// Takes out what waits, for another owner to take. Statements of open
  /// transactions stay: their connection is here.
  std::vector<Shed> clear(TimePoint now);

  /// How long the statement would wait, as things stand.
  Duration expectedWait(const WorkItem &item, TimePoint now) const;
  /// How long the last short lookup in the queue waits; what placement goes by.
  Duration shortWait(TimePoint now) const;
  std::size_t queued() const { return Waiting; }
  std::size_t running() const { return Active.size(); }

private:
  struct Entry {
    TicketHandle Ticket;
    WorkItem Item;
  };
  /// Statements of one caller; short and long ones apart, so that a long one
  /// that may not start does not stop the short ones behind it.
  struct Flow {
    std::array<std::deque<Entry>, 2> Lanes;
    std::array<Duration, 2> Work{};
    /// Work given, by lane: a caller's reports do not hold up its lookups.
    std::array<Duration, 2> VirtualTime{};

    bool empty() const { return Lanes[0].empty() && Lanes[1].empty(); }
    std::size_t size() const { return Lanes[0].size() + Lanes[1].size(); }
  };
  /// One class: its callers take turns by the work that they were given.
  struct Line {
    std::map<CallerName, Flow> Flows;
    std::array<Duration, 2> VirtualNow{};
    std::array<Duration, 2> Work{};
  };
  struct Started {
    WorkItem Item;
    TimePoint At;
  };
  using FlowIt = std::map<CallerName, Flow>::iterator;

  bool longMayStart() const;
  bool slotFree(bool isLong) const;
  bool lookupsFirst() const;
  Duration remaining(bool isLong, TimePoint now) const;
  Duration workAhead(const WorkItem &item) const;
  double rateFor(const WorkItem &item, TimePoint now) const;
  double recordLoad(TimePoint now) const;
  void noteRecord(const WorkItem &item, TimePoint now);
  bool fits(const WorkItem &item, Duration wait, TimePoint now) const;
  Refusal refuse(AnswerCode code, const WorkItem &item, Duration wait,
                 TimePoint now);
  std::optional<TicketHandle> startFrom(Line &line, TimePoint now);
  /// \return the flow whose turn it is in the lane.
  static FlowIt nextIn(Line &line, std::size_t lane);
  void push(Entry entry);
  Entry take(Line &line, FlowIt flow, std::size_t lane, std::size_t index);
  /// The lowest class's heaviest caller's newest statement.
  std::optional<Entry> takeHeaviest(std::size_t above);
  void shedLate(std::size_t lane, TimePoint now, std::vector<Shed> &out);

  std::uint32_t Slots;
  std::mt19937_64 Random;
  std::uint64_t LastTicket = 0;
  std::array<Line, WorkClasses> Lines;
  std::map<TicketHandle, Started> Active;
  std::size_t Waiting = 0;
  std::size_t LongRunning = 0;
  Duration GivenLookups{};
  Duration GivenAll{};
  double RecordRate = 0; ///< Record work in the window, in nanoseconds.
  TimePoint RecordAt{};
  double RefusedWork = 0; ///< Refused in the window, in nanoseconds.
  TimePoint RefusedAt{};
};

} // namespace peridotfall

#endif // PERIDOTFALL_ADMISSION_H
