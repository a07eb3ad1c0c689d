#include "fixture.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Counts the operations that it is asked for.
struct CountingQuotas final : QuotaPort {
  std::size_t Asked = 0;
  std::size_t Most = 100;
  /// Decisions are made by answer().
  bool Later = false;
  std::vector<OnQuotaDecision> Waiting;

  std::optional<QuotaDecision> admit(const AccountName &,
                                     OnQuotaDecision done) override {
    ++Asked;
    if (Later) {
      Waiting.push_back(std::move(done));
      return std::nullopt;
    }
    return decide();
  }
  QuotaDecision decide() const {
    return {Asked <= Most, milliseconds(Asked <= Most ? 0 : 40)};
  }
  void answer() {
    for (const auto &done : std::exchange(Waiting, {}))
      done(decide());
  }
};

/// Reads of the route "views", whose operations are counted.
struct CountedCopies : ProxyFixture {
  CountingQuotas Quotas;
  CallerId Caller;

  CountedCopies() {
    learnHead();
    Callers.setQuotas(Quotas);
    Caller = session("views");
  }
  /// \return the replica at which the read runs.
  std::string read() {
    send(Caller, StatementKind::Read, "READ a");
    passServing(milliseconds(60));
    auto out = busyAt("r") ? "r" : "s";
    REQUIRE(busyAt(out));
    return out;
  }
  /// \return how often the read was sent to a target.
  std::size_t copies() const {
    auto id = "q" + std::to_string(LastRequest);
    std::size_t n = 0;
    for (const auto &[connection, it] : Links.Connections)
      n += static_cast<std::size_t>(
          std::count_if(it.Seen.begin(), it.Seen.end(),
                        [&](const Statement &seen) { return seen.Id == id; }));
    return n;
  }
  void fail(const std::string &target, ErrorKind kind) {
    answer(*busyAt(target.c_str()), failure(kind, TransactionState::Idle));
    completeHandshakes();
  }
  void passServing(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      completeHandshakes();
      serve("p", TransactionState::Idle);
      pass(Step);
    }
    completeHandshakes();
  }
  /// Lets the read wait until it is hedged, if it may be.
  void waitForHedge() { passServing(milliseconds(140)); }
};

} // namespace

// Guards against reads that run twice and are counted once.
TEST_CASE_FIXTURE(CountedCopies,
                  "read failed at a target, retry, is counted again") {
  auto target = read();
  fail(target, ErrorKind::Failed);
  CHECK(copies() == 2);
  CHECK(Quotas.Asked == 2);
}

TEST_CASE_FIXTURE(CountedCopies, "read failed at a target, account at its "
                                 "limit, is refused as not run") {
  Quotas.Most = 1;
  auto target = read();
  fail(target, ErrorKind::Failed);
  CHECK(copies() == 1);
  CHECK(last(Caller).Error->Kind == ErrorKind::Busy);
}

TEST_CASE_FIXTURE(CountedCopies,
                  "read not answered, account at its limit, is not sent "
                  "again") {
  Quotas.Most = 1;
  auto silent = read();
  passServing(milliseconds(780));
  CHECK(copies() == 1);
  CHECK(last(Caller).Error->Kind == ErrorKind::Busy);
}

// Guards against a read that a former primary runs, behind the begin of a
// transaction that it refuses.
TEST_CASE_FIXTURE(CountedCopies, "read behind a refused begin, retry, is "
                                 "counted again") {
  Caller = session("orders");
  send(Caller, StatementKind::Read, "READ a");
  completeHandshakes();
  auto connection = *busyAt("p");
  answer(connection, failure(ErrorKind::ReadOnly, TransactionState::Idle));
  const auto &next = Links.Connections.at(connection).Unanswered.front();
  answer(connection, success(next, TransactionState::Idle));
  answer(connection, failure(ErrorKind::Malformed, TransactionState::Idle));
  passServing(milliseconds(200));
  CHECK(copies() == 2);
  CHECK(Quotas.Asked == 2);
}

// Guards against a limit that is used up by statements that did not run.
TEST_CASE_FIXTURE(CountedCopies,
                  "read refused by a target, retry, is not counted again") {
  auto target = read();
  fail(target, ErrorKind::Lagging);
  CHECK(copies() == 2);
  CHECK(Quotas.Asked == 1);
}

TEST_CASE_FIXTURE(CountedCopies, "late read, second copy, is counted") {
  auto target = read();
  waitForHedge();
  CHECK(Metrics.HedgesSent->Value() == 1);
  CHECK(Quotas.Asked == 2);
}

TEST_CASE_FIXTURE(CountedCopies,
                  "late read, account at its limit, has no second copy") {
  Quotas.Most = 1;
  auto target = read();
  waitForHedge();
  CHECK(Metrics.HedgesSent->Value() == 0);
  serve(target.c_str(), TransactionState::Idle);
  CHECK(last(Caller).ok());
}

// Guards against a copy of a read that has been answered meanwhile.
TEST_CASE_FIXTURE(CountedCopies,
                  "late read, answered before its second copy is granted, has "
                  "none") {
  auto target = read();
  Quotas.Later = true;
  waitForHedge();
  REQUIRE(Quotas.Waiting.size() == 1);
  serve(target.c_str(), TransactionState::Idle);
  Quotas.answer();
  CHECK(last(Caller).ok());
  CHECK(copies() == 1);
}
