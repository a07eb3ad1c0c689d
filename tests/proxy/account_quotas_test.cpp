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
  std::set<std::size_t> Unconfigured;
  /// Whether messages from one address to another are lost.
  std::function<bool(const std::string &, const std::string &)> Cut;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<TimePoint> Ran;
  std::size_t Callers = 0; ///< Daemons that callers use, the first ones.
  std::size_t Asked = 0;
  std::size_t Refused = 0;
  std::size_t Messages = 0;
  std::mt19937 Random{7};
  double Owed = 0; ///< Part of the next operation that is due.

  AccountName Name{"press"};
  AccountTable Table;
  /// Calls of ended processes may still be under way.
  std::vector<std::unique_ptr<AccountQuotas>> Gone;
  std::uint64_t Starts = 0;

  Fleet(std::size_t n, AccountQuota quota)
      : Members(testing::membersOf(n)), Callers(n) {
    for (const auto &it : Members) {
      auto &port = Ports.emplace_back(std::make_unique<Port>());
      port->Net = this;
      port->From = it.InnerAddress;
      Daemons.push_back(std::make_unique<AccountQuotas>(
          *port, it.Vm, Time, QuotaProcess{++Starts, true}));
      Daemons.back()->updateMembers(Members);
      Daemons.back()->updateRegistered(Members);
    }
    apply(quota);
    // The shares are delegated and mature.
    run(0, seconds(10));
    Start = Time.now();
  }
  void apply(AccountQuota quota, const QuotaTolerance &tolerance = Tolerance) {
    ClientAccount account;
    account.Name = Name;
    account.Quota = quota;
    Table = AccountTable::make({account}).value();
    for (auto &it : Daemons)
      it->apply(Table, tolerance, 1);
  }
  /// Replaces the process; what it was asked and what it knew is lost.
  /// \param configured whether it has the accounts at once.
  /// \param fleetStarts whether its settings still say that the fleet starts.
  void restart(std::size_t n, bool configured = true,
               bool fleetStarts = false) {
    auto &it = Daemons[n];
    Gone.push_back(std::move(it));
    it = std::make_unique<AccountQuotas>(*Ports[n], Members[n].Vm, Time,
                                         QuotaProcess{++Starts, fleetStarts});
    it->updateMembers(Members);
    it->updateRegistered(Members);
    Unconfigured.insert(n);
    if (configured)
      configure(n);
  }
  void configure(std::size_t n) {
    Daemons[n]->apply(Table, Tolerance, 1);
    Unconfigured.erase(n);
  }
  /// \return whether the daemon may count the account.
  bool isCounting(std::size_t n) const {
    CounterPlan plan;
    plan.setMembers(Members);
    auto counters = plan.countersOf(Name);
    return std::any_of(counters.begin(), counters.end(), [&](const Member &it) {
      return it.Vm == Members[n].Vm;
    });
  }
  /// \return the index of the daemon with the address.
  std::size_t indexOf(const std::string &address) const {
    for (std::size_t n = 0; n < Members.size(); ++n)
      if (Members[n].InnerAddress == address)
        return n;
    throw std::out_of_range(address);
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
      if (Down.contains(to) || Down.contains(from) || (Cut && Cut(from, to)))
        return;
      http::Request request;
      request.Path = path;
      request.Body = body;
      daemon(to).handle(request, [=, this](http::Response answer) {
        if (!Cut || !Cut(to, from))
          at(Delay, [=] { end(answer); });
      });
    });
  }
  void at(Duration delay, std::function<void()> run) {
    Events.emplace(Time.now() + delay, std::move(run));
  }
  AccountQuotas &daemon(const std::string &address) {
    return *Daemons[indexOf(address)];
  }
  void operate() {
    auto n = Random() % Callers;
    // A daemon without a configuration has no sessions.
    if (Down.contains(Members[n].InnerAddress) || Unconfigured.contains(n))
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
  daemon.apply(AccountTable::make({account}).value(), Tolerance, 1);
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

namespace {

/// Loses the messages between the first \p n members and the others.
std::function<bool(const std::string &, const std::string &)>
between(const Fleet &fleet, std::size_t n, bool oneWay = false) {
  std::set<std::string> side;
  for (std::size_t i = 0; i < n; ++i)
    side.insert(fleet.Members[i].InnerAddress);
  return [side, oneWay](const std::string &from, const std::string &to) {
    return side.contains(from) != side.contains(to) &&
           (!oneWay || side.contains(from));
  };
}

/// Each side learns that the other is lost.
void separateMembers(Fleet &fleet, std::size_t n) {
  auto cut = fleet.Members.begin() + static_cast<std::ptrdiff_t>(n);
  for (std::size_t i = 0; i < fleet.Members.size(); ++i)
    fleet.Daemons[i]->updateMembers(
        i < n ? std::vector<Member>(fleet.Members.begin(), cut)
              : std::vector<Member>(cut, fleet.Members.end()));
}

void joinMembers(Fleet &fleet) {
  fleet.Cut = {};
  for (auto &it : fleet.Daemons)
    it->updateMembers(fleet.Members);
}

} // namespace

// Guards against both sides of a network partition granting the whole limit.
TEST_CASE("network partitioned and healed, the limit is kept") {
  struct Load {
    std::size_t Side;
    bool OneWay;
    double Use;
  };
  for (auto load :
       {Load{37, false, 0.6}, Load{37, false, 1}, Load{37, false, 5},
        Load{7, false, 1}, Load{7, false, 5}, Load{37, true, 1},
        Load{37, true, 5}, Load{68, false, 5}, Load{7, true, 5}}) {
    for (auto quota : {Large, Small}) {
      CAPTURE(quota.RatePerSecond);
      CAPTURE(load.Side);
      CAPTURE(load.OneWay);
      CAPTURE(load.Use);
      Fleet fleet(75, quota);
      auto rate = quota.RatePerSecond * load.Use;
      fleet.run(rate, seconds(6));
      fleet.Cut = between(fleet, load.Side, load.OneWay);
      fleet.run(rate, seconds(3));
      if (!load.OneWay)
        separateMembers(fleet, load.Side);
      fleet.run(rate, seconds(12));
      joinMembers(fleet);
      fleet.run(rate, seconds(12));
      CAPTURE(fleet.Refused);
      CAPTURE(fleet.Asked);
      CHECK(fleet.mostInWindow() <= allowed(quota));
    }
  }
}

// Guards against an account that gets a limit from each of the counters that
// follow one another.
TEST_CASE("three network partitions in 10 s, the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 5;
    fleet.run(rate, seconds(5));
    for (std::size_t side : {37, 10, 60}) {
      fleet.Cut = between(fleet, side);
      fleet.run(rate, milliseconds(1'500));
      separateMembers(fleet, side);
      fleet.run(rate, milliseconds(1'000));
      joinMembers(fleet);
      fleet.run(rate, milliseconds(800));
    }
    fleet.run(rate, seconds(10));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

TEST_CASE("counter killed during a network partition, the limit is kept") {
  Fleet fleet(75, Large);
  auto rate = Large.RatePerSecond * 5;
  fleet.run(rate, seconds(5));
  fleet.Cut = between(fleet, 37);
  fleet.run(rate, seconds(2));
  separateMembers(fleet, 37);
  fleet.run(rate, seconds(1));
  fleet.restart(fleet.indexOf(fleet.counter()));
  fleet.run(rate, seconds(10));
  CHECK(fleet.mostInWindow() <= allowed(Large));
}

// Guards against daemons whose predecessor's shares are still in use.
TEST_CASE("daemons restart six at a time at nine times the usual load, the "
          "limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.625 * 9;
    fleet.run(rate, seconds(5));
    for (std::size_t n = 0; n < fleet.Members.size(); ++n) {
      fleet.restart(n);
      if (n % 6 == 5)
        fleet.run(rate, milliseconds(900));
    }
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against a counter that grants all it is asked while it has no table of
// the accounts.
TEST_CASE("counter restarts and has no configuration yet, the limit is kept") {
  for (auto quota : {Large, Small}) {
    for (auto without : {milliseconds(300), milliseconds(2'000)}) {
      CAPTURE(quota.RatePerSecond);
      CAPTURE(without);
      Fleet fleet(75, quota);
      auto rate = quota.RatePerSecond * 5;
      fleet.run(rate, seconds(6));
      auto counter = fleet.indexOf(fleet.counter());
      fleet.restart(counter, false);
      fleet.run(rate, without);
      fleet.configure(counter);
      fleet.run(rate, seconds(6));
      CHECK(fleet.mostInWindow() <= allowed(quota));
    }
  }
}

// Guards against refusals because of a counter that can't count yet.
TEST_CASE("counter restarts below the limit and has no configuration yet, "
          "hardly anything is refused") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.9;
    fleet.run(rate, seconds(6));
    auto counter = fleet.indexOf(fleet.counter());
    fleet.restart(counter, false);
    fleet.run(rate, milliseconds(500));
    fleet.configure(counter);
    fleet.run(rate, seconds(50));
    CAPTURE(fleet.Refused);
    CHECK(fleet.Refused * 200 <= fleet.Asked);
  }
}

// Guards against a fleet that has restarted and waits long for counters that
// had no configuration when they were first asked.
TEST_CASE("all daemons restart and get their configurations one by one, "
          "operations go on") {
  Fleet fleet(75, Large);
  auto rate = Large.RatePerSecond * 0.6;
  fleet.run(rate, seconds(5));
  for (std::size_t n = 0; n < fleet.Members.size(); ++n)
    fleet.restart(n, false);
  for (std::size_t n = 0; n < fleet.Members.size(); ++n) {
    fleet.configure(n);
    fleet.run(rate, milliseconds(7));
  }
  fleet.run(rate, milliseconds(500));
  fleet.Ran.clear();
  fleet.run(rate, seconds(2));
  CHECK(static_cast<double>(fleet.Ran.size()) >= rate * 2 * 0.9);
}

// Guards against a configuration that reaches the counters last.
TEST_CASE("account added, its counters have an older configuration, the limit "
          "is kept") {
  Fleet fleet(75, Large);
  auto added = fleet.Table;
  CounterPlan plan;
  plan.setMembers(fleet.Members);
  auto counters = plan.countersOf(fleet.Name);
  for (auto &it : fleet.Daemons)
    it->apply(AccountTable(), Tolerance, 1);
  fleet.run(0, seconds(2));
  for (std::size_t n = 0; n < fleet.Members.size(); ++n)
    if (n != fleet.indexOf(counters[0].InnerAddress) &&
        n != fleet.indexOf(counters[1].InnerAddress))
      fleet.Daemons[n]->apply(added, Tolerance, 2);
  fleet.run(Large.RatePerSecond * 5, seconds(2));
  for (auto &it : fleet.Daemons)
    it->apply(added, Tolerance, 2);
  fleet.run(Large.RatePerSecond * 5, seconds(6));
  CHECK(fleet.mostInWindow() <= allowed(Large));
}

// Guards against operations that daemons may run uncounted after each start,
// where the account has just used up its limit.
TEST_CASE("all daemons that don't count restart at the limit, the limit is "
          "kept") {
  for (auto quota : {Large, AccountQuota{400, 400}}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 6;
    fleet.run(rate, milliseconds(4'700));
    for (std::size_t n = 0; n < fleet.Members.size(); ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n);
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against shares that processes and their predecessors use at once.
TEST_CASE("all daemons restart with the settings of the fleet's first start, "
          "the limit is kept") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 6;
    auto counter = fleet.counter();
    fleet.Down.insert(counter);
    fleet.run(rate, seconds(6));
    fleet.Down.clear();
    for (std::size_t n = 0; n < fleet.Members.size(); ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n, true, true);
    fleet.run(rate, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against operations that a process runs unasked after each start and
// reports to nobody before it ends.
TEST_CASE("daemons end soon after each start at the limit, the limit is kept") {
  AccountQuota quota{400, 400};
  Fleet fleet(30, quota);
  auto rate = quota.RatePerSecond * 6;
  fleet.run(rate, seconds(5));
  for (int round = 0; round < 25; ++round) {
    for (std::size_t n = 0; n < 12; ++n)
      if (!fleet.isCounting(n))
        fleet.restart(n);
    fleet.run(rate, milliseconds(200));
  }
  CHECK(fleet.mostInWindow() <= allowed(quota));
}

// Guards against the part of the burst that daemons may run uncounted, where
// others have just used it up.
TEST_CASE("few daemons use up the limit, then all run at once, the limit is "
          "kept") {
  for (auto quota : {Large, AccountQuota{400, 400}}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    fleet.Callers = 3;
    fleet.run(quota.RatePerSecond * 6, milliseconds(4'800));
    fleet.Callers = fleet.Daemons.size();
    fleet.run(quota.RatePerSecond * 20, seconds(6));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against two limits for callers that alternate between two counters.
TEST_CASE("counters lose answers in turn, the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    CounterPlan plan;
    plan.setMembers(fleet.Members);
    auto counters = plan.countersOf(fleet.Name);
    auto rate = quota.RatePerSecond * 5;
    for (int n = 0; n < 12; ++n) {
      auto silent = counters.at(n % 2).InnerAddress;
      fleet.Cut = [silent](const std::string &from, const std::string &) {
        return from == silent;
      };
      fleet.run(rate, milliseconds(1'300));
    }
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

TEST_CASE("limit lowered during a network partition, it binds") {
  constexpr AccountQuota Lowered{20, 20};
  Fleet fleet(75, Large);
  fleet.run(100, seconds(5));
  fleet.Cut = between(fleet, 37);
  fleet.run(100, seconds(3));
  fleet.apply(Lowered);
  fleet.run(100, seconds(1));
  fleet.Ran.clear();
  fleet.run(100, seconds(10));
  CHECK(fleet.mostInWindow() <= allowed(Lowered));
}

// Guards against an unused limit that is spent both before a partition and by
// the counters after it.
TEST_CASE("idle account at twenty times its limit before a network partition, "
          "the limit is kept") {
  for (auto quota : {Large, Small}) {
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 20;
    fleet.run(rate, seconds(1));
    fleet.Cut = between(fleet, 37);
    fleet.run(rate, seconds(2));
    separateMembers(fleet, 37);
    fleet.run(rate, seconds(10));
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}

// Guards against refusals while a counter restarts: half of the daemons
// delegate to the other one.
TEST_CASE("counter restarts below the limit, hardly anything is refused") {
  for (auto quota : {Large, Small}) {
    CAPTURE(quota.RatePerSecond);
    Fleet fleet(75, quota);
    auto rate = quota.RatePerSecond * 0.9;
    fleet.run(rate, seconds(6));
    fleet.Down.insert(fleet.counter());
    fleet.run(rate, seconds(1));
    fleet.restart(fleet.indexOf(fleet.counter()));
    fleet.Down.clear();
    fleet.run(rate, seconds(50));
    CAPTURE(fleet.Refused);
    CHECK(fleet.Refused * 200 <= fleet.Asked);
  }
}

// Guards against sequences of failures that nobody has thought of.
TEST_CASE("300 daemons, random failures, the limit is kept") {
  for (std::uint32_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    auto quota = seed % 2 == 0 ? Small : AccountQuota{400, 300};
    Fleet fleet(300, quota);
    std::mt19937 random(seed);
    auto anyOf = [&](std::size_t n) { return random() % n; };
    for (int step = 0; step < 20; ++step) {
      switch (anyOf(5)) {
      case 0:
        fleet.Cut = between(fleet, 1 + anyOf(298), anyOf(2) == 0);
        break;
      case 1:
        fleet.Cut = [&](const std::string &, const std::string &) {
          return anyOf(10) == 0;
        };
        break;
      case 2:
        separateMembers(fleet, 1 + anyOf(298));
        break;
      case 3:
        joinMembers(fleet);
        break;
      default:
        for (int n = 0; n < 20; ++n) {
          auto restarted = anyOf(300);
          fleet.restart(restarted, n % 2 == 0);
        }
      }
      if (anyOf(2) == 0)
        while (!fleet.Unconfigured.empty())
          fleet.configure(*fleet.Unconfigured.begin());
      fleet.run(quota.RatePerSecond * static_cast<double>(1 + anyOf(9)) / 2,
                milliseconds(200 + anyOf(1'800)));
    }
    CHECK(fleet.mostInWindow() <= allowed(quota));
  }
}
