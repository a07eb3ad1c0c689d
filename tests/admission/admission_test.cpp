#include "peridotfall/admission.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct AdmissionFixture {
  ManualClock Time;
  Admission Queue{2, 1};

  WorkItem item(const char *caller, WorkClass of = WorkClass::Lookup,
                bool isLong = false) const {
    return {CallerName(caller),
            of,
            {isLong ? milliseconds(200) : milliseconds(4), isLong},
            Time.now() + seconds(2)};
  }
  Offer offer(const WorkItem &it) { return Queue.offer(it, Time.now()); }
  std::optional<TicketHandle> next() { return Queue.next(Time.now()); }
};

} // namespace

TEST_CASE_FIXTURE(AdmissionFixture,
                  "write of record, behind lookups, is started first") {
  std::vector<TicketHandle> lookups;
  for (int n = 0; n < 10; ++n)
    lookups.push_back(offer(item("a")).Ticket);
  auto write = offer(item("b", WorkClass::Record)).Ticket;
  CHECK((next() == write));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "lookups, under a stream of writes, are not starved") {
  // Writes of record arrive faster than they run. Lookups still get a tenth of
  // the work, so they are delayed but not starved.
  int served = 0;
  auto lookup = offer(item("a")).Ticket;
  for (int n = 0; n < 200; ++n) {
    offer(item("b", WorkClass::Record));
    offer(item("b", WorkClass::Record));
    auto ticket = next();
    if (!ticket)
      break;
    if (*ticket == lookup) {
      ++served;
      lookup = offer(item("a")).Ticket;
    }
    Time.advance(milliseconds(2));
    Queue.finish(*ticket);
  }
  CHECK(served >= 10);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "caller with two requests, among a stream of new callers, "
                  "is served") {
  // New callers send one lookup each, faster than lookups run. The second
  // lookup of an earlier caller must not wait behind all of them.
  offer(item("a"));
  auto second = offer(item("a")).Ticket;
  int started = 0;
  for (int n = 0; n < 100; ++n) {
    offer(item(("new-" + std::to_string(n)).c_str()));
    offer(item(("more-" + std::to_string(n)).c_str()));
    auto ticket = next();
    REQUIRE(ticket.has_value());
    if (*ticket == second)
      break;
    ++started;
    Time.advance(milliseconds(4));
    Queue.finish(*ticket);
  }
  CHECK(started < 30);
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "long statements, two of them, leave a slot to short work") {
  offer(item("a", WorkClass::Lookup, true));
  offer(item("a", WorkClass::Lookup, true));
  CHECK(next().has_value());
  CHECK_FALSE(next().has_value());
  auto quick = offer(item("a")).Ticket;
  CHECK((next() == quick));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "statement, expected too late, is refused at once") {
  Offer last;
  int admitted = 0;
  while ((last = offer(item("a"))).Ticket.valid())
    ++admitted;
  CHECK(admitted > 100);
  CHECK((last.Why.Code == AnswerCode::Overloaded));
  CHECK(last.Why.RetryAfter >= limits::MinRetryAfter);
  // Callers take turns, so another caller's wait is still short.
  CHECK(offer(item("b")).Ticket.valid());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "retry-after times, of many refused callers, are spread") {
  std::vector<Duration> times;
  while (times.size() < 50) {
    auto it = offer(item("a"));
    if (!it.Ticket.valid())
      times.push_back(it.Why.RetryAfter);
  }
  auto [least, most] = std::minmax_element(times.begin(), times.end());
  CHECK(*most - *least > milliseconds(20));
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "wrong estimate, slot free, is corrected by a run") {
  // After a slow period the estimate exceeds every deadline. If that refused
  // the statement, it would never run again and the estimate would never
  // change.
  auto it = item("a");
  it.Work.Expected = seconds(30);
  CHECK(offer(it).Ticket.valid());
  CHECK(Queue.expire(Time.now()).empty());
  CHECK(next().has_value());
}

TEST_CASE_FIXTURE(AdmissionFixture,
                  "queue, ownership moved, refuses all that waits") {
  for (int n = 0; n < 5; ++n)
    offer(item("a"));
  auto started = next();
  REQUIRE(started.has_value());
  auto back = Queue.clear(Time.now());
  CHECK(back.size() == 4);
  for (const auto &it : back) {
    CHECK((it.Why.Code == AnswerCode::NotOwner));
    CHECK((it.Ticket != *started));
  }
  CHECK_FALSE(next().has_value());
}

TEST_CASE("work estimate keys, only literals differ, are equal") {
  CHECK(normaliseSql("SELECT  a1 FROM t WHERE id = 17 AND n='x y'") ==
        normaliseSql("SELECT a1 FROM t\nWHERE id = 4 AND n='z'"));
  CHECK(normaliseSql("SELECT a FROM t1") != normaliseSql("SELECT a FROM t2"));
}

TEST_CASE("work estimates, 50 times the median, are long") {
  WorkEstimator it;
  CHECK(it.estimate("report").Long); // No estimate yet.
  for (int n = 0; n < 100; ++n)
    it.observe("lookup", milliseconds(4));
  it.observe("report", milliseconds(200));
  CHECK(it.estimate("report").Long);
  CHECK_FALSE(it.estimate("lookup").Long);
}
