/// \file
/// A simulation of entry daemons, owners and targets in virtual time, for tests
/// and benchmarks of admission and placement under load. It uses the library's
/// Admission, Placement and RetryBudget; delays, targets, callers and the
/// baseline policy are modelled here.

#ifndef PERIDOTFALL_TESTS_ADMISSION_LOAD_MODEL_H
#define PERIDOTFALL_TESTS_ADMISSION_LOAD_MODEL_H

#include "peridotfall/admission.h"
#include "peridotfall/placement.h"
#include "peridotfall/retry_budget.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::model {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t FailureDomains = 3;     ///< Each has one target a group.
constexpr std::size_t Daemons = 9;            ///< Three in each failure domain.
constexpr Duration Service = milliseconds(4); ///< Of a short statement.
constexpr TimePoint Start{std::chrono::hours(1)};

/// Sizes of a deployment.
struct Deployment {
  std::string Name;
  std::uint32_t Slots = 2;
  std::uint32_t Connections = 16;
  Duration Connect{};
  Duration BetweenDomains{};
  Duration ToCaller{};
};

inline Deployment lendleht() {
  return {"lendleht",     2, 16, milliseconds(12), milliseconds(1),
          milliseconds(1)};
}

inline Deployment thaali() {
  return {"thaali",       3, 40, milliseconds(27), microseconds(1500),
          milliseconds(3)};
}

enum class Policy { Peridotfall, Baseline };

/// Demand of the callers and faults of the targets.
struct LoadPlan {
  std::string Name;
  Duration Length = seconds(20);
  double Base = 0.4; ///< Demand / capacity, both in short statements.
  double Raised = 0; ///< The same, from RaisedFrom to RaisedTo.
  Duration RaisedFrom{};
  Duration RaisedTo{};
  double HeavyCaller = 0; ///< Share of the demand from caller 0.
  double LongShare = 0;   ///< Share of statements, all reads, with 50x work.
  double SlowFactor = 1;  ///< Of one replica, SlowFrom to SlowTo.
  Duration SlowFrom{};
  Duration SlowTo{};
  Duration Lag = milliseconds(20);
  std::size_t Databases = 3;
  bool CallersAbandon = false; ///< Half leave after 100 ms.
  bool RefusedRetry = false; ///< Refused callers retry once, after RetryAfter.
};

enum class RequestClass { Record, Fresh, Stale };
constexpr std::size_t RequestClasses = 3;

/// One request of a caller and its result.
struct Call {
  std::size_t Database = 0;
  std::size_t Caller = 0;
  std::size_t Entry = 0;
  RequestClass Class = RequestClass::Stale;
  bool Long = false;
  Position NotBefore;
  Duration MaxAge{};
  Duration ServiceTime{}; ///< On a target that is not slow.
  TimePoint SentAt;
  TimePoint Deadline;
  // Result.
  bool Ran = false;
  bool Refused = false;
  Duration SlotTime{};
  TimePoint EndedAt;
  TimePoint StartedAt;
  Duration RetryAfter{};
  std::size_t Session = 0;
  bool FromReplica = false;
  int Attempts = 0;
  bool IsRetry = false; ///< Sent after a refusal.
  bool PrimaryNext = false;
  TargetName Avoid;

  bool inTime() const { return Ran && !Refused && EndedAt <= Deadline; }
  bool abandonedBy(TimePoint now) const { return now >= AbandonedAt; }
  TimePoint AbandonedAt = TimePoint::max();
};
using CallPtr = std::shared_ptr<Call>;

class Simulation {
public:
  Simulation(Deployment deployment, LoadPlan plan, Policy policy,
             std::uint64_t seed);

