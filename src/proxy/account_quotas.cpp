#include "proxy/account_quotas.h"

#include "http/status.h"
#include "telemetry/events.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

milliseconds refusalTime(Duration untilNext) {
  return std::clamp(std::chrono::ceil<milliseconds>(untilNext),
                    limits::MinRefusal, limits::MaxRefusal);
}

/// \return one daemon's part of a limit, at least one operation to begin with.
QuotaBucket shareOf(const AccountQuota &quota, const QuotaTolerance &tolerance,
                    std::size_t daemons, TimePoint now) {
  auto n = static_cast<double>(std::max<std::size_t>(daemons, 1));
  AccountQuota share{quota.RatePerSecond / n, quota.Burst / n};
  auto excess = std::max(toleratedExcess(quota, tolerance) / n, 1.0);
  return {share, excess, now};
}

bool mayCount(const Member &it) { return !it.Leaving && !it.ServesTarget; }

TargetEntry partEntry(std::size_t part) {
  TargetEntry out;
  out.Name = TargetName("accounts-" + std::to_string(part));
  return out;
}

} // namespace

bool CounterPlan::setMembers(const std::vector<Member> &live) {
  std::uint32_t widest = 0;
  Daemons = 0;
  for (const auto &it : live) {
    if (!mayCount(it))
      continue;
    widest = std::max(widest, it.LinkMbps);
    ++Daemons;
  }
  std::vector<Member> wide;
  std::copy_if(
      live.begin(), live.end(), std::back_inserter(wide),
      [&](const Member &it) { return mayCount(it) && it.LinkMbps == widest; });
  Ranks.setMembers(wide);
  auto before = std::exchange(Counters, {});
  auto parts =
      (Daemons + limits::DaemonsPerCounter - 1) / limits::DaemonsPerCounter;
  for (std::size_t n = 0; n < parts; ++n) {
    auto &counters = Counters.emplace_back();
    for (const auto &vm : Ranks.first(partEntry(n), limits::CountersPerAccount))
      counters.push_back(
          *std::find_if(wide.begin(), wide.end(),
                        [&](const Member &it) { return it.Vm == vm; }));
  }
  return Counters != before;
}

std::vector<Member> CounterPlan::countersOf(const AccountName &account) const {
  if (Counters.empty())
    return {};
  // All daemons must agree, so std::hash won't do.
  auto digest = digestOf(account.Value);
  std::size_t part = 0;
  constexpr std::size_t ByteValues = 256;
  for (auto it : digest.Bytes)
    part = (part * ByteValues + it) % Counters.size();
  return Counters[part];
}

void QuotaCounter::apply(const AccountTable &accounts,
                         const QuotaTolerance &tolerance) {
  auto now = Time.now();
  std::map<AccountName, Count> next;
  for (const auto &it : accounts.accounts()) {
    if (!it.Quota)
      continue;
    auto excess = toleratedExcess(*it.Quota, tolerance) * GrantedExcess;
    auto known = Counts.find(it.Name);
    if (known == Counts.end()) {
      next.emplace(it.Name, Count{{*it.Quota, excess, now}});
      continue;
    }
    known->second.Bucket.update(*it.Quota, excess, now);
    next.insert(Counts.extract(known));
  }
  Counts = std::move(next);
}

void QuotaCounter::assign(const AccountName &account, bool counts) {
  auto it = Counts.find(account);
  if (it == Counts.end())
    return;
  if (counts && !it->second.Current)
    it->second.Bucket.clear(Time.now());
  it->second.Current = counts;
}

messages::AccountGrant QuotaCounter::handle(const messages::AccountUse &use) {
  auto it = Counts.find(use.Account);
  if (it == Counts.end())
    return {use.Asked, QuotaMode::Report, {}};
  auto now = Time.now();
  auto &[bucket, current] = it->second;
  if (!current)
    bucket.clear(now);
  current = true;
  bucket.spend(use.Run, now);
  messages::AccountGrant out;
  out.Granted = bucket.take(use.Asked, now);
  out.Mode = bucket.mode(now);
  out.Wait = bucket.untilNext(now);
  return out;
}

AccountQuotas::AccountQuotas(CallPort &calls, VmName self, const Clock &clock)
    : Calls(calls), Self(std::move(self)), Time(clock), Counter(clock) {}

