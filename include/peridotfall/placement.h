/// \file
/// Placement of reads: which target of a group, and whether to wait a little
/// for a replica to catch up. Pure decisions under a clock that is passed in.

#ifndef PERIDOTFALL_PLACEMENT_H
#define PERIDOTFALL_PLACEMENT_H

#include "peridotfall/clock.h"
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

/// How much faster the primary must be expected to answer before it takes a
/// read that a replica may take. Load: many lookups. Harm: writes of record
/// wait behind them in the primary's few slots. Reason: ten statements long,
/// and a little more than a turn over the slow link with its own penalty, so
/// that a replica there goes first while the link's budget lasts.
inline constexpr milliseconds PrimaryPenalty{40};
/// The same for a target behind the slow link, over and above its way.
inline constexpr milliseconds LinkPenalty{20};
/// Longest wait for a replica to catch up. Load: sessions that read right
/// after they wrote. Harm: all these reads at the primary. Reason: a caller
/// does not notice it, and a longer guess is mostly wrong.
inline constexpr milliseconds MostCatchUp{60};
/// Lag assumed of a replica of which nothing is known.
inline constexpr milliseconds UnknownLag{20};
/// A target is ejected when it needs this many times what the others need,
/// and some time beyond it. Load: one slow target. Harm: a third of the reads
/// wait for it. Reason: below it, its load alone steers reads away.
inline constexpr double EjectFactor = 4.0;
inline constexpr milliseconds EjectSlack{5};
/// Answers that must have been seen before, so that a cold target is not
/// taken for a slow one.
inline constexpr std::size_t EjectSamples = 12;
/// Failures in a row that eject at once.
inline constexpr std::uint32_t EjectFailures = 3;
/// First and longest time of an ejection; each in a row is twice as long.
inline constexpr milliseconds FirstEjection{5'000};
inline constexpr milliseconds LongestEjection{60'000};
/// Time over which a target that comes back takes its full share. Harm
/// prevented: a cold target gets all reads at once and is ejected again.
inline constexpr milliseconds RampUp{5'000};
inline constexpr double RampStart = 0.05;
/// How long a reported load counts fully; then it fades, so that a target
/// nobody asks is asked again.
inline constexpr milliseconds ReportFade{1'000};
/// Samples of the log's head, and the least time between two.
inline constexpr std::size_t HeadSamples = 128;
inline constexpr milliseconds HeadSpacing{20};
/// Bytes a second that reads placed by choice may send over the link of 30
/// Mbit/s, for each entry daemon. Harm: replication, which shares the link,
/// falls behind, and the volume is paid for. Reason: with nine daemons a fifth
/// of the link at most.
inline constexpr double LinkBytesPerSecond = 80'000;
inline constexpr double LinkBurstBytes = 400'000;

} // namespace limits

/// Ordered from near to far.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/// One target of the group, as this daemon knows it.
struct Candidate {
  TargetName Name;
  bool IsPrimary = false;
  bool Reachable = true;
  bool Leaving = false;
  Distance Far = Distance::SameDomain;
  Position Applied;            ///< Zero: not known.
  std::optional<Duration> Age; ///< Bound on the age of its view, if known.

  auto operator<=>(const Candidate &) const = default;
};

/// What a read asks for.
struct ReadDemand {
  Access Mode = Access::FreshRead;
  Position NotBefore;
  Duration MaxAge{}; ///< Of a stale read.
  bool PrimaryOnly = false;
  TargetName Avoid; ///< Refused it before; empty: none.

  auto operator<=>(const ReadDemand &) const = default;
};

/// Where to send it.
struct Choice {
  TargetName Target;     ///< Empty: no target is known.
  Duration WaitBefore{}; ///< For the replica to catch up.
  bool OverLink = false;

  auto operator<=>(const Choice &) const = default;
};

/// What an answer tells of its target.
struct AnswerReport {
  TargetName Target;
  bool FromPrimary = false;
  AnswerCode Code = AnswerCode::Ok;
  std::optional<Duration> Ran;  ///< On the target, as the owner measured it.
  std::optional<Duration> Wait; ///< Of a short lookup, as the owner says.
  std::optional<Duration> RetryAfter;
  std::optional<Duration> Age; ///< Of a replica's view.
  Position At;                 ///< That the target had reached.
  Position NotBefore;          ///< That the request asked for.
  Access Mode = Access::Write; ///< Only reads are compared.

  auto operator<=>(const AnswerReport &) const = default;
};

/// When the log's head was first seen at a position.
class HeadHistory {
public:
  void note(Position at, TimePoint now);
  /// \return when the position was there at the latest; now if it is news.
  TimePoint committedBy(Position at, TimePoint now) const;

private:
  struct Sample {
    Position At;
    TimePoint Seen;
  };
  std::deque<Sample> Samples;
};

/// Bytes that reads placed by choice may send over the slow link.
class LinkBudget {
public:
  bool mayUse(TimePoint now) const;
  /// Counts bytes sent or received, also of requests without a choice.
  void count(std::size_t bytes, TimePoint now);
  std::uint64_t total() const { return Total; }

private:
  double leftAt(TimePoint now) const;

  double Left = limits::LinkBurstBytes;
  TimePoint At{};
  std::uint64_t Total = 0;
};

/// Way there and back.
Duration wayOf(Distance it);

/// Places the reads of one database at one entry daemon. Not synchronised.
class Placement {
public:
  explicit Placement(std::uint64_t seed) : Random(seed) {}

  /// \param linkOpen whether reads may be sent over the link by choice.
  Choice choose(const ReadDemand &demand,
                const std::vector<Candidate> &candidates, bool linkOpen,
                TimePoint now);
  void started(const TargetName &target);
  /// A read that was started was given up by its caller.
  void dropped(const TargetName &target);
  /// \param replicas of the group; the floor of ejection depends on it.
  void answered(const AnswerReport &report, std::size_t replicas,
                TimePoint now);
  /// Notes that the primary's log has reached a position.
  void noteHead(Position at, TimePoint now) { Head.note(at, now); }
  /// Notes what a replica has applied.
  void noteApplied(const TargetName &target, Position at, TimePoint now);
  /// \return whether the target is known to be behind by so much or more.
  bool lagsBy(const TargetName &target, Duration lag) const;
  bool ejected(const TargetName &target, TimePoint now) const;

private:
  struct Load {
    RunningMedian Service; ///< Of reads, without the queue.
    Duration Wait{};       ///< Last reported.
    TimePoint WaitAt{};    ///< When.
    Duration Lag{};        ///< Learned from answers.
    Position Applied;      ///< Learned from answers.
    bool LagKnown = false;
    std::uint32_t Outstanding = 0;
    std::uint32_t FailuresInRow = 0;
    std::uint32_t Ejections = 0;
    TimePoint EjectedUntil{};
  };

  Duration lagOf(const Candidate &it, const Load &load) const;
  /// \return how long until it may serve the read; nothing: too long.
  std::optional<Duration> catchUp(const ReadDemand &demand, const Candidate &it,
                                  TimePoint now) const;
  Duration cost(const Candidate &it, TimePoint now) const;
  bool admitted(const Candidate &it, TimePoint now);
  void learnLag(const AnswerReport &report, Load &load, TimePoint now);
  void learnApplied(Position at, Load &load, TimePoint now);
  bool tooSlow(const TargetName &target) const;
  void eject(const TargetName &target, std::size_t replicas, TimePoint now);

  std::mt19937_64 Random;
  HeadHistory Head;
  std::map<TargetName, Load> Loads;
};

} // namespace peridotfall

#endif // PERIDOTFALL_PLACEMENT_H
