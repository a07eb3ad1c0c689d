#include "telemetry/line_limiter.h"

#include "membership/stable_hash.h"

#include <utility>

namespace peridotfall::telemetry {

void LineLimiter::roll(TimePoint now) {
  if (now - Second < std::chrono::seconds(1))
    return;
  Second = now;
  for (std::size_t n = 0; n < Counts.size(); ++n) {
    if (Counts[n].Left > 0)
      Over.push_back({n, Counts[n].Left});
    Counts[n] = {};
  }
}

bool LineLimiter::admit(std::size_t event, TimePoint now) {
  roll(now);
  auto &it = Counts.at(event);
  if (it.Written >= LinesPerSecond) {
    ++it.Left;
    return false;
  }
  ++it.Written;
  return true;
}

std::vector<LeftOut> LineLimiter::takeLeftOut(TimePoint now) {
  roll(now);
  return std::exchange(Over, {});
}

bool isSampled(std::string_view request) {
  return stableHash(std::string(request), "sample") % SampledOneIn == 0;
}

} // namespace peridotfall::telemetry
