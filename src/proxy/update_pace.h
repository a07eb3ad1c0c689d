/// \file
/// Bounds the share of the processor that a repeated update takes. Load: a
/// fleet that starts, or is cut and heals, changes its members with nearly
/// every message, and one update takes time in proportion to the members. A VM
/// that updated at each change would answer probes late, be suspected, and so
/// cause further changes. Pure decisions; the time is passed in.

#ifndef PERIDOTFALL_PROXY_UPDATE_PACE_H
#define PERIDOTFALL_PROXY_UPDATE_PACE_H

#include "peridotfall/clock.h"

#include <algorithm>
#include <chrono>

namespace peridotfall::proxy {

namespace limits {

/// Pause after an update, in multiples of the time that it took. The updates
/// then take a tenth of the processor at most, at any number of members.
inline constexpr int UpdatePauseFactor = 9;
/// Longest such pause. An update during which the VM was suspended seems long.
/// Below the two misses in a row after which a member is suspected.
inline constexpr std::chrono::milliseconds MaxUpdatePause{500};

} // namespace limits

class UpdatePace {
public:
  bool isDue(TimePoint now) const { return now >= NotBefore; }
  void ran(TimePoint began, TimePoint ended) {
    NotBefore =
        ended + std::min<Duration>((ended - began) * limits::UpdatePauseFactor,
                                   limits::MaxUpdatePause);
  }

private:
  TimePoint NotBefore{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_UPDATE_PACE_H
