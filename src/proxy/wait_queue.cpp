#include "proxy/wait_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotfall::proxy {

namespace {

auto isLease(LeaseId lease) {
  return [lease](const Waiter &it) { return it.Lease == lease; };
}

/// \return whether \p it would be run before a lease added now.
bool precedes(const Waiter &it, const Waiter &newcomer) {
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

/// Assumes that the target works on all running statements in parallel, so that
/// places free up at even intervals.
Duration WaitQueue::expectedWait(const Waiter &waiter,
                                 std::size_t maxRunning) const {
  auto ahead =
      std::count_if(Waiting.begin(), Waiting.end(),
                    [&](const Waiter &it) { return precedes(it, waiter); });
  return AnswerTime.Value * (ahead + 1) /
         static_cast<Duration::rep>(maxRunning);
}

/// Under several seconds of overload a waiting statement would be served too
/// late for its caller, or refused when no time is left to retry. One that is
/// rejected at once can be retried while it can still be served in time.
void WaitQueue::push(Waiter waiter, bool free, std::size_t maxRunning,
                     TimePoint now) {
  if (!free && now + expectedWait(waiter, maxRunning) > waiter.WaitDeadline)
    waiter.WaitDeadline = now;
  auto position =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const Waiter &it) {
        return it.Priority > waiter.Priority;
      });
  Waiting.insert(position, std::move(waiter));
}

/// Within a priority, leases that can still meet their goal are first. Of
/// these, single statements go before transactions: under overload a
/// transaction uses the time of several statements for one caller, so fewer
/// callers would be served.
std::vector<LeaseId> WaitQueue::order(TimePoint now) const {
  enum Class : unsigned { Single, Transaction, Late };
  using Key = std::tuple<unsigned, Class, std::size_t>;
  std::vector<Key> keys;
  keys.reserve(Waiting.size());
  for (std::size_t n = 0; n < Waiting.size(); ++n) {
    const auto &it = Waiting[n];
    auto kind = it.First.EndsLease ? Single : Transaction;
    keys.emplace_back(it.Priority, isLate(it.Goal, now) ? Late : kind, n);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<LeaseId> out;
  out.reserve(keys.size());
  for (const auto &it : keys)
    out.push_back(Waiting[std::get<std::size_t>(it)].Lease);
  return out;
}

const Waiter &WaitQueue::at(LeaseId lease) const {
  return *std::find_if(Waiting.begin(), Waiting.end(), isLease(lease));
}

bool WaitQueue::isWanted(const AccountName &account) const {
  return std::any_of(Waiting.begin(), Waiting.end(),
                     [&](const Waiter &it) { return it.Account == account; });
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

std::vector<Waiter> WaitQueue::takeExpired(TimePoint now) {
  std::vector<Waiter> out;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    if (now < it->WaitDeadline) {
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
