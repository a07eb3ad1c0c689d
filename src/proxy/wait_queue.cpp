#include "proxy/wait_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotfall::proxy {

namespace {

enum Class : unsigned { Single, Transaction, Late };

auto isLease(LeaseId lease) {
  return [lease](const Waiter &it) { return it.Lease == lease; };
}

Class kindOf(const Waiter &it) {
  return it.First.EndsLease ? Single : Transaction;
}

bool isDisplaced(const Waiter &it) {
  return it.Refusal == QueueRefusal::Displaced;
}

void displace(Waiter &it) { it.Refusal = QueueRefusal::Displaced; }

void refuseNow(Waiter &it, TimePoint now) {
  it.WaitDeadline = now;
  it.Refusal = QueueRefusal::TooLong;
}

/// \return whether an account with \p count waiting leases is heavy compared
/// to one with \p other.
bool isHeavier(std::size_t count, std::size_t other) {
  return count > other * limits::HeavyRatio;
}

} // namespace

bool isLate(std::optional<TimePoint> goal, TimePoint now) {
  return goal && *goal < now + limits::GoalReserve;
}

bool WaitQueue::contains(LeaseId lease) const {
  return std::any_of(Waiting.begin(), Waiting.end(), isLease(lease));
}

Duration WaitQueue::workOf(const Waiter &it) const {
  return (it.First.EndsLease ? SingleWork : BeginWork).Value;
}

void WaitQueue::addWork(bool single, Duration took) {
  (single ? SingleWork : BeginWork).add(took);
}

std::vector<Duration> WaitQueue::tags(const std::vector<unsigned> &classes,
                                      const Waiter *newcomer) const {
  std::vector<QueuedWork> work;
  work.reserve(Waiting.size() + 1);
  auto add = [&](const Waiter &it, unsigned its) {
    work.push_back({it.Priority, its, it.Account.Value, workOf(it)});
  };
  for (std::size_t n = 0; n < Waiting.size(); ++n)
    add(Waiting[n], classes[n]);
  if (newcomer)
    add(*newcomer, kindOf(*newcomer));
  return Turns.tags(work);
}

std::vector<std::size_t> WaitQueue::ahead(const Waiter &newcomer) const {
  std::vector<unsigned> kinds;
  kinds.reserve(Waiting.size());
  for (const auto &it : Waiting)
    kinds.push_back(kindOf(it));
  auto starts = tags(kinds, &newcomer);
  auto key =
      std::tuple(newcomer.Priority, unsigned{kindOf(newcomer)}, starts.back());
  std::vector<std::size_t> out;
  for (std::size_t n = 0; n < Waiting.size(); ++n)
    if (!isDisplaced(Waiting[n]) &&
        std::tuple(Waiting[n].Priority, kinds[n], starts[n]) <= key)
      out.push_back(n);
  return out;
}

/// Assumes that the target works on all running statements in parallel, so that
/// places free up at even intervals.
Duration WaitQueue::waitBehind(std::size_t ahead,
                               std::size_t maxRunning) const {
  return AnswerTime.Value * static_cast<Duration::rep>(ahead + 1) /
         static_cast<Duration::rep>(maxRunning);
}

WaitQueue::Counts WaitQueue::waitingByAccount() const {
  Counts out;
  for (const auto &it : Waiting)
    if (!isDisplaced(it))
      ++out[it.Account.Value];
  return out;
}

std::size_t WaitQueue::mostByAccount() const {
  std::size_t most = 0;
  for (const auto &[account, count] : waitingByAccount())
    most = std::max(most, count);
  return most;
}

/// More urgent leases stay, whatever account they are of.
bool WaitQueue::makeRoom(const Waiter &newcomer, std::size_t maxRunning,
                         TimePoint now) {
  auto left = waitingByAccount();
  auto own = ++left[newcomer.Account.Value];
  auto before = ahead(newcomer);
  auto remaining = before.size();
  std::vector<std::size_t> out;
  while (now + waitBehind(remaining, maxRunning) > newcomer.WaitDeadline) {
    std::optional<std::size_t> last;
    std::size_t most = 0;
    for (auto n : before) {
      const auto &it = Waiting[n];
      auto count = left[it.Account.Value];
      if (it.Priority != newcomer.Priority || count < most ||
          !isHeavier(count, own) ||
          std::find(out.begin(), out.end(), n) != out.end())
        continue;
      most = count;
      last = n;
    }
    if (!last)
      return false;
    --left[Waiting[*last].Account.Value];
    out.push_back(*last);
    --remaining;
  }
  for (auto n : out)
    displace(Waiting[n]);
  return true;
}