void AccountQuotas::apply(const AccountTable &accounts,
                          const QuotaTolerance &tolerance) {
  Tolerance = tolerance;
  Counter.apply(accounts, tolerance);
  std::map<AccountName, Account> next;
  for (const auto &it : accounts.accounts()) {
    if (!it.Quota)
      continue;
    auto known = Accounts.find(it.Name);
    if (known == Accounts.end()) {
      next[it.Name].Quota = *it.Quota;
      continue;
    }
    if (known->second.Quota != *it.Quota) {
      known->second.Quota = *it.Quota;
      known->second.Share.reset();
      known->second.ModeUntil = Time.now();
    }
    next.insert(Accounts.extract(known));
  }
  auto removed = std::exchange(Accounts, std::move(next));
  Plan.setMembers(Live);
  assignCounters();
  for (const auto &[name, it] : removed)
    for (const auto &done : it.Asking)
      done({});
}

void AccountQuotas::updateMembers(const std::vector<Member> &live) {
  Live = live;
  // Members change often while a fleet starts, and there may be no accounts.
  if (Accounts.empty())
    return;
  // Most changes touch no counter; there may be many accounts.
  if (Plan.setMembers(Live))
    assignCounters();
}

void AccountQuotas::assignCounters() {
  std::map<VmName, Link> next;
  std::vector<AccountName> due;
  for (auto &[name, it] : Accounts) {
    it.Counters.clear();
    for (const auto &counter : Plan.countersOf(name)) {
      it.Counters.push_back(counter.Vm);
      if (counter.Vm == Self || next.contains(counter.Vm))
        continue;
      auto known = Links.find(counter.Vm);
      auto &link = next[counter.Vm];
      if (known != Links.end())
        link = std::move(known->second);
      link.Address = counter.InnerAddress;
    }
    Counter.assign(name, !it.Counters.empty() && it.Counters[0] == Self);
    if (it.Unreported > 0 || !it.Asking.empty())
      due.push_back(name);
  }
  Links = std::move(next);
  for (const auto &name : due)
    reportAgain(name);
}

VmName AccountQuotas::counterFor(const Account &account) const {
  auto now = Time.now();
  for (const auto &vm : account.Counters) {
    auto link = Links.find(vm);
    if (vm == Self || (link != Links.end() && now >= link->second.FailedUntil))
      return vm;
  }
  return {};
}

QuotaMode AccountQuotas::modeOf(const Account &account) const {
  return Time.now() < account.ModeUntil
             ? account.Mode
             : initialMode(account.Quota, Tolerance, Plan.daemons());
}

QuotaDecision AccountQuotas::decideHere(Account &account) {
  auto now = Time.now();
  if (!account.Share)
    account.Share = shareOf(account.Quota, Tolerance, Plan.daemons(), now);
  if (account.Share->take(1, now) == 1)
    return {};
  return {false, refusalTime(account.Share->untilNext(now))};
}

std::optional<QuotaDecision> AccountQuotas::admit(const AccountName &account,
                                                  OnQuotaDecision done) {
  auto found = Accounts.find(account);
  if (found == Accounts.end())
    return QuotaDecision{};
  auto &it = found->second;
  auto now = Time.now();
  if (now < it.RefusedUntil)
    return QuotaDecision{
        false, std::chrono::ceil<milliseconds>(it.RefusedUntil - now)};
  auto counter = counterFor(it);
  if (counter.empty())
    return decideHere(it);
  if (counter == Self) {
    auto grant = Counter.handle({account, 0, 1});
    return grant.Granted == 1 ? QuotaDecision{}
                              : QuotaDecision{false, refusalTime(grant.Wait)};
  }
  auto &link = Links.at(counter);
  auto mode = modeOf(it);
  if (link.Due.empty())
    link.NextReport = now + limits::ReportDelay;
  link.Due.insert(account);
  if (mode == QuotaMode::Ask)
    it.Asking.push_back(std::move(done));
  else
    ++it.Unreported;
  if (mode != QuotaMode::Report && !link.Reporting)
    report(counter, link);
  return mode == QuotaMode::Ask ? std::nullopt : std::optional(QuotaDecision{});
}

void AccountQuotas::tick() {
  auto now = Time.now();
  for (auto &[vm, link] : Links)
    if (!link.Reporting && !link.Due.empty() && now >= link.NextReport)
      report(vm, link);
}

void AccountQuotas::report(const VmName &vm, Link &link) {
  SentReport sent;
  messages::UseReport message;
  for (const auto &name : std::exchange(link.Due, {})) {
    auto found = Accounts.find(name);
    if (found == Accounts.end())
      continue;
    auto &it = found->second;
    sent.Accounts.push_back(name);
    sent.Run.push_back(std::exchange(it.Unreported, 0));
    sent.Asking.push_back(std::exchange(it.Asking, {}));
    message.Uses.push_back(
        {name, sent.Run.back(),
         static_cast<std::uint32_t>(sent.Asking.back().size())});
  }
  if (message.Uses.empty())
    return;
  link.Reporting = true;
  Calls.call(
      link.Address, messages::UseReportPath, messages::encode(message),
      http::totalTimeout(limits::ReportTimeout),
      [this, vm, sent = std::move(sent)](const http::CallResult &result) {
        handleAnswer(vm, sent, result);
      });
}

