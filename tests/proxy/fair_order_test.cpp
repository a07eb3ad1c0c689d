#include "proxy/fair_order.h"
#include "proxy/return_times.h"
#include "proxy/wait_queue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::milliseconds;

namespace {

const AccountName Heavy("heavy");
const AccountName Light("light");

Waiter waiter(std::uint64_t id, const AccountName &account, bool single = true,
              milliseconds wait = milliseconds(300)) {
  Waiter it;
  it.Lease = {id};
  it.Priority = 2;
  it.Account = account;
  it.First.EndsLease = single;
  it.WaitDeadline = TimePoint{} + wait;
  return it;
}

/// Order and refusals by arrival, as they are without accounts.
struct ArrivalQueue {
  std::vector<Waiter> Waiting;

  bool push(const Waiter &it, Duration answerTime, std::size_t running,
            TimePoint now) {
    auto ahead =
        std::count_if(Waiting.begin(), Waiting.end(), [&](const Waiter &other) {
          return other.Priority < it.Priority ||
                 (other.Priority == it.Priority &&
                  (other.First.EndsLease || !it.First.EndsLease));
        });
    Waiting.push_back(it);
    return now + answerTime * (ahead + 1) / static_cast<int>(running) <=
           it.WaitDeadline;
  }
  std::vector<LeaseId> order(TimePoint now) {
    auto key = [&](const Waiter &it) {
      return std::pair(it.Priority, isLate(it.Goal, now) ? 2
                                    : it.First.EndsLease ? 0
                                                         : 1);
    };
    std::vector<Waiter> sorted = Waiting;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [&](const Waiter &a, const Waiter &b) { return key(a) < key(b); });
    std::vector<LeaseId> out;
    for (const auto &it : sorted)
      out.push_back(it.Lease);
    return out;
  }
};

} // namespace

// A deployment without accounts must not be affected by turns of accounts.
TEST_CASE("one account, order and refusals are by arrival") {
  std::mt19937 random(7);
  auto below = [&](unsigned n) { return static_cast<int>(random() % n); };
  for (int round = 0; round < 200; ++round) {
    WaitQueue queue;
    ArrivalQueue expected;
    queue.addAnswerTime(milliseconds(5 + below(40)));
    queue.addWork(true, milliseconds(5 + below(40)));
    AccountName account(round % 2 == 0 ? "" : "one");
    for (std::uint64_t id = 1; id <= 60; ++id) {
      TimePoint now{milliseconds(id)};
      auto it = waiter(id, account, below(3) > 0, milliseconds(below(600)));
      it.Priority = static_cast<unsigned>(below(3));
      if (below(2) == 0)
        it.Goal = now + milliseconds(below(400));
      bool fits = expected.push(it, queue.answerTime(), 3, now);
      queue.push(it, false, 3, now);
      CHECK(queue.at({id}).WaitDeadline == (fits ? it.WaitDeadline : now));
      REQUIRE(queue.order(now) == expected.order(now));
      if (below(3) != 0)
        continue;
      auto next = queue.order(now).front();
      queue.take(next);
      queue.charge(it.Priority, account, milliseconds(below(50)));
      std::erase_if(expected.Waiting,
                    [&](const Waiter &w) { return w.Lease == next; });
    }
  }
}

// One account's long queue, then two leases of another: these must not wait
// behind it. An idle time must not give credit for a later burst either.
TEST_CASE("account with a long queue, others take turns with it by work") {
  FairOrder order;
  milliseconds work(10);
  for (int n = 0; n < 50; ++n)
    order.started(2, Heavy, work);
  std::vector<QueuedWork> waiting(4, {2, 0, Heavy.Value, work});
  waiting.insert(waiting.end(), 2, {2, 0, Light.Value, 2 * work});
  auto tags = order.tags(waiting);
  CHECK(tags[4] < tags[0]);
  CHECK(tags[5] > tags[0]);
  CHECK(tags[5] < tags[2]);
  SUBCASE("started") { order.started(2, Light, 10 * work); }
  SUBCASE("by statements of a transaction that had begun") {
    order.charge(2, Light, 10 * work);
  }
  tags = order.tags(waiting);
  CHECK(tags[4] > tags[3]);
}

TEST_CASE("light account behind a full queue, the heavy account's last lease "
          "is displaced") {
  WaitQueue queue;
  queue.addAnswerTime(milliseconds(30));
  queue.addWork(true, milliseconds(30));
  for (std::uint64_t id = 1; id <= 30; ++id)
    queue.push(waiter(id, Heavy), false, 3, {});
  CHECK(queue.takeExpired({}).empty());
  SUBCASE("that starts before it") {
    queue.push(waiter(31, Light), false, 3, {});
  }
  SUBCASE("that starts behind it, as its lease is of a transaction") {
    queue.push(waiter(31, Light, false), false, 3, {});
  }
  CHECK(queue.at({31}).WaitDeadline > TimePoint{});
  CHECK(queue.order({}).size() == 30);
  auto out = queue.takeExpired({});
  REQUIRE(out.size() == 1);
  CHECK(out[0].Lease == LeaseId{30});
  CHECK(out[0].Refusal == QueueRefusal::Displaced);
  queue.push(waiter(32, Heavy), false, 3, {});
  CHECK(queue.at({32}).Refusal == QueueRefusal::TooLong);
}

// Refused callers that return together are refused again.
TEST_CASE("many callers refused at once, their returns are spread") {
  ReturnTimes times;
  std::vector<Duration> delays;
  for (int n = 0; n < 200; ++n)
    delays.push_back(
        times.next(Heavy, milliseconds(300), milliseconds(20), {}));
  CHECK(delays.front() == milliseconds(300));
  auto [least, most] = std::minmax_element(delays.begin(), delays.end());
  CHECK(*least >= milliseconds(300));
  CHECK(*most <= proxy::limits::MaxQueueRetryAfter);
  for (auto it : delays)
    CHECK(std::count(delays.begin(), delays.end(), it) <= 6);
  CHECK(times.next(Light, {}, {}, {}) == proxy::limits::MinQueueRetryAfter);
}