  /// Runs all events. \return all calls, in the order they were sent.
  std::vector<CallPtr> run();
  std::uint64_t linkBytes() const;

private:
  /// A target and its owner.
  struct ModelTarget {
    TargetName Name;
    std::size_t Domain = 0;
    bool Primary = false;
    bool Slow = false;
    std::unique_ptr<Admission> Queue;
    WorkEstimator Estimates;
    std::map<TicketHandle, CallPtr> Waiting;
    std::deque<CallPtr> Fifo; ///< Baseline.
    std::uint32_t BusySlots = 0;
    std::uint32_t OpenConnections = 0;
    Position Applied;
  };
  struct Group {
    std::vector<ModelTarget> Targets;
    std::vector<TimePoint> Commits;
  };
  struct Entry {
    std::vector<Placement> Reads;     ///< By database.
    std::vector<RetryBudget> Retries; ///< By database.
    LinkBudget Link;
    std::vector<std::size_t> NextRoundRobin; ///< Baseline.
  };
  struct Event {
    TimePoint At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Event &it) const {
      return std::pair(At, Order) > std::pair(it.At, it.Order);
    }
  };

  double random() { return std::uniform_real_distribution<>(0, 1)(Random); }
  void schedule(TimePoint when, std::function<void()> action) {
    Events.push({when, ++LastEvent, std::move(action)});
  }
  Distance distance(std::size_t a, std::size_t b) const;
  Duration oneWay(std::size_t a, std::size_t b) const;
  Position appliedAt(const Group &group, const ModelTarget &target) const;
  bool within(Duration from, Duration to) const {
    return Now - Start >= from && Now - Start < to;
  }

  void scheduleNextCall();
  CallPtr makeCall();
  void attempt(const CallPtr &call);
  void send(const CallPtr &call, std::size_t domain);
  std::size_t chooseDomain(const Call &call, Duration &wait);
  std::size_t chooseBaselineDomain(const Call &call);
  void handleRequest(const CallPtr &call, std::size_t domain);
  void startWaiting(std::size_t database, std::size_t domain);
  void start(const CallPtr &call, std::size_t domain, TicketHandle ticket);
  void finishStatement(const CallPtr &call, std::size_t domain,
                       TicketHandle ticket, Duration used, AnswerCode code);
  AnswerCode checkPosition(const Call &call, const Group &group,
                           const ModelTarget &target);
  void sendAnswer(const CallPtr &call, std::size_t domain, AnswerCode code,
                  Duration retryAfter = {});
  void handleAnswer(const CallPtr &call, std::size_t to,
                    const AnswerReport &report);
  void finishCall(const CallPtr &call);
  void sendAgain(const Call &call);
  void refuse(std::size_t database, std::size_t domain,
              const std::vector<Shed> &shed);
  WorkItem itemOf(const Call &call, const ModelTarget &target) const;

  const Deployment Sizes;
  const LoadPlan Plan;
  const Policy ChosenPolicy;
  std::mt19937_64 Random;
  TimePoint Now = Start;
  std::uint64_t LastEvent = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::vector<Group> Groups;
  std::vector<Entry> Entries;
  std::vector<std::map<std::size_t, Position>> Sessions;
  std::vector<CallPtr> Calls;
};

inline Simulation::Simulation(Deployment deployment, LoadPlan plan,
                              Policy policy, std::uint64_t seed)
    : Sizes(std::move(deployment)), Plan(std::move(plan)), ChosenPolicy(policy),
      Random(seed) {
  Groups.resize(Plan.Databases);
  Sessions.resize(Plan.Databases);
  for (std::size_t n = 0; n < Plan.Databases; ++n) {
    Groups[n].Targets.resize(FailureDomains);
    for (std::size_t it = 0; it < FailureDomains; ++it) {
      auto &target = Groups[n].Targets[it];
      target.Name =
          TargetName("db" + std::to_string(n) + "-" + std::to_string(it));
      target.Domain = it;
      target.Primary = it == n % FailureDomains;
      target.Slow = it == (n + 1) % FailureDomains;
      target.Queue = std::make_unique<Admission>(Sizes.Slots, Random());
    }
  }
  Entries.resize(Daemons);
  for (auto &it : Entries) {
    it.NextRoundRobin.resize(Plan.Databases);
    it.Retries.resize(Plan.Databases);
    for (std::size_t n = 0; n < Plan.Databases; ++n)
      it.Reads.emplace_back(Random());
  }
}

inline std::uint64_t Simulation::linkBytes() const {
  std::uint64_t n = 0;
  for (const auto &it : Entries)
    n += it.Link.total();
  return n;
}

/// Failure domains 0 and 1 are in one region, 2 is in the other.
inline Distance Simulation::distance(std::size_t a, std::size_t b) const {
  if (a == b)
    return Distance::SameDomain;
  return a / 2 == b / 2 ? Distance::SameRegion : Distance::OtherRegion;
}

inline Duration Simulation::oneWay(std::size_t a, std::size_t b) const {
  switch (distance(a, b)) {
  case Distance::SameDomain:
    return microseconds(200);
  case Distance::SameRegion:
    return Sizes.BetweenDomains;
  case Distance::OtherRegion:
    return milliseconds(8);
  }
  return {};
}

