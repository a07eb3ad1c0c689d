#include "proxy/wait_queue.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

namespace {

auto isLease(LeaseId lease) {
  return [lease](const Waiter &it) { return it.Lease == lease; };
}

/// \return whether it has its turn before one that would come now.
bool goesFirst(const Waiter &it, const Waiter &newcomer) {
  if (it.Priority != newcomer.Priority)
    return it.Priority < newcomer.Priority;
  return it.First.EndsLease || !newcomer.First.EndsLease;
}

} // namespace

bool isLate(std::optional<TimePoint> goal, TimePoint now) {
  return goal && *goal < now + limits::GoalReserve;
}

bool WaitQueue::contains(LeaseId lease) const {
  return std::any_of(Waiting.begin(), Waiting.end(), isLease(lease));
}

/// What is sent at once is answered at once, so the places to run free up one
/// after the other.
Duration WaitQueue::expectedWait(const Waiter &waiter,
                                 std::size_t places) const {
  auto ahead =
      std::count_if(Waiting.begin(), Waiting.end(),
                    [&](const Waiter &it) { return goesFirst(it, waiter); });
  return AnswerTime.Value * (ahead + 1) / static_cast<Duration::rep>(places);
}

/// Load: more work than the target can do, for seconds. Harm: what waits is
/// served so late that its caller has no use for it, or is refused when there
/// is no time left to come back. One that is turned away at once comes back
/// while it can still be served in time.
void WaitQueue::push(Waiter waiter, bool free, std::size_t places,
                     TimePoint now) {
  if (!free && now + expectedWait(waiter, places) > waiter.Until)
    waiter.Until = now;
  auto place =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const Waiter &it) {
        return it.Priority > waiter.Priority;
      });
  Waiting.insert(place, std::move(waiter));
}

/// Of the highest priority that waits the first that can still be answered in
/// time, or the first if none can. Load: more work than the target can do. A
/// transaction takes several statements' work for one caller, so single
/// statements go before it: more callers are served.
const Waiter &WaitQueue::next(TimePoint now) const {
  const auto &first = Waiting.front();
  const Waiter *transaction = nullptr;
  for (const auto &it : Waiting) {
    if (it.Priority != first.Priority)
      break;
    if (isLate(it.Goal, now))
      continue;
    if (it.First.EndsLease)
      return it;
    if (!transaction)
      transaction = &it;
  }
  return transaction ? *transaction : first;
}

Waiter WaitQueue::take(LeaseId lease) {
  auto it = std::find_if(Waiting.begin(), Waiting.end(), isLease(lease));
  auto out = std::move(*it);
  Waiting.erase(it);
  return out;
}

bool WaitQueue::erase(LeaseId lease) {
  auto it = std::find_if(Waiting.begin(), Waiting.end(), isLease(lease));
  if (it == Waiting.end())
    return false;
  Waiting.erase(it);
  return true;
}

std::vector<Waiter> WaitQueue::takeOver(TimePoint now) {
  std::vector<Waiter> out;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    if (now < it->Until) {
      ++it;
      continue;
    }
    out.push_back(std::move(*it));
    it = Waiting.erase(it);
  }
  return out;
}

std::deque<Waiter> WaitQueue::takeAll() { return std::exchange(Waiting, {}); }

} // namespace peridotfall::proxy