void AccountQuotas::handleAnswer(const VmName &vm, const SentReport &sent,
                                 const http::CallResult &result) {
  bool answered = result && result.value().Status == http::StatusOk;
  auto answer = answered ? messages::decodeUseAnswer(result.value().Body)
                         : Result<messages::UseAnswer>(Error{});
  bool valid = answer && answer.value().Grants.size() == sent.Accounts.size();
  auto link = Links.find(vm);
  if (link != Links.end()) {
    link->second.Reporting = false;
    if (!valid)
      link->second.FailedUntil = Time.now() + limits::CounterPause;
  }
  if (!valid) {
    telemetry::log(Event::CounterSilent, {field("vm", vm.Value)});
    handleNoAnswer(sent);
    return;
  }
  for (std::size_t n = 0; n < sent.Accounts.size(); ++n)
    handleGrant(sent.Accounts[n], answer.value().Grants[n], sent.Asking[n]);
  // Operations may have asked while the report was under way.
  link = Links.find(vm);
  if (link == Links.end() || link->second.Reporting)
    return;
  bool asking =
      std::any_of(link->second.Due.begin(), link->second.Due.end(),
                  [this](const AccountName &name) {
                    auto it = Accounts.find(name);
                    return it != Accounts.end() && !it->second.Asking.empty();
                  });
  if (asking)
    report(vm, link->second);
}

void AccountQuotas::handleGrant(const AccountName &name,
                                const messages::AccountGrant &grant,
                                const std::vector<OnQuotaDecision> &asking) {
  auto now = Time.now();
  auto wait = refusalTime(grant.Wait);
  if (auto it = Accounts.find(name); it != Accounts.end()) {
    it->second.Share.reset();
    it->second.Mode = grant.Mode;
    it->second.ModeUntil = now + limits::ModeAge;
    if (grant.Granted < asking.size())
      it->second.RefusedUntil = now + wait;
  }
  for (std::size_t n = 0; n < asking.size(); ++n)
    asking[n](n < grant.Granted ? QuotaDecision{} : QuotaDecision{false, wait});
}

/// Whether the counter has counted the report is unknown. It is sent again: an
/// account that is counted twice gets less for a moment, never more.
void AccountQuotas::handleNoAnswer(const SentReport &sent) {
  for (std::size_t n = 0; n < sent.Accounts.size(); ++n) {
    auto found = Accounts.find(sent.Accounts[n]);
    if (found == Accounts.end()) {
      for (const auto &done : sent.Asking[n])
        done({});
      continue;
    }
    auto &it = found->second;
    it.Unreported += sent.Run[n];
    it.Asking.insert(it.Asking.end(), sent.Asking[n].begin(),
                     sent.Asking[n].end());
    reportAgain(sent.Accounts[n]);
  }
}

void AccountQuotas::reportAgain(const AccountName &name) {
  auto &it = Accounts.at(name);
  auto counter = counterFor(it);
  if (!counter.empty() && counter != Self) {
    auto &link = Links.at(counter);
    link.Due.insert(name);
    if (!it.Asking.empty() && !link.Reporting)
      report(counter, link);
    return;
  }
  auto asking = std::exchange(it.Asking, {});
  if (counter == Self) {
    auto grant = Counter.handle({name, std::exchange(it.Unreported, 0),
                                 static_cast<std::uint32_t>(asking.size())});
    handleGrant(name, grant, asking);
    return;
  }
  // A callback may begin another operation, and the accounts may change.
  std::vector<QuotaDecision> decisions;
  for (std::size_t n = 0; n < asking.size(); ++n)
    decisions.push_back(decideHere(it));
  for (std::size_t n = 0; n < asking.size(); ++n)
    asking[n](decisions[n]);
}

bool AccountQuotas::handle(const http::Request &request,
                           const http::Respond &respond) {
  if (request.Path != messages::UseReportPath)
    return false;
  auto message = messages::decodeUseReport(request.Body);
  if (!message) {
    respond({http::StatusBadRequest, {}, message.error().Message});
    return true;
  }
  messages::UseAnswer answer;
  for (const auto &it : message.value().Uses)
    answer.Grants.push_back(Counter.handle(it));
  respond({http::StatusOk, {}, messages::encode(answer)});
  return true;
}

} // namespace peridotfall::proxy