inline Position Simulation::appliedAt(const Group &group,
                                      const ModelTarget &target) const {
  auto until = target.Primary ? Now : Now - Plan.Lag;
  auto it = std::upper_bound(group.Commits.begin(), group.Commits.end(), until);
  return {1, static_cast<std::uint64_t>(it - group.Commits.begin())};
}

inline std::vector<CallPtr> Simulation::run() {
  scheduleNextCall();
  while (!Events.empty()) {
    auto it = Events.top();
    Events.pop();
    Now = it.At;
    it.Action();
  }
  return Calls;
}

inline void Simulation::scheduleNextCall() {
  if (Now - Start >= Plan.Length)
    return;
  double slots =
      static_cast<double>(Sizes.Slots * FailureDomains * Plan.Databases);
  double capacity = slots / std::chrono::duration<double>(Service).count();
  bool raised = Plan.Raised > 0 && within(Plan.RaisedFrom, Plan.RaisedTo);
  double rate = capacity * (raised ? Plan.Raised : Plan.Base);
  double gap = std::exponential_distribution<>(rate)(Random);
  schedule(Now + Duration(static_cast<Duration::rep>(gap * 1e9)), [this] {
    if (Now - Start < Plan.Length) {
      auto call = makeCall();
      Calls.push_back(call);
      schedule(Now + Sizes.ToCaller, [this, call] {
        Entries[call->Entry].Retries[call->Database].earn(Now);
        attempt(call);
      });
    }
    scheduleNextCall();
  });
}

inline CallPtr Simulation::makeCall() {
  constexpr std::size_t LightCallers = 19;
  constexpr std::size_t SessionsEach = 100;
  constexpr double Writes = 0.1;
  constexpr double Fresh = 0.3;
  auto call = std::make_shared<Call>();
  call->Database = Random() % Plan.Databases;
  call->Entry = Random() % Daemons;
  bool heavy = random() < Plan.HeavyCaller;
  call->Caller = heavy ? 0 : 1 + Random() % LightCallers;
  double n = random();
  call->Class = n < Writes           ? RequestClass::Record
                : n < Writes + Fresh ? RequestClass::Fresh
                                     : RequestClass::Stale;
  call->Long = call->Class != RequestClass::Record &&
               random() * (1 - Writes) < Plan.LongShare;
  constexpr double LongWork = 50;
  double work = (0.5 + random()) * (call->Long ? LongWork : 1);
  call->ServiceTime = Duration(
      static_cast<Duration::rep>(work * static_cast<double>(Service.count())));
  auto session = call->Caller * SessionsEach + Random() % SessionsEach;
  call->NotBefore = Sessions[call->Database][session];
  call->MaxAge = random() < 0.5 ? seconds(5) : seconds(2);
  call->SentAt = Now;
  call->Deadline =
      Now + (call->Class == RequestClass::Record ? seconds(2) : seconds(1));
  if (call->Long)
    call->Deadline += seconds(4);
  if (Plan.CallersAbandon && random() < 0.5)
    call->AbandonedAt = Now + milliseconds(100);
  call->Session = session;
  return call;
}

inline std::size_t Simulation::chooseBaselineDomain(const Call &call) {
  const auto &group = Groups[call.Database];
  for (std::size_t n = 0; n < FailureDomains; ++n)
    if (group.Targets[n].Primary &&
        (call.Class != RequestClass::Stale || call.PrimaryNext))
      return n;
  return ++Entries[call.Entry].NextRoundRobin[call.Database] % FailureDomains;
}

inline std::size_t Simulation::chooseDomain(const Call &call, Duration &wait) {
  if (ChosenPolicy == Policy::Baseline)
    return chooseBaselineDomain(call);
  const auto &group = Groups[call.Database];
  if (call.Class == RequestClass::Record)
    return call.Database % FailureDomains;
  auto &entry = Entries[call.Entry];
  std::vector<Candidate> candidates;
  for (const auto &it : group.Targets)
    candidates.push_back({it.Name,
                          it.Primary,
                          true,
                          false,
                          distance(call.Entry % FailureDomains, it.Domain),
                          {},
                          std::nullopt});
  ReadDemand demand{
      call.Class == RequestClass::Fresh ? Access::FreshRead : Access::StaleRead,
      call.Class == RequestClass::Fresh ? call.NotBefore : Position{},
      call.MaxAge, call.PrimaryNext, call.Avoid};
  auto choice = entry.Reads[call.Database].choose(demand, candidates,
                                                  entry.Link.mayUse(Now), Now);
  wait = choice.WaitBefore;
  for (const auto &it : group.Targets)
    if (it.Name == choice.Target)
      return it.Domain;
  return call.Database % FailureDomains;
}

