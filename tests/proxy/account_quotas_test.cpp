#include "quota_fleet.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

// Guards against an account that sends many times its usual: each of many VMs
// sees only a small part of it.
TEST_CASE("account at seven times its limit, gets it and not more") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    fleet.run(quota.RatePerSecond * 0.6, seconds(5));
    fleet.run(quota.RatePerSecond * 7, seconds(10));
    CAPTURE(fleet.mostInWindow());
    CHECK(fleet.mostInWindow() <= allowed(quota));
    auto owed = quota.RatePerSecond * (10 + 5 * 0.6);
    CHECK(static_cast<double>(fleet.Ran.size()) >= owed * 0.95);
  }
}

// Guards against operations refused for a limit that the account as a whole
// keeps, because some VMs see more of it than others.
TEST_CASE("account below its limit, at most one in a thousand is refused") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    fleet.run(quota.RatePerSecond * 0.9, seconds(60));
    CHECK(fleet.Refused * 1'000 <= fleet.Asked);
  }
}

// Guards against a restart of all daemons after which nothing is granted until
// delegations of their predecessors would have ended.
TEST_CASE("all daemons restart, operations go on once they are back") {
  Fleet fleet(75, Large);
  fleet.run(Large.RatePerSecond * 0.6, seconds(5));
  for (std::size_t n = 0; n < fleet.Members.size(); ++n)
    fleet.restart(n);
  fleet.run(0, milliseconds(100));
  fleet.Ran.clear();
  fleet.run(Large.RatePerSecond * 0.6, milliseconds(300));
  CHECK(static_cast<double>(fleet.Ran.size()) >=
        Large.RatePerSecond * 0.6 * 0.3 * 0.7);
}

// Guards against an account that gets nothing because the settings name no
// tolerance.
TEST_CASE("no tolerance in the settings, an account gets its limit") {
  Fleet fleet(9, Small);
  fleet.apply(Small, {});
  fleet.run(0, seconds(5));
  fleet.Ran.clear();
  fleet.run(Small.RatePerSecond * 0.9, seconds(20));
  CHECK(static_cast<double>(fleet.Ran.size()) >=
        Small.RatePerSecond * 20 * 0.85);
}

// Guards against two limits in place of one while the daemon that counts is
// lost and another takes its place.
TEST_CASE("counter lost at the limit, the limit is kept") {
  Fleet fleet(75, Large);
  fleet.run(119 * 4.0, seconds(1));
  fleet.Down.insert(fleet.counter());
  fleet.run(119 * 4.0, seconds(1));
  fleet.removeLost();
  fleet.run(119 * 4.0, seconds(5));
  CHECK(fleet.mostInWindow() <= allowed(Large));
}

// Guards against callers that wait for, or are refused because of, a daemon
// that has just been lost.
TEST_CASE("counter lost below the limit, operations go on") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    fleet.run(quota.RatePerSecond * 0.6, seconds(5));
    fleet.Down.insert(fleet.counter());
    fleet.run(quota.RatePerSecond * 0.6, seconds(2));
    CHECK(fleet.Refused * 20 <= fleet.Asked);
  }
}

TEST_CASE("limit lowered far below the use, it binds within a window") {
  constexpr AccountQuota Lowered{20, 20};
  Fleet fleet(75, Large);
  fleet.run(75, seconds(5));
  fleet.apply(Lowered);
  fleet.run(75, seconds(1));
  fleet.Ran.clear();
  fleet.run(75, seconds(10));
  CHECK(fleet.mostInWindow() <= allowed(Lowered));
  CHECK(fleet.Ran.size() >= 190);
}

