#include "telemetry/line_limiter.h"

#include "membership/stable_hash.h"

#include <utility>

namespace peridotfall::telemetry {

void LineLimiter::rollWindow(TimePoint now) {
  if (now - WindowStart < std::chrono::seconds(1))
    return;
  WindowStart = now;
  for (std::size_t n = 0; n < Counts.size(); ++n) {
    if (Counts[n].Suppressed > 0)
      Pending.push_back({n, Counts[n].Suppressed});
    Counts[n] = {};
  }
}

bool LineLimiter::admit(std::size_t event, TimePoint now) {
  rollWindow(now);
  auto &it = Counts.at(event);
  if (it.Written >= LinesPerSecond) {
    ++it.Suppressed;
    return false;
  }
  ++it.Written;
  return true;
}

std::vector<SuppressedLines> LineLimiter::drainSuppressed(TimePoint now) {
  rollWindow(now);
  return std::exchange(Pending, {});
}

bool isSampled(std::string_view request) {
  return stableHash(std::string(request), "sample") % LogSampleOneIn == 0;
}

} // namespace peridotfall::telemetry