inline void Simulation::attempt(const CallPtr &call) {
  Duration wait{};
  auto to = chooseDomain(*call, wait);
  ++call->Attempts;
  if (wait > Duration{})
    schedule(Now + wait, [this, call, to] { send(call, to); });
  else
    send(call, to);
}

inline void Simulation::send(const CallPtr &call, std::size_t to) {
  constexpr std::size_t RequestBytes = 400;
  auto &entry = Entries[call->Entry];
  entry.Reads[call->Database].started(Groups[call->Database].Targets[to].Name);
  if (distance(call->Entry % FailureDomains, to) == Distance::OtherRegion)
    entry.Link.count(RequestBytes, Now);
  schedule(Now + oneWay(call->Entry % FailureDomains, to),
           [this, call, to] { handleRequest(call, to); });
}

inline WorkItem Simulation::itemOf(const Call &call,
                                   const ModelTarget &target) const {
  return {CallerName(std::to_string(call.Caller)),
          call.Class == RequestClass::Record ? WorkClass::Record
                                             : WorkClass::Lookup,
          target.Estimates.estimate(call.Long ? "long" : "short"),
          call.Deadline - Sizes.ToCaller -
              oneWay(call.Entry % FailureDomains, target.Domain)};
}

inline void Simulation::handleRequest(const CallPtr &call, std::size_t to) {
  auto &target = Groups[call->Database].Targets[to];
  if (ChosenPolicy == Policy::Baseline) {
    target.Fifo.push_back(call);
    startWaiting(call->Database, to);
    return;
  }
  auto offer = target.Queue->offer(itemOf(*call, target), Now);
  refuse(call->Database, to, offer.Others);
  if (!offer.Ticket.valid()) {
    sendAnswer(call, to, offer.Why.Code, offer.Why.RetryAfter);
    return;
  }
  target.Waiting[offer.Ticket] = call;
  startWaiting(call->Database, to);
}

inline void Simulation::refuse(std::size_t database, std::size_t to,
                               const std::vector<Shed> &shed) {
  auto &target = Groups[database].Targets[to];
  for (const auto &it : shed) {
    auto call = target.Waiting[it.Ticket];
    target.Waiting.erase(it.Ticket);
    sendAnswer(call, to, it.Why.Code, it.Why.RetryAfter);
  }
}

inline void Simulation::startWaiting(std::size_t database, std::size_t to) {
  auto &target = Groups[database].Targets[to];
  if (ChosenPolicy == Policy::Baseline) {
    while (target.BusySlots < Sizes.Slots && !target.Fifo.empty()) {
      auto call = target.Fifo.front();
      target.Fifo.pop_front();
      start(call, to, {});
    }
    return;
  }
  refuse(database, to, target.Queue->expire(Now));
  while (auto ticket = target.Queue->next(Now)) {
    auto call = target.Waiting[*ticket];
    target.Waiting.erase(*ticket);
    if (call->abandonedBy(Now))
      target.Queue->finish(*ticket);
    else
      start(call, to, *ticket);
  }
}

inline void Simulation::start(const CallPtr &call, std::size_t to,
                              TicketHandle ticket) {
  auto &target = Groups[call->Database].Targets[to];
  ++target.BusySlots;
  call->StartedAt = Now;
  bool slow = target.Slow && within(Plan.SlowFrom, Plan.SlowTo);
  double factor = slow ? Plan.SlowFactor : 1;
  auto used = Duration(static_cast<Duration::rep>(
      static_cast<double>(call->ServiceTime.count()) * factor));
  if (target.OpenConnections < target.BusySlots) {
    ++target.OpenConnections;
    used += Sizes.Connect;
  }
  auto code = checkPosition(*call, Groups[call->Database], target);
  if (code != AnswerCode::Ok)
    used = microseconds(200);
  schedule(Now + used, [this, call, to, ticket, used, code] {
    finishStatement(call, to, ticket, used, code);
  });
}

inline AnswerCode Simulation::checkPosition(const Call &call,
                                            const Group &group,
                                            const ModelTarget &target) {
  if (target.Primary)
    return AnswerCode::Ok;
  bool old = call.Class == RequestClass::Stale
                 ? Plan.Lag > call.MaxAge
                 : appliedAt(group, target) < call.NotBefore;
  return old ? AnswerCode::Behind : AnswerCode::Ok;
}

