/// \file
/// When a read that is not answered gets a second copy at another target. Load:
/// a target that is slow or silent for some of its reads, while the others of
/// its group have room. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_READ_HEDGE_H
#define PERIDOTFALL_PROXY_READ_HEDGE_H

#include "peridotfall/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

using std::chrono::milliseconds;

/// A read is hedged after the time in which this share of reads is answered,
/// and not before the minimum: a few slow statements are no fault of a target.
inline constexpr double HedgeQuantile = 0.98;
inline constexpr milliseconds MinHedgeDelay{50};
/// Delay until enough answers have been seen to know that time.
inline constexpr milliseconds FirstHedgeDelay{100};
inline constexpr double MinHedgeSamples = 50;
/// Answers after which older ones count half, so that the time follows changes
/// of the load within minutes.
inline constexpr double HedgeSamplesKept = 1'000;
/// Largest share of reads with a second copy; more would add load to targets
/// whose slowness is due to load.
inline constexpr double HedgeShare = 0.05;
/// Unused hedges that are kept for a target that falls silent.
inline constexpr double MaxHedges = 5;
/// No read of a group is hedged for this long after one of its targets refused
/// work because of load. Refusals under overload are closer together.
inline constexpr milliseconds HedgeBusyPause{500};

} // namespace limits

/// Distribution of answer times in constant memory; recent ones weigh more.
class AnswerTimes {
public:
  void add(Duration took);
  /// \return an upper bound of the time within which this share was answered;
  /// empty: too few answers.
  std::optional<Duration> quantile(double share) const;

private:
  /// Four steps for each doubling, from 1 ms to 16 s.
  static constexpr std::size_t Steps = 57;

  static Duration boundOf(std::size_t step);

  std::array<double, Steps> Counts{};
  double Total = 0;
};

/// The hedges of one daemon's reads. Not synchronised.
class ReadHedge {
public:
  /// Counts a read that may be hedged.
  void noteRead();
  /// \param took from when the read's first copy was sent.
  void noteAnswer(Duration took) { Times.add(took); }
  Duration delay() const;
  /// \param busyAt when a target of the group last refused because of load.
  bool mayHedge(Duration waited, std::optional<TimePoint> busyAt,
                TimePoint now) const;
  /// Counts a second copy that was sent.
  void spend() { Available -= 1; }

private:
  AnswerTimes Times;
  double Available = 1;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_READ_HEDGE_H
