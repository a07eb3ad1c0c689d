#include "proxy/read_hedge.h"

#include <algorithm>
#include <cmath>

namespace peridotfall::proxy {

namespace {

using std::chrono::milliseconds;

constexpr double StepsPerDoubling = 4;

} // namespace

Duration AnswerTimes::boundOf(std::size_t step) {
  std::chrono::duration<double, std::milli> out(
      std::exp2(static_cast<double>(step) / StepsPerDoubling));
  return std::chrono::duration_cast<Duration>(out);
}

void AnswerTimes::add(Duration took) {
  std::chrono::duration<double, std::milli> it(took);
  auto step =
      std::ceil(StepsPerDoubling * std::log2(std::max(it.count(), 1.0)));
  Counts[std::min(static_cast<std::size_t>(step), Steps - 1)] += 1;
  Total += 1;
  if (Total < limits::HedgeSamplesKept)
    return;
  Total /= 2;
  for (auto &n : Counts)
    n /= 2;
}

std::optional<Duration> AnswerTimes::quantile(double share) const {
  if (Total < limits::MinHedgeSamples)
    return std::nullopt;
  double sum = 0;
  for (std::size_t n = 0; n < Steps; ++n) {
    sum += Counts[n];
    if (sum >= share * Total)
      return boundOf(n);
  }
  return boundOf(Steps - 1);
}

void ReadHedge::noteRead() {
  Available = std::min(Available + limits::HedgeShare, limits::MaxHedges);
}

Duration ReadHedge::delay() const {
  auto known = Times.quantile(limits::HedgeQuantile);
  return known ? std::max<Duration>(*known, limits::MinHedgeDelay)
               : Duration(limits::FirstHedgeDelay);
}

bool ReadHedge::mayHedge(Duration waited, std::optional<TimePoint> busyAt,
                         TimePoint now) const {
  bool overloaded = busyAt && now - *busyAt < limits::HedgeBusyPause;
  return Available >= 1 && !overloaded && waited >= delay();
}

} // namespace peridotfall::proxy
