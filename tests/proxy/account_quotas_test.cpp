#include "proxy/account_quotas.h"

#include "members.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::seconds;

namespace {

constexpr QuotaTolerance Tolerance{milliseconds(5'000), 0.1, 20};

/// Daemons with links of 8 ms each way, in virtual time.
struct Fleet {
  struct Event {
    TimePoint At;
    std::function<void()> Run;
  };
  struct Port final : CallPort {
    Fleet *Net = nullptr;
    std::string From;
    void call(const std::string &address, const char *path, std::string body,
              const http::AnswerLimits &limits, http::OnResult done) override {
      Net->call(From, address, path, std::move(body), limits, std::move(done));
    }
  };

  static constexpr milliseconds Delay{8};

  ManualClock Time;
  TimePoint Start = Time.now();
  std::vector<Member> Members;
  std::vector<std::unique_ptr<Port>> Ports;
  std::vector<std::unique_ptr<AccountQuotas>> Daemons;
  std::set<std::string> Down;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<TimePoint> Ran;
  std::size_t Asked = 0;
  std::size_t Refused = 0;
  std::size_t Messages = 0;
  std::mt19937 Random{7};
  double Owed = 0; ///< Part of the next operation that is due.

  Fleet(std::size_t n, AccountQuota quota) : Members(testing::membersOf(n)) {
    for (const auto &it : Members) {
      auto &port = Ports.emplace_back(std::make_unique<Port>());
      port->Net = this;
      port->From = it.InnerAddress;
      Daemons.push_back(std::make_unique<AccountQuotas>(*port, it.Vm, Time));
      Daemons.back()->updateMembers(Members);
    }
    apply(quota);
    // Fills the bucket.
    run(0, seconds(10));
    Start = Time.now();
  }
  void apply(AccountQuota quota) {
    ClientAccount account;
    account.Name = AccountName("press");
    account.Quota = quota;
    auto table = AccountTable::make({account}).value();
    for (auto &it : Daemons)
      it->apply(table, Tolerance);
  }
  /// All daemons learn who is lost.
  void removeLost() {
    auto live = Members;
    std::erase_if(live, [this](const Member &it) {
      return Down.contains(it.InnerAddress);
    });
    for (auto &it : Daemons)
      it->updateMembers(live);
  }
  std::string counter() {
    CounterPlan plan;
    plan.setMembers(Members);
    return plan.countersOf(AccountName("press")).at(0).InnerAddress;
  }
  void call(const std::string &from, const std::string &to, const char *path,
            std::string body, const http::AnswerLimits &limits,
            http::OnResult done) {
    ++Messages;
    auto ended = std::make_shared<bool>(false);
    auto end = [ended, done](const http::CallResult &it) {
      if (!std::exchange(*ended, true))
        done(it);
    };
    at(limits.FirstByte, [end] {
      end(http::TransportError{http::Failure::MaybeRun, "silent", {}});
    });
    at(Delay, [=, this, body = std::move(body)] {
      if (Down.contains(to) || Down.contains(from))
        return;
      http::Request request;
      request.Path = path;
      request.Body = body;
      daemon(to).handle(request, [=, this](http::Response answer) {
        at(Delay, [=] { end(answer); });
      });
    });
  }
  void at(Duration delay, std::function<void()> run) {
    Events.emplace(Time.now() + delay, std::move(run));
  }
  AccountQuotas &daemon(const std::string &address) {
    for (std::size_t n = 0; n < Members.size(); ++n)
      if (Members[n].InnerAddress == address)
        return *Daemons[n];
    throw std::out_of_range(address);
  }
  void operate() {
    auto n = Random() % Daemons.size();
    if (Down.contains(Members[n].InnerAddress))
      return;
    ++Asked;
    auto count = [this](const QuotaDecision &it) {
      if (it.Run)
        Ran.push_back(Time.now());
      else
        ++Refused;
    };
    if (auto decision = Daemons[n]->admit(AccountName("press"), count))
      count(*decision);
  }
  void run(double perSecond, Duration span) {
    constexpr milliseconds Step{1};
    for (auto end = Time.now() + span; Time.now() < end; Time.advance(Step)) {
      while (!Events.empty() && Events.begin()->first <= Time.now()) {
        auto next = std::move(Events.begin()->second);
        Events.erase(Events.begin());
        next();
      }
      for (Owed += perSecond / 1'000; Owed >= 1; --Owed)
        operate();
      if (Time.now().time_since_epoch() % milliseconds(20) < Step)
        for (auto &it : Daemons)
          it->tick();
    }
  }
  /// \return the most operations that ran in any span of the window's length.
  std::size_t mostInWindow() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n < Ran.size(); ++n) {
      while (Ran[n] - Ran[first] >= Tolerance.Window)
        ++first;
      most = std::max(most, n - first + 1);
    }
    return most;
  }
};

std::size_t allowed(AccountQuota quota) {
  auto limit = quota.RatePerSecond * 5 + quota.Burst;
  return static_cast<std::size_t>(limit + toleratedExcess(quota, Tolerance));
}

constexpr AccountQuota Large{119, 119};
constexpr AccountQuota Small{8, 8};

} // namespace

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

// Messages follow the use: none for an account that nobody uses.
TEST_CASE("account not used, sends no messages") {
  Fleet fleet(75, Large);
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

// Guards against an account that gets more than its limit because a report was
// lost on its way.
TEST_CASE("report not answered, is sent again to the next counter") {
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
  ManualClock time;
  Calls calls;
  AccountQuotas daemon(calls, VmName("other"), time);
  daemon.updateMembers(testing::membersOf(9));
  ClientAccount account;
  account.Name = AccountName("press");
  account.Quota = Large;
  daemon.apply(AccountTable::make({account}).value(), Tolerance);
  for (int n = 0; n < 5; ++n)
    daemon.admit(account.Name, [](const QuotaDecision &) {});
  time.advance(proxy::limits::ReportDelay);
  daemon.tick();
  REQUIRE(calls.Pending.size() == 1);
  calls.Pending[0](http::TransportError{http::Failure::MaybeRun, "silent", {}});
  time.advance(proxy::limits::ReportDelay);
  daemon.tick();
  CHECK(calls.Reported == std::vector<std::uint32_t>{5, 5});
  CHECK(calls.Addresses[0] != calls.Addresses[1]);
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