// Guards against the cost of idle daemons: a daemon sends reports only to the
// counter that holds its share, and only to renew the delegation.
TEST_CASE("account not used, each daemon renews its delegation only") {
  Fleet fleet(75, Large);
  auto before = fleet.Messages;
  fleet.run(0, seconds(10));
  CHECK(fleet.Messages - before <= 75 * 10'000 / 250);
}

TEST_CASE("no account with a quota, no messages are sent") {
  Fleet fleet(75, Large);
  for (auto &it : fleet.Daemons)
    it->apply(AccountTable(), Tolerance, 1);
  fleet.run(0, seconds(2));
  auto before = fleet.Messages;
  fleet.run(0, seconds(10));
  CHECK(fleet.Messages == before);
}

TEST_CASE("account without a quota, is never limited") {
  Fleet fleet(3, Large);
  auto decision = fleet.Daemons[0]->admit(AccountName("other"),
                                          [](const QuotaDecision &) {});
  CHECK(decision == QuotaDecision{});
}

// Guards against an operation that never ends because its question is lost
// with all daemons that could answer.
TEST_CASE("no counter answers, an operation is decided here in time") {
  Fleet fleet(75, Small);
  for (std::size_t n = 1; n < fleet.Members.size(); ++n)
    fleet.Down.insert(fleet.Members[n].InnerAddress);
  std::optional<QuotaDecision> decision = fleet.Daemons[0]->admit(
      AccountName("press"), [&](const QuotaDecision &it) { decision = it; });
  fleet.run(0, 3 * proxy::limits::ReportTimeout);
  CHECK(decision);
}

namespace {

/// A daemon that has sent its first report, of five operations.
struct ReportedOnce {
  struct Calls final : CallPort {
    std::vector<std::uint32_t> Reported;
    std::vector<std::string> Addresses;
    std::vector<http::OnResult> Pending;
    void call(const std::string &address, const char *, std::string body,
              const http::AnswerLimits &, http::OnResult done) override {
      auto report = messages::decodeUseReport(body).value();
      Reported.push_back(report.Uses.at(0).Run);
      Addresses.push_back(address);
      Pending.push_back(std::move(done));
    }
  };

  ManualClock Time;
  Calls Sent;
  AccountQuotas Daemon{Sent, VmName("other"), Time};

  ReportedOnce() {
    Daemon.updateMembers(testing::membersOf(9));
    ClientAccount account;
    account.Name = AccountName("press");
    account.Quota = Large;
    Daemon.apply(AccountTable::make({account}).value(), Tolerance, 1);
    for (int n = 0; n < 5; ++n)
      Daemon.admit(account.Name, [](const QuotaDecision &) {});
    passReportDelay();
    REQUIRE(Sent.Pending.size() == 1);
  }
  void passReportDelay() {
    Time.advance(proxy::limits::ReportDelay);
    Daemon.tick();
  }
};

} // namespace

// Guards against an account that gets more than its limit because a report was
// lost on its way.
TEST_CASE_FIXTURE(ReportedOnce,
                  "report not answered, is sent again to the next counter") {
  Sent.Pending[0](http::TransportError{http::Failure::MaybeRun, "silent", {}});
  passReportDelay();
  CHECK(Sent.Reported == std::vector<std::uint32_t>{5, 5});
  CHECK(Sent.Addresses[0] != Sent.Addresses[1]);
}

// Guards against operations that a counter without the account's quota forgets.
TEST_CASE_FIXTURE(ReportedOnce,
                  "report not counted, is sent again to the next counter") {
  messages::UseAnswer answer;
  answer.Grants.emplace_back().Uncounted = true;
  Sent.Pending[0](http::Response{200, {}, messages::encode(answer)});
  passReportDelay();
  CHECK(Sent.Reported == std::vector<std::uint32_t>{5, 5});
  CHECK(Sent.Addresses[0] != Sent.Addresses[1]);
}

TEST_CASE("counters, members in another order, are the same") {
  auto members = testing::membersOf(75);
  CounterPlan one;
  one.setMembers(members);
  std::reverse(members.begin(), members.end());
  CounterPlan other;
  other.setMembers(members);
  for (const char *it : {"press", "desk", "depot"})
    CHECK(one.countersOf(AccountName(it)) == other.countersOf(AccountName(it)));
}

TEST_CASE("counters, daemons with wide links known, are of these") {
  auto members = testing::membersOf(75);
  members[7].LinkMbps = 200;
  members[9].LinkMbps = 200;
  CounterPlan plan;
  plan.setMembers(members);
  for (const auto &it : plan.countersOf(AccountName("press")))
    CHECK(it.LinkMbps == 200);
}
