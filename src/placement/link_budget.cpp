#include "peridotfall/placement.h"

#include <algorithm>

namespace peridotfall {

double LinkBudget::availableAt(TimePoint now) const {
  if (UpdatedAt == TimePoint{})
    return AvailableBytes;
  auto passed = std::chrono::duration<double>(now - UpdatedAt).count();
  return std::min(AvailableBytes +
                      std::max(passed, 0.0) * limits::LinkBytesPerSecond,
                  limits::LinkBurstBytes);
}

bool LinkBudget::mayUse(TimePoint now) const { return availableAt(now) > 0; }

void LinkBudget::count(std::size_t bytes, TimePoint now) {
  AvailableBytes = availableAt(now) - static_cast<double>(bytes);
  // Bounds the debt of requests that must use the link, so that it blocks
  // optional reads for seconds only.
  AvailableBytes = std::max(AvailableBytes, -limits::LinkBurstBytes);
  UpdatedAt = std::max(UpdatedAt, now);
  TotalBytes += bytes;
}

void HeadHistory::note(Position at, TimePoint now) {
  if (!Samples.empty() && at <= Samples.back().At)
    return;
  if (!Samples.empty() && now - Samples.back().Seen < limits::HeadSpacing) {
    // Merges samples that are too close; the later time is the safe one.
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
