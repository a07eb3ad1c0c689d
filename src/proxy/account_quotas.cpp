#include "proxy/account_quotas.h"

#include "http/status.h"
#include "membership/stable_hash.h"
#include "telemetry/events.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

milliseconds refusalTime(Duration untilNext) {
  return std::clamp(std::chrono::ceil<milliseconds>(untilNext),
                    limits::MinRefusal, limits::MaxRefusal);
}

bool mayCount(const Member &it) { return !it.Leaving && !it.ServesTarget; }

TargetEntry partEntry(std::size_t part) {
  TargetEntry out;
  out.Name = TargetName("accounts-" + std::to_string(part));
  return out;
}

} // namespace

bool CounterPlan::setMembers(const std::vector<Member> &members) {
  std::uint32_t widest = 0;
  Daemons = 0;
  for (const auto &it : members) {
    if (!mayCount(it))
      continue;
    widest = std::max(widest, it.LinkMbps);
    ++Daemons;
  }
  std::vector<Member> wide;
  std::copy_if(
      members.begin(), members.end(), std::back_inserter(wide),
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
  return countersOf(quota::partitionOf(account));
}

std::vector<Member> CounterPlan::countersOf(std::uint32_t partition) const {
  if (Counters.empty())
    return {};
  return Counters[partition % Counters.size()];
}

void QuotaCounter::apply(const AccountTable &accounts,
                         const QuotaTolerance &tolerance,
                         std::uint64_t version) {
  auto now = Time.now();
  Version = version;
  if (std::exchange(Window, tolerance.Window) != tolerance.Window)
    Counts.clear();
  std::map<AccountName, Count> next;
  for (const auto &it : accounts.accounts()) {
    if (!it.Quota)
      continue;
    auto excess =
        std::max(toleratedExcess(*it.Quota, tolerance) * GrantedExcess,
                 limits::MinGrantedExcess);
    auto known = Counts.find(it.Name);
    if (known == Counts.end()) {
      next.emplace(it.Name, Count{{*it.Quota, excess, Window, now},
                                  quota::partitionOf(it.Name)});
      continue;
    }
    known->second.Bucket.update(*it.Quota, excess);
    next.insert(Counts.extract(known));
  }
  Counts = std::move(next);
}

messages::AccountGrant QuotaCounter::handle(const messages::AccountUse &use,
                                            std::uint64_t version,
                                            double least) {
  auto it = Counts.find(use.Account);
  if (it == Counts.end()) {
    if (isConfigured() && version != 0 && Version >= version)
      return {use.Asked, QuotaMode::Report, {}};
    telemetry::log(Event::AccountUncounted,
                   {field("account", use.Account.Value),
                    field("version", Version), field("reported", use.Run),
                    field("asked", use.Asked)});
    messages::AccountGrant none{0, QuotaMode::Ask, limits::MaxRefusal};
    none.Uncounted = true;
    return none;
  }
  auto now = Time.now();
  auto &[bucket, partition, tally] = it->second;
  bucket.refill(Shares.shares(partition, bucket.filled(), now), least, now);
  bucket.spend(use.Run);
  messages::AccountGrant out;
  out.Granted = bucket.take(use.Asked);
  out.Mode = bucket.mode();
  out.Wait = bucket.untilNext();
  tally.Reported += use.Run;
  tally.Granted += out.Granted;
  tally.Refused += use.Asked - out.Granted;
  return out;
}

void QuotaCounter::logUse() {
  auto now = Time.now();
  for (auto &[name, it] : Counts) {
    auto tally = std::exchange(it.Tally, {});
    if (tally.Refused == 0)
      continue;
    auto held = Shares.shares(it.Partition, now, now);
    telemetry::log(Event::AccountCounted,
                   {field("account", name.Value), field("version", Version),
                    field("reported", tally.Reported),
                    field("granted", tally.Granted),
                    field("refused", tally.Refused),
                    field("share", fmt::format("{:.4f}", held.Now)),
                    field("daemons", Shares.daemons(it.Partition)),
                    field("level", fmt::format("{:.1f}", it.Bucket.level()))});
  }
}

AccountQuotas::AccountQuotas(CallPort &calls, VmName self, const Clock &clock,
                             QuotaProcess process)
    : Calls(calls), Self(std::move(self)), Time(clock),
      ReturnAfter(limits::SettledTime +
                  limits::ReturnTime * (stableHash(Self.Value, {}) % 1'024) /
                      1'024),
      Process(process),
      Own(Self, process.FleetStarts
                    ? clock.now()
                    : clock.now() + quota::limits::DelegationTime),
      Delegated(process.Incarnation), Counter(Delegated, clock) {}

void AccountQuotas::apply(const AccountTable &accounts,
                          const QuotaTolerance &tolerance,
                          std::uint64_t version) {
  Tolerance = tolerance;
  Version = version;
  Counter.apply(accounts, tolerance, version);
  std::map<AccountName, Account> next;
  for (const auto &it : accounts.accounts()) {
    if (!it.Quota)
      continue;
    auto known = Accounts.find(it.Name);
    if (known == Accounts.end()) {
      auto &added = next[it.Name];
      added.Quota = *it.Quota;
      added.Partition = quota::partitionOf(it.Name);
      continue;
    }
    if (known->second.Quota != *it.Quota) {
      known->second.Quota = *it.Quota;
      known->second.MayExceed.reset();
      known->second.ModeUntil = Time.now();
    }
    next.insert(Accounts.extract(known));
  }
  auto removed = std::exchange(Accounts, std::move(next));
  Plan.setMembers(Members);
  assignCounters();
  for (const auto &[name, it] : removed)
    for (const auto &done : it.Asking)
      done({});
}

void AccountQuotas::updateMembers(const std::vector<Member> &live) {
  LiveNames.clear();
  for (const auto &it : live)
    LiveNames.insert(it.Vm);
  if (Registered.empty())
    updatePlan(live);
}

void AccountQuotas::updateRegistered(const std::vector<Member> &known) {
  // Suspicions, which come and go in a network partition, change nothing here.
  if (!Registered.empty() && known == Members)
    return;
  Registered.clear();
  for (const auto &it : known)
    if (!it.ServesTarget)
      Registered.push_back(it.Vm);
  Delegated.setDaemons(static_cast<std::uint32_t>(Registered.size()));
  for (auto &[name, it] : Accounts)
    it.MayExceed.reset();
  updatePlan(known);
}

void AccountQuotas::updatePlan(const std::vector<Member> &members) {
  Members = members;
  // Members change often while a fleet starts, and there may be no accounts.
  if (Accounts.empty())
    return;
  // Most changes touch no counter; there may be many accounts.
  if (Plan.setMembers(Members))
    assignCounters();
}

void AccountQuotas::setIncarnation(std::uint64_t incarnation) {
  Process.Incarnation = incarnation;
  Delegated.setIncarnation(incarnation);
}

void AccountQuotas::assignCounters() {
  std::map<VmName, Link> next;
  Candidates.clear();
  std::vector<AccountName> due;
  for (auto &[name, it] : Accounts) {
    it.Refused.clear();
    if (it.Unreported > 0 || !it.Asking.empty())
      due.push_back(name);
    auto [found, isNew] = Candidates.try_emplace(it.Partition);
    if (!isNew)
      continue;
    auto &candidates = found->second;
    for (const auto &counter : Plan.countersOf(it.Partition)) {
      candidates.push_back(counter.Vm);
      if (counter.Vm == Self || next.contains(counter.Vm))
        continue;
      auto known = Links.find(counter.Vm);
      auto &link = next[counter.Vm];
      if (known != Links.end())
        link = std::move(known->second);
      link.Address = counter.InnerAddress;
    }
    auto hash = stableHash(Self.Value, std::to_string(it.Partition));
    if (candidates.size() > 1 &&
        (candidates[1] == Self || (candidates[0] != Self && hash % 2 == 1)))
      std::swap(candidates[0], candidates[1]);
  }
  // A counter that is no longer one is still sent the release of its shares.
  for (auto &[vm, link] : Links)
    if (!next.contains(vm) && Own.isDelegated(vm, Time.now()))
      next.emplace(vm, std::move(link)).first->second.Due.clear();
  Links = std::move(next);
  for (const auto &name : due)
    reportAgain(name);
}

bool AccountQuotas::isUsable(const VmName &counter) const {
  auto link = Links.find(counter);
  return counter == Self || (link != Links.end() && !isSuspected(counter) &&
                             Time.now() >= link->second.FailedUntil);
}

bool AccountQuotas::isSuspected(const VmName &counter) const {
  return !LiveNames.empty() && !LiveNames.contains(counter);
}

bool AccountQuotas::isRefused(const Account &account,
                              const VmName &counter) const {
  auto it = account.Refused.find(counter);
  return it != account.Refused.end() && Time.now() < it->second;
}

VmName AccountQuotas::counterFor(const Account &account) const {
  auto found = Candidates.find(account.Partition);
  if (found == Candidates.end())
    return {};
  auto preferred = delegateTo(account.Partition);
  std::vector<const VmName *> order{&preferred};
  for (const auto &vm : found->second)
    if (vm != preferred)
      order.push_back(&vm);
  const VmName *refusing = nullptr;
  std::size_t asked = 0;
  for (const auto *vm : order) {
    if (!isUsable(*vm))
      continue;
    if (!isRefused(account, *vm))
      return *vm;
    if (!refusing)
      refusing = vm;
    if (++asked == limits::CountersAsked)
      break;
  }
  return refusing ? *refusing : VmName();
}

VmName AccountQuotas::delegateTo(std::uint32_t partition) const {
  auto now = Time.now();
  const auto &candidates = Candidates.at(partition);
  auto holder = Own.holder(partition, now);
  for (const auto &vm : candidates) {
    // A single lost answer must not end the delegation.
    if (vm == holder)
      return vm;
    auto link = Links.find(vm);
    if (vm == Self || (link != Links.end() && !isSuspected(vm) &&
                       (link->second.FailedUntil == TimePoint{} ||
                        now >= link->second.FailedUntil + ReturnAfter)))
      return vm;
  }
  for (const auto &vm : candidates)
    if (isUsable(vm))
      return vm;
  return {};
}

std::vector<std::uint32_t>
AccountQuotas::partitionsFor(const VmName &counter) const {
  std::vector<std::uint32_t> out;
  for (const auto &[partition, candidates] : Candidates)
    if (delegateTo(partition) == counter)
      out.push_back(partition);
  return out;
}

void AccountQuotas::useHere(std::uint32_t partition) {
  auto now = Time.now();
  if (!Registered.empty() && Own.useHere(partition, now))
    Delegated.holdOwn(Self, partition, now);
}

bool AccountQuotas::isRenewalDue(const VmName &counter,
                                 const Link &link) const {
  auto now = Time.now();
  if (Registered.empty() || now < link.NextRenewal)
    return false;
  if (!Own.isUsable(now))
    return !Released.contains(counter);
  if (Own.isDelegated(counter, now))
    return true;
  return isUsable(counter) && !partitionsFor(counter).empty();
}

bool AccountQuotas::addDelegations(const VmName &counter, Link &link,
                                   messages::UseReport &message) {
  if (Registered.empty())
    return false;
  auto now = Time.now();
  auto wanted = partitionsFor(counter);
  auto &it = message.Delegated.emplace();
  it.Vm = Self;
  it.Incarnation = Process.Incarnation;
  it.Daemons = static_cast<std::uint32_t>(Registered.size());
  it.LastChallenge = Own.lastChallenge(counter);
  if (Own.isUsable(now)) {
    it.Released = Own.releasable(counter, wanted, now);
  } else {
    it.Released.resize(quota::limits::Partitions);
    std::iota(it.Released.begin(), it.Released.end(), 0U);
  }
  it.Partitions = Own.delegate(counter, wanted, now);
  // What is delegated from now on is no longer used here.
  for (auto n : it.Partitions)
    Delegated.drop(Self, n);
  link.NextRenewal =
      now + (it.Partitions.size() == wanted.size() ? limits::RenewalPause
                                                   : limits::DelegationRetry);
  return !wanted.empty() || !it.Released.empty();
}

/// All daemons must agree on the few that may run an operation more, so that
/// these operations are bounded in total.
bool AccountQuotas::mayExceed(const AccountName &name, Account &account) const {
  if (!account.MayExceed) {
    auto most = toleratedExcess(account.Quota, Tolerance) *
                limits::ExcessWithoutCounter;
    auto own = stableHash(Self.Value, name.Value);
    auto before = std::count_if(
        Registered.begin(), Registered.end(), [&](const VmName &vm) {
          return vm != Self && stableHash(vm.Value, name.Value) <= own;
        });
    account.MayExceed =
        !Registered.empty() && static_cast<double>(before + 1) <= most;
  }
  return *account.MayExceed;
}

QuotaMode AccountQuotas::modeOf(const Account &account) const {
  // Registered daemons that are suspected here may be running operations.
  auto daemons = std::max(Plan.daemons(), Registered.size());
  if (account.Unreported + account.Sent >=
      unreportedLimit(account.Quota, Tolerance, daemons))
    return QuotaMode::Ask;
  return Time.now() < account.ModeUntil
             ? account.Mode
             : initialMode(account.Quota, Tolerance, daemons);
}

QuotaDecision AccountQuotas::decideHere(const AccountName &name,
                                        Account &account) {
  useHere(account.Partition);
  auto least = mayExceed(name, account) ? 1.0 : 0.0;
  auto grant = Counter.handle({name, 0, 1}, Version, least);
  ++(grant.Granted == 1 ? account.Tally.Granted : account.Tally.Refused);
  if (grant.Granted == 1)
    return {};
  return {false, refusalTime(grant.Wait)};
}

bool AccountQuotas::refuse(Account &account, const VmName &counter,
                           milliseconds wait) {
  account.Refused[counter] = Time.now() + wait;
  auto next = counterFor(account);
  if (!next.empty() && !isRefused(account, next))
    return true;
  account.RefusedUntil = account.Refused[counter];
  for (const auto &[vm, until] : account.Refused)
    if (isUsable(vm))
      account.RefusedUntil = std::min(account.RefusedUntil, until);
  return false;
}

std::optional<QuotaDecision> AccountQuotas::admit(const AccountName &account,
                                                  OnQuotaDecision done) {
  auto found = Accounts.find(account);
  if (found == Accounts.end())
    return QuotaDecision{};
  auto &it = found->second;
  auto now = Time.now();
  if (now < it.RefusedUntil) {
    ++it.Tally.Refused;
    return QuotaDecision{
        false, std::chrono::ceil<milliseconds>(it.RefusedUntil - now)};
  }
  auto counter = counterFor(it);
  if (counter.empty())
    return decideHere(account, it);
  auto mode = modeOf(it);
  if (counter == Self) {
    useHere(it.Partition);
    auto grant = Counter.handle({account, 0, 1}, Version);
    if (grant.Granted == 1) {
      ++it.Tally.Granted;
      return QuotaDecision{};
    }
    auto wait = refusalTime(grant.Wait);
    if (!refuse(it, Self, wait)) {
      ++it.Tally.Refused;
      return QuotaDecision{false, wait};
    }
    counter = counterFor(it);
    mode = QuotaMode::Ask;
  }
  auto &link = Links.at(counter);
  if (link.Due.empty())
    link.NextReport = now + limits::ReportDelay;
  link.Due.insert(account);
  if (mode == QuotaMode::Ask) {
    it.Asking.push_back(std::move(done));
  } else {
    ++it.Unreported;
    ++it.Tally.Unasked;
  }
  if (mode != QuotaMode::Report && !link.Reporting)
    report(counter, link);
  return mode == QuotaMode::Ask ? std::nullopt : std::optional(QuotaDecision{});
}

void AccountQuotas::logUse() {
  for (auto &[name, it] : Accounts) {
    auto tally = std::exchange(it.Tally, {});
    if (tally.Refused == 0)
      continue;
    telemetry::log(
        Event::AccountUsed,
        {field("account", name.Value), field("version", Version),
         field("rate", it.Quota.RatePerSecond), field("burst", it.Quota.Burst),
         field("counter", counterFor(it).Value),
         field("mode", static_cast<int>(modeOf(it))),
         field("unasked", tally.Unasked), field("granted", tally.Granted),
         field("refused", tally.Refused),
         field("unreported", it.Unreported + it.Sent),
         field("daemons", Registered.size())});
  }
}

void AccountQuotas::tick() {
  auto now = Time.now();
  if (now >= NextUseLine) {
    NextUseLine = now + limits::UseLineInterval;
    Counter.logUse();
    logUse();
  }
  for (const auto &[partition, candidates] : Candidates)
    if (auto vm = delegateTo(partition); vm.empty() || vm == Self)
      useHere(partition);
  for (auto &[vm, link] : Links) {
    if (link.Reporting)
      continue;
    bool isDue = !link.Due.empty() && now >= link.NextReport;
    if (isDue || isRenewalDue(vm, link))
      report(vm, link);
    else if (now >= link.NextRenewal)
      // Comparing all partitions with all counters each time is expensive.
      link.NextRenewal = now + limits::DelegationRetry;
  }
}

void AccountQuotas::report(const VmName &vm, Link &link) {
  SentReport sent;
  messages::UseReport message;
  message.Version = Version;
  for (const auto &name : std::exchange(link.Due, {})) {
    auto found = Accounts.find(name);
    if (found == Accounts.end())
      continue;
    auto &it = found->second;
    const auto &use = sent.Uses.emplace_back(SentUse{
        name, std::exchange(it.Unreported, 0), std::exchange(it.Asking, {})});
    it.Sent += use.Run;
    message.Uses.push_back(
        {name, use.Run, static_cast<std::uint32_t>(use.Asking.size())});
  }
  sent.ReleasesAll = !Registered.empty() && !Own.isUsable(Time.now());
  if (!addDelegations(vm, link, message) && message.Uses.empty())
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
  bool valid = answer && answer.value().Grants.size() == sent.Uses.size();
  for (const auto &use : sent.Uses)
    if (auto it = Accounts.find(use.Account); it != Accounts.end())
      it->second.Sent -= std::min(it->second.Sent, use.Run);
  auto link = Links.find(vm);
  if (link != Links.end()) {
    link->second.Reporting = false;
    auto now = Time.now();
    if (!valid)
      link->second.FailedUntil = now + limits::CounterPause;
    else if (answer.value().Unconfigured)
      link->second.FailedUntil = now + limits::UnconfiguredPause;
    else
      link->second.FailedUntil = std::min(link->second.FailedUntil, now);
    // A daemon of an earlier version holds no shares.
    if (valid && !answer.value().Next)
      link->second.NextRenewal = now + limits::CounterPause;
  }
  if (!valid) {
    telemetry::log(Event::CounterSilent, {field("vm", vm.Value)});
    handleNoAnswer(sent);
    return;
  }
  Own.handleAnswer(vm, answer.value(), Time.now());
  if (sent.ReleasesAll && answer.value().Next)
    handleRelease(vm);
  for (std::size_t n = 0; n < sent.Uses.size(); ++n) {
    const auto &grant = answer.value().Grants[n];
    if (grant.Uncounted)
      handleUncounted(vm, sent.Uses[n]);
    else
      handleGrant(vm, sent.Uses[n].Account, grant, sent.Uses[n].Asking);
  }
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

void AccountQuotas::handleRelease(const VmName &counter) {
  Released.insert(counter);
  for (const auto &[partition, candidates] : Candidates)
    for (const auto &vm : candidates)
      if (vm != Self && !Released.contains(vm))
        return;
  auto now = Time.now();
  Own.setUsable(now);
  for (auto &[vm, link] : Links)
    link.NextRenewal = now;
}

void AccountQuotas::handleGrant(const VmName &counter, const AccountName &name,
                                const messages::AccountGrant &grant,
                                std::vector<OnQuotaDecision> asking) {
  auto wait = refusalTime(grant.Wait);
  auto granted = std::min<std::size_t>(grant.Granted, asking.size());
  auto decided = asking.size();
  if (auto it = Accounts.find(name); it != Accounts.end()) {
    it->second.Unanswered = 0;
    it->second.Mode = grant.Mode;
    it->second.ModeUntil = Time.now() + limits::ModeAge;
    if (granted < decided && refuse(it->second, counter, wait)) {
      // The other counter may have operations left.
      auto rest = asking.begin() + static_cast<std::ptrdiff_t>(granted);
      it->second.Asking.insert(it->second.Asking.end(), rest, asking.end());
      decided = granted;
      reportAgain(name);
    }
    it = Accounts.find(name);
    if (it != Accounts.end()) {
      it->second.Tally.Granted += static_cast<std::uint32_t>(granted);
      it->second.Tally.Refused += static_cast<std::uint32_t>(decided - granted);
    }
  }
  for (std::size_t n = 0; n < decided; ++n)
    asking[n](n < granted ? QuotaDecision{} : QuotaDecision{false, wait});
}

void AccountQuotas::handleUncounted(const VmName &counter, const SentUse &use) {
  auto it = Accounts.find(use.Account);
  if (it != Accounts.end())
    it->second.Refused[counter] = Time.now() + limits::MaxRefusal;
  restore(use);
}

/// Whether the counter has counted the report is unknown. It is sent again: an
/// account that is counted twice gets less for a moment, never more.
void AccountQuotas::handleNoAnswer(const SentReport &sent) {
  for (const auto &use : sent.Uses)
    restore(use);
}

void AccountQuotas::restore(const SentUse &use) {
  auto found = Accounts.find(use.Account);
  if (found == Accounts.end()) {
    for (const auto &done : use.Asking)
      done({});
    return;
  }
  auto &it = found->second;
  // In a network partition nothing may run unasked.
  it.Mode = QuotaMode::Ask;
  it.ModeUntil = Time.now() + limits::ModeAge;
  ++it.Unanswered;
  it.Unreported += use.Run;
  it.Asking.insert(it.Asking.end(), use.Asking.begin(), use.Asking.end());
  reportAgain(use.Account);
}

void AccountQuotas::reportAgain(const AccountName &name) {
  auto &it = Accounts.at(name);
  auto counter = counterFor(it);
  // Operations don't wait for more counters than two.
  bool decides = it.Unanswered >= limits::CountersAsked;
  if (!counter.empty() && counter != Self) {
    auto &link = Links.at(counter);
    link.Due.insert(name);
    if (!decides) {
      if (!it.Asking.empty() && !link.Reporting)
        report(counter, link);
      return;
    }
  }
  it.Unanswered = 0;
  auto asking = std::exchange(it.Asking, {});
  if (counter == Self) {
    auto grant = Counter.handle({name, std::exchange(it.Unreported, 0),
                                 static_cast<std::uint32_t>(asking.size())},
                                Version);
    handleGrant(Self, name, grant, std::move(asking));
    return;
  }
  // A callback may begin another operation, and the accounts may change.
  std::vector<QuotaDecision> decisions;
  for (std::size_t n = 0; n < asking.size(); ++n)
    decisions.push_back(decideHere(name, it));
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
  if (const auto &it = message.value().Delegated) {
    answer.Released = Delegated.handle(*it, Time.now());
    answer.Next = Delegated.issueChallenge(Time.now());
  }
  for (const auto &it : message.value().Uses)
    answer.Grants.push_back(Counter.handle(it, message.value().Version));
  answer.Unconfigured = !Counter.isConfigured();
  respond({http::StatusOk, {}, messages::encode(answer)});
  return true;
}

} // namespace peridotfall::proxy
