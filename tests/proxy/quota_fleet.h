/// \file
/// A fleet of daemons that limit one account, in virtual time.

#ifndef PERIDOTFALL_TESTS_PROXY_QUOTA_FLEET_H
#define PERIDOTFALL_TESTS_PROXY_QUOTA_FLEET_H

#include "members.h"
#include "proxy/account_quotas.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

using std::chrono::seconds;

inline constexpr QuotaTolerance Tolerance{milliseconds(5'000), 0.1, 20};

/// Daemons with links of 8 ms each way, in virtual time.
struct Fleet {
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
  /// \return the daemons that may count the account, the one that does first.
  std::vector<Member> counters() const {
    CounterPlan plan;
    plan.setMembers(Members);
    return plan.countersOf(Name);
  }
  /// \return whether the daemon may count the account.
  bool isCounting(std::size_t n) const {
    auto all = counters();
    return std::any_of(all.begin(), all.end(), [&](const Member &it) {
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
  std::string counter() const { return counters().at(0).InnerAddress; }
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

inline std::size_t allowed(AccountQuota quota) {
  auto limit = quota.RatePerSecond * 5 + quota.Burst;
  return static_cast<std::size_t>(limit + toleratedExcess(quota, Tolerance));
}

inline constexpr AccountQuota Large{119, 119};
inline constexpr AccountQuota Small{8, 8};

/// Loses the messages between the first \p n members and the others.
inline std::function<bool(const std::string &, const std::string &)>
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
inline void separateMembers(Fleet &fleet, std::size_t n) {
  auto cut = fleet.Members.begin() + static_cast<std::ptrdiff_t>(n);
  for (std::size_t i = 0; i < fleet.Members.size(); ++i)
    fleet.Daemons[i]->updateMembers(
        i < n ? std::vector<Member>(fleet.Members.begin(), cut)
              : std::vector<Member>(cut, fleet.Members.end()));
}

inline void joinMembers(Fleet &fleet) {
  fleet.Cut = {};
  for (auto &it : fleet.Daemons)
    it->updateMembers(fleet.Members);
}

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_TESTS_PROXY_QUOTA_FLEET_H
