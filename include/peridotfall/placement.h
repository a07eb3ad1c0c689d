/// \file
/// Placement of reads: chooses a target of a group and how long to wait for a
/// replica to catch up. Does no I/O; the caller passes the time.

#ifndef PERIDOTFALL_PLACEMENT_H
#define PERIDOTFALL_PLACEMENT_H

#include "peridotfall/clock.h"
#include "peridotfall/failure_share.h"
#include "peridotfall/names.h"
#include "peridotfall/running_median.h"
#include "peridotfall/statement.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace peridotfall {

namespace limits {

using std::chrono::milliseconds;

/// How much faster the primary must be expected to answer before it gets a read
/// that a replica may serve, so that lookups do not delay writes of record in
/// the primary's few slots. As long as ten statements, and slightly more than a
/// round trip over the slow link plus LinkPenalty, so that a replica there is
/// preferred while the link's budget lasts.
inline constexpr milliseconds PrimaryPenalty{40};
/// The same for a target behind the slow link, in addition to its round trip.
inline constexpr milliseconds LinkPenalty{20};
/// Longest wait for a replica to catch up; keeps reads right after a session's
/// own write off the primary. A caller does not notice a wait this short, and
/// longer estimates are mostly wrong.
inline constexpr milliseconds MaxCatchUpWait{60};
/// Lag assumed of a replica without a known lag.
inline constexpr milliseconds UnknownLag{20};
/// A target is ejected when its service time exceeds the fastest target's by
/// this factor plus EjectSlack; otherwise a third of the reads would wait for a
/// slow target. Below that, its reported load alone diverts reads.
inline constexpr double EjectFactor = 4.0;
inline constexpr milliseconds EjectSlack{5};
/// Answers needed before a target is ejected as slow, so that a cold target is
/// not ejected.
inline constexpr std::size_t EjectSamples = 12;
/// Failures in a row that eject a target, also before EjectSamples answers.
inline constexpr std::uint32_t EjectFailures = 3;
/// First and longest duration of an ejection; each in a row doubles it.
inline constexpr milliseconds FirstEjection{5'000};
inline constexpr milliseconds LongestEjection{60'000};
/// Time over which the share of reads of a target rises from RampStart to 1
/// after an ejection. A cold target that gets all reads at once would be
/// ejected again.
inline constexpr milliseconds RampUp{5'000};
inline constexpr double RampStart = 0.05;
/// Time constant by which a reported wait decays, so that a target that gets no
/// reads is used again.
inline constexpr milliseconds ReportFade{1'000};
/// Samples of the log's head, and the minimum time between two.
inline constexpr std::size_t HeadSamples = 128;
inline constexpr milliseconds HeadSpacing{20};
/// Bytes a second that optional reads of one entry daemon may use of the
/// 30 Mbit/s link between regions, which replication shares and whose volume is
/// paid for. With nine daemons this is a fifth of the link at most.
inline constexpr double LinkBytesPerSecond = 80'000;
inline constexpr double LinkBurstBytes = 400'000;

} // namespace limits

/// Network distance between two daemons, nearest first.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/// The cached state of a target of the group.
struct Candidate {
  TargetName Name;
  bool IsPrimary = false;
  bool Reachable = true;
  bool Leaving = false;
  Distance TargetDistance = Distance::SameDomain;
  Position Applied; ///< Zero: not known.
  std::optional<Duration>
      Age; ///< Upper bound of the age of its data, if known.

  auto operator<=>(const Candidate &) const = default;
};

/// What a read requires.
struct ReadDemand {
  Access Mode = Access::FreshRead;
  Position NotBefore;
  Duration MaxAge{}; ///< Of a stale read.
  bool PrimaryOnly = false;
  TargetName Avoid; ///< Target that refused it before; empty: none.

  auto operator<=>(const ReadDemand &) const = default;
};

/// Where to send a read.
struct Choice {
  TargetName Target;     ///< Empty: no target is known.
  Duration WaitBefore{}; ///< For the replica to catch up.
  bool OverLink = false;

  auto operator<=>(const Choice &) const = default;
};

/// What an answer reports of its target.
struct AnswerReport {
  TargetName Target;
  bool FromPrimary = false;
  AnswerCode Code = AnswerCode::Ok;
  std::optional<Duration> Ran;  ///< Run time, measured by the owner.
  std::optional<Duration> Wait; ///< Queue wait of a short lookup there.
  std::optional<Duration> RetryAfter;
  std::optional<Duration> Age; ///< Age of a replica's data.
  Position At;                 ///< Position the target had reached.
  Position NotBefore;          ///< Position the request required.
  Access Mode = Access::Write; ///< Only reads update the service times.

  auto operator<=>(const AnswerReport &) const = default;
};

/// When the log's head was first seen at a position.
class HeadHistory {
public:
  void note(Position at, TimePoint now);
  /// \return the latest time at which the position was committed; \p now if no
  /// sample has reached it.
  TimePoint committedBy(Position at, TimePoint now) const;

private:
  struct Sample {
    Position At;
    TimePoint Seen;
  };
  std::deque<Sample> Samples;
};

/// Token bucket of the bytes that optional reads (those that another target
/// could serve) may use of the slow link.
class LinkBudget {
public:
  bool mayUse(TimePoint now) const;
  /// Counts bytes sent or received, also of requests that must use the link.
  void count(std::size_t bytes, TimePoint now);
  std::uint64_t total() const { return TotalBytes; }

private:
  double availableAt(TimePoint now) const;

  double AvailableBytes = limits::LinkBurstBytes;
  TimePoint UpdatedAt{};
  std::uint64_t TotalBytes = 0;
};

/// \return the assumed round-trip time.
Duration roundTripTime(Distance it);

/// Places the reads of one database at one entry daemon. Not thread-safe.
class Placement {
public:
  explicit Placement(std::uint64_t seed) : Random(seed) {}

  /// \param linkOpen whether optional reads may use the slow link.
  Choice choose(const ReadDemand &demand,
                const std::vector<Candidate> &candidates, bool linkOpen,
                TimePoint now);
  void started(const TargetName &target);
  /// Ends a started read that was abandoned by its caller.
  void dropped(const TargetName &target);
  /// \param replicas of the group; at most half of them are ejected.
  void answered(const AnswerReport &report, std::size_t replicas,
                TimePoint now);
  /// Records that the primary's log has reached a position.
  void noteHead(Position at, TimePoint now) { Head.note(at, now); }
  /// Records the position that a replica has applied.
  void noteApplied(const TargetName &target, Position at, TimePoint now);
  /// \return whether the target is known to lag by \p lag or more.
  bool lagsBy(const TargetName &target, Duration lag) const;
  bool ejected(const TargetName &target, TimePoint now) const;

private:
  struct TargetStats {
    RunningMedian Service; ///< Run time of reads, without the queue.
    Duration Wait{};       ///< Last reported queue wait.
    TimePoint WaitReportedAt{};
    Duration Lag{};   ///< Valid if LagKnown.
    Position Applied; ///< Last position it reported.
    bool LagKnown = false;
    std::uint32_t Outstanding = 0;
    std::uint32_t FailuresInRow = 0;
    RecentAnswers Recent; ///< Of reads, without refusals for load.
    std::uint32_t Ejections = 0;
    TimePoint EjectedUntil{};
  };

  Duration lagOf(const Candidate &it, const TargetStats &stats) const;
  /// \return how long until the target can serve the read, or nothing if it
  /// cannot, or not soon enough.
  std::optional<Duration> catchUpWait(const ReadDemand &demand,
                                      const Candidate &it, TimePoint now) const;
  Duration expectedCost(const Candidate &it, TimePoint now) const;
  bool isAdmitted(const Candidate &it, TimePoint now);
  void updateLag(const AnswerReport &report, TargetStats &stats, TimePoint now);
  void updateApplied(Position at, TargetStats &stats, TimePoint now);
  bool isTooSlow(const TargetName &target) const;
  bool failsMoreThanPeers(const TargetName &target) const;
  void eject(const TargetName &target, std::size_t replicas, TimePoint now);

  std::mt19937_64 Random;
  HeadHistory Head;
  std::map<TargetName, TargetStats> StatsByTarget;
};

} // namespace peridotfall

#endif // PERIDOTFALL_PLACEMENT_H
