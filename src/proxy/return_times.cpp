#include "proxy/return_times.h"

#include <algorithm>

namespace peridotfall::proxy {

/// When more callers were refused than the target serves within the maximum,
/// the next ones are spread over the same span once more.
Duration ReturnTimes::next(const AccountName &account, Duration ahead,
                           Duration interval, TimePoint now) {
  std::erase_if(Next, [&](const auto &it) { return it.second <= now; });
  // Half of the maximum remains to spread the callers over.
  auto first = now + std::clamp<Duration>(ahead, limits::MinQueueRetryAfter,
                                          limits::MaxQueueRetryAfter / 2);
  auto &next = Next[account];
  auto at = std::max(next, first);
  if (at > now + limits::MaxQueueRetryAfter)
    at = first;
  next = at + std::max<Duration>(interval, std::chrono::milliseconds(1));
  return at - now;
}

} // namespace peridotfall::proxy
