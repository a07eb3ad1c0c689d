#include "peridotfall/placement.h"

#include <algorithm>

namespace peridotfall {

double LinkBudget::leftAt(TimePoint now) const {
  if (At == TimePoint{})
    return Left;
  auto passed = std::chrono::duration<double>(now - At).count();
  return std::min(Left + std::max(passed, 0.0) * limits::LinkBytesPerSecond,
                  limits::LinkBurstBytes);
}

bool LinkBudget::mayUse(TimePoint now) const { return leftAt(now) > 0; }

void LinkBudget::count(std::size_t bytes, TimePoint now) {
  Left = leftAt(now) - static_cast<double>(bytes);
  // Requests that have no choice do not close the link for more than seconds.
  Left = std::max(Left, -limits::LinkBurstBytes);
  At = std::max(At, now);
  Total += bytes;
}

void HeadHistory::note(Position at, TimePoint now) {
  if (!Samples.empty() && at <= Samples.back().At)
    return;
  if (!Samples.empty() && now - Samples.back().Seen < limits::HeadSpacing) {
    // One sample a step; the later time is the careful one.
    Samples.back() = {at, now};
    return;
  }
  Samples.push_back({at, now});
  if (Samples.size() > limits::HeadSamples)
    Samples.pop_front();
}

TimePoint HeadHistory::committedBy(Position at, TimePoint now) const {
  auto it = std::lower_bound(
      Samples.begin(), Samples.end(), at,
      [](const Sample &sample, Position want) { return sample.At < want; });
  return it == Samples.end() ? now : it->Seen;
}

} // namespace peridotfall