void WaitQueue::displaceBehind(LeaseId newcomer, std::size_t maxRunning,
                               TimePoint now) {
  auto counts = waitingByAccount();
  if (counts.size() < 2)
    return;
  auto &added = find(newcomer);
  auto own = counts[added.Account.Value];
  auto leases = order(now);
  for (auto n = leases.size(); n-- > 0 && leases[n] != newcomer;) {
    auto &it = find(leases[n]);
    auto count = counts[it.Account.Value];
    if (it.WaitDeadline <= now ||
        now + waitBehind(n, maxRunning) <= it.WaitDeadline)
      continue;
    if (isHeavier(count, own)) {
      displace(it);
      return;
    }
    bool wasInTime = now + waitBehind(n - 1, maxRunning) <= it.WaitDeadline;
    if (wasInTime && it.Priority == added.Priority && isHeavier(own, count)) {
      refuseNow(added, now);
      return;
    }
  }
}

/// Under several seconds of overload a waiting statement would be served too
/// late for its caller, or refused when no time is left to retry. One that is
/// rejected at once can be retried while it can still be served in time.
void WaitQueue::push(Waiter waiter, bool free, std::size_t maxRunning,
                     TimePoint now) {
  bool fits = free || now + waitBehind(ahead(waiter).size(), maxRunning) <=
                          waiter.WaitDeadline;
  if (!fits && !makeRoom(waiter, maxRunning, now))
    refuseNow(waiter, now);
  auto lease = waiter.Lease;
  auto position =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const Waiter &it) {
        return it.Priority > waiter.Priority;
      });
  Waiting.insert(position, std::move(waiter));
  if (fits)
    displaceBehind(lease, maxRunning, now);
}

std::optional<Duration> WaitQueue::retryAfter(const Waiter &refused,
                                              std::size_t maxRunning,
                                              TimePoint now) {
  if (refused.Account.empty())
    return std::nullopt;
  auto counts = waitingByAccount();
  counts.try_emplace(refused.Account.Value);
  auto share = waitBehind(counts.size() - 1, maxRunning);
  return Returns.next(refused.Account,
                      waitBehind(ahead(refused).size(), maxRunning), share,
                      now);
}

/// Within a priority, leases that can still meet their goal are first. Of
/// these, single statements go before transactions: under overload a
/// transaction uses the time of several statements for one caller, so fewer
/// callers would be served.
std::vector<LeaseId> WaitQueue::order(TimePoint now) const {
  using Key = std::tuple<unsigned, unsigned, Duration, std::size_t>;
  std::vector<unsigned> classes;
  classes.reserve(Waiting.size());
  for (const auto &it : Waiting)
    classes.push_back(isLate(it.Goal, now) ? Late : kindOf(it));
  auto starts = tags(classes, nullptr);
  std::vector<Key> keys;
  keys.reserve(Waiting.size());
  for (std::size_t n = 0; n < Waiting.size(); ++n)
    if (!isDisplaced(Waiting[n]))
      keys.emplace_back(Waiting[n].Priority, classes[n], starts[n], n);
  std::sort(keys.begin(), keys.end());
  std::vector<LeaseId> out;
  out.reserve(keys.size());
  for (const auto &it : keys)
    out.push_back(Waiting[std::get<std::size_t>(it)].Lease);
  return out;
}

Waiter &WaitQueue::find(LeaseId lease) {
  return *std::find_if(Waiting.begin(), Waiting.end(), isLease(lease));
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
  Turns.started(out.Priority, out.Account, workOf(out));
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
    if (now < it->WaitDeadline && !isDisplaced(*it)) {
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
