#include "peridotfall/failure_share.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace peridotfall {

void RecentAnswers::add(bool failed) {
  constexpr unsigned Window = std::numeric_limits<std::uint32_t>::digits;
  Failed = (Failed << 1U) | static_cast<std::uint32_t>(failed);
  Count = std::min(Count + 1, Window);
}

unsigned RecentAnswers::failures() const {
  return static_cast<unsigned>(std::popcount(Failed));
}

double RecentAnswers::failedShare() const {
  return Count == 0 ? 0 : static_cast<double>(failures()) / Count;
}

/// The peers' share is estimated as if two more of four answers had failed, so
/// that a few answers without a failure don't make an outlier of a target.
bool isFailureOutlier(const RecentAnswers &own,
                      const std::vector<RecentAnswers> &peers) {
  if (own.Count < limits::MinJudgedAnswers ||
      own.failures() < limits::MinJudgedFailures)
    return false;
  unsigned answers = 0;
  unsigned failures = 0;
  for (const auto &it : peers) {
    answers += it.Count;
    failures += it.failures();
  }
  constexpr double AssumedFailures = 2;
  constexpr double AssumedAnswers = 4;
  double share = (failures + AssumedFailures) / (answers + AssumedAnswers);
  return answers >= limits::MinPeerAnswers &&
         own.failedShare() >
             limits::OutlierFactor * share + limits::OutlierMargin;
}

} // namespace peridotfall
