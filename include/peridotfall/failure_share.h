/// \file
/// The share of failed answers among a target's last ones, and whether it is
/// well above that of the target's peers. Load: a target that fails a part of
/// its requests, which never fails several in a row. Does no I/O.

#ifndef PERIDOTFALL_FAILURE_SHARE_H
#define PERIDOTFALL_FAILURE_SHARE_H

#include <compare>
#include <cstdint>
#include <vector>

namespace peridotfall {

namespace limits {

/// Answers and failures needed to judge a target; by fewer, a healthy target
/// with a moment of bad luck would be judged.
inline constexpr unsigned MinJudgedAnswers = 12;
inline constexpr unsigned MinJudgedFailures = 4;
/// Answers of all peers needed to compare with them. It is less, as they may
/// get only the reads that are retried.
inline constexpr unsigned MinPeerAnswers = 4;
/// A target is an outlier if its share exceeds that of its peers by this factor
/// plus this margin. Statements that fail everywhere raise all shares.
inline constexpr double OutlierFactor = 2.0;
inline constexpr double OutlierMargin = 0.15;

} // namespace limits

/// The last 32 answers of a target.
struct RecentAnswers {
  std::uint32_t Failed = 0; ///< A bit for each answer, the last one lowest.
  unsigned Count = 0;

  auto operator<=>(const RecentAnswers &) const = default;

  void add(bool failed);
  unsigned failures() const;
  double failedShare() const;
};

/// \return whether a target fails much more often than its peers do; false if
/// no peer has answered enough to compare.
bool isFailureOutlier(const RecentAnswers &own,
                      const std::vector<RecentAnswers> &peers);

} // namespace peridotfall

#endif // PERIDOTFALL_FAILURE_SHARE_H