inline void Simulation::finishStatement(const CallPtr &call, std::size_t to,
                                        TicketHandle ticket, Duration used,
                                        AnswerCode code) {
  auto &group = Groups[call->Database];
  auto &target = group.Targets[to];
  --target.BusySlots;
  target.Queue->finish(ticket);
  if (code == AnswerCode::Ok) {
    target.Estimates.observe(call->Long ? "long" : "short", used);
    call->Ran = true;
    call->SlotTime += used;
    call->FromReplica = !target.Primary;
  }
  if (call->Class == RequestClass::Record)
    group.Commits.push_back(Now);
  if (call->Class != RequestClass::Stale && code == AnswerCode::Ok)
    call->NotBefore = std::max(call->NotBefore, appliedAt(group, target));
  sendAnswer(call, to, code);
  startWaiting(call->Database, to);
}

inline void Simulation::sendAnswer(const CallPtr &call, std::size_t to,
                                   AnswerCode code, Duration retryAfter) {
  const auto &group = Groups[call->Database];
  const auto &target = group.Targets[to];
  AnswerReport report;
  report.Target = target.Name;
  report.FromPrimary = target.Primary;
  report.Code = code;
  report.At = appliedAt(group, target);
  report.NotBefore = call->NotBefore;
  if (!target.Primary)
    report.Age = Plan.Lag;
  if (code == AnswerCode::Ok)
    report.Ran = call->SlotTime;
  if (retryAfter > Duration{})
    report.RetryAfter = retryAfter;
  report.Wait = target.Queue->shortWait(Now);
  report.Mode = call->Class == RequestClass::Record  ? Access::Write
                : call->Class == RequestClass::Fresh ? Access::FreshRead
                                                     : Access::StaleRead;
  // A write is answered after the nearest replica has confirmed it.
  auto confirmed = code == AnswerCode::Ok && report.Mode == Access::Write
                       ? 2 * std::min(oneWay(to, (to + 1) % FailureDomains),
                                      oneWay(to, (to + 2) % FailureDomains))
                       : Duration{};
  schedule(Now + confirmed + oneWay(call->Entry % FailureDomains, to),
           [this, call, to, report] { handleAnswer(call, to, report); });
}

inline void Simulation::handleAnswer(const CallPtr &call, std::size_t to,
                                     const AnswerReport &report) {
  constexpr std::size_t AnswerBytes = 1'200;
  auto &entry = Entries[call->Entry];
  if (distance(call->Entry % FailureDomains, to) == Distance::OtherRegion)
    entry.Link.count(AnswerBytes, Now);
  auto &reads = entry.Reads[call->Database];
  reads.answered(report, FailureDomains - 1, Now);
  if (report.Mode == Access::Write && report.Code == AnswerCode::Ok)
    reads.noteHead(report.At, Now);
  bool inTime = Now + Sizes.ToCaller < call->Deadline;
  if (report.Code == AnswerCode::Behind && !call->PrimaryNext) {
    call->PrimaryNext = true;
    attempt(call);
    return;
  }
  constexpr int MaxAttempts = 3;
  bool read = report.Mode != Access::Write;
  if (report.Code == AnswerCode::Overloaded && read && inTime &&
      call->Attempts < MaxAttempts && ChosenPolicy == Policy::Peridotfall &&
      call->Avoid.empty() && entry.Retries[call->Database].spend(Now)) {
    call->Avoid = report.Target;
    attempt(call);
    return;
  }
  call->Refused = report.Code != AnswerCode::Ok;
  call->RetryAfter = report.RetryAfter.value_or(Duration{});
  schedule(Now + Sizes.ToCaller, [this, call] { finishCall(call); });
}

inline void Simulation::finishCall(const CallPtr &call) {
  call->EndedAt = Now;
  if (call->Ran && call->Class != RequestClass::Stale) {
    auto &seen = Sessions[call->Database][call->Session];
    seen = std::max(seen, call->NotBefore);
  }
  if (call->Refused && Plan.RefusedRetry && !call->IsRetry)
    schedule(Now + call->RetryAfter, [this, call] { sendAgain(*call); });
}

inline void Simulation::sendAgain(const Call &call) {
  auto it = std::make_shared<Call>(call);
  it->Deadline = Now + (call.Deadline - call.SentAt);
  it->SentAt = Now;
  it->Refused = false;
  it->IsRetry = true;
  it->Attempts = 0;
  it->PrimaryNext = false;
  it->Avoid = {};
  Calls.push_back(it);
  schedule(Now + Sizes.ToCaller, [this, it] { attempt(it); });
}

} // namespace peridotfall::model

#endif // PERIDOTFALL_TESTS_ADMISSION_LOAD_MODEL_H
