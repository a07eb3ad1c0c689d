/// \file
/// A model of entry daemons, owners and targets in virtual time, for tests and
/// measurements of the decisions under load. The decisions are the library's
/// own; the model has the delays, the targets and the callers, and beside them
/// plain baselines.

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

constexpr std::size_t Places = 3;  ///< Failure domains; a target in each.
constexpr std::size_t Daemons = 9; ///< Three in each failure domain.
constexpr Duration Service = milliseconds(4); ///< Of a short statement.
constexpr TimePoint Start{std::chrono::hours(1)};

/// Sizes of one of the users' deployments.
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

/// What callers do, and what goes wrong.
struct LoadPlan {
  std::string Name;
  Duration Length = seconds(20);
  double Base = 0.4; ///< Of the capacity in short statements.
  double Raised = 0; ///< The same, from RaisedFrom to RaisedTo.
  Duration RaisedFrom{};
  Duration RaisedTo{};
  double HeavyCaller = 0; ///< Share of the demand of one caller.
  double LongShare = 0;   ///< Statements of 50 times the work; reads.
  double SlowFactor = 1;  ///< Of one replica, from SlowFrom to SlowTo.
  Duration SlowFrom{};
  Duration SlowTo{};
  Duration Lag = milliseconds(20);
  std::size_t Databases = 3;
  bool CallersLeave = false; ///< Half give up after 100 ms.
  bool ComeBack = false;     ///< Refused callers do, once, when told to.
};

enum class RequestClass { Record, Fresh, Stale };
constexpr std::size_t RequestClasses = 3;

/// One request of a caller and its end.
struct Call {
  std::size_t Database = 0;
  std::size_t Caller = 0;
  std::size_t Entry = 0;
  RequestClass Class = RequestClass::Stale;
  bool Long = false;
  Position NotBefore;
  Duration MaxAge{};
  Duration Needs{}; ///< Work on a target that is not slow.
  TimePoint SentAt;
  TimePoint Deadline;
  // How it ended.
  bool Ran = false;
  bool Refused = false;
  Duration Used{}; ///< Slot time.
  TimePoint EndedAt;
  TimePoint StartedAt;
  Duration RetryAfter{};
  std::size_t Session = 0;
  bool FromReplica = false;
  int Attempts = 0;
  bool Again = false; ///< Sent by a caller that was refused before.
  bool PrimaryNext = false;
  TargetName Avoid;

  bool inTime() const { return Ran && !Refused && EndedAt <= Deadline; }
  bool left(TimePoint now) const { return now >= GivesUpAt; }
  TimePoint GivesUpAt = TimePoint::max();
};
using CallPtr = std::shared_ptr<Call>;

class Simulation {
public:
  Simulation(Deployment deployment, LoadPlan plan, Policy policy,
             std::uint64_t seed);

  /// Runs to the end. \return all calls, by the time they were sent.
  std::vector<CallPtr> run();
  std::uint64_t linkBytes() const;

private:
  /// One target with its owner before it.
  struct Site {
    TargetName Name;
    std::size_t Place = 0;
    bool Primary = false;
    bool Slow = false;
    std::unique_ptr<Admission> Queue;
    WorkEstimator Estimates;
    std::map<TicketHandle, CallPtr> Waiting;
    std::deque<CallPtr> Fifo; ///< Baseline.
    std::uint32_t Busy = 0;
    std::uint32_t Open = 0; ///< Connections.
    Position Applied;
  };
  struct Group {
    std::vector<Site> Sites;
    std::vector<TimePoint> Commits;
  };
  struct Entry {
    std::vector<Placement> Reads;     ///< By database.
    std::vector<RetryBudget> Retries; ///< By database.
    LinkBudget Link;
    std::vector<std::size_t> NextInTurn; ///< Baseline.
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
  void at(TimePoint when, std::function<void()> action) {
    Events.push({when, ++LastEvent, std::move(action)});
  }
  Distance distance(std::size_t a, std::size_t b) const;
  Duration oneWay(std::size_t a, std::size_t b) const;
  Position appliedAt(const Group &group, const Site &site) const;
  bool within(Duration from, Duration to) const {
    return Now - Start >= from && Now - Start < to;
  }

  void arrive();
  CallPtr makeCall();
  void attempt(const CallPtr &call);
  void send(const CallPtr &call, std::size_t place);
  std::size_t place(const Call &call, Duration &wait);
  std::size_t placePlainly(const Call &call);
  void reach(const CallPtr &call, std::size_t place);
  void pump(std::size_t database, std::size_t place);
  void start(const CallPtr &call, std::size_t place, TicketHandle ticket);
  void end(const CallPtr &call, std::size_t place, TicketHandle ticket,
           Duration used, AnswerCode code);
  AnswerCode check(const Call &call, const Group &group, const Site &site);
  void answer(const CallPtr &call, std::size_t place, AnswerCode code,
              Duration retryAfter = {});
  void arrived(const CallPtr &call, std::size_t to, const AnswerReport &report);
  void close(const CallPtr &call);
  void comeBack(const Call &call);
  void refuse(std::size_t database, std::size_t place,
              const std::vector<Shed> &shed);
  WorkItem itemOf(const Call &call, const Site &site) const;

  const Deployment Sizes;
  const LoadPlan Plan;
  const Policy How;
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
    : Sizes(std::move(deployment)), Plan(std::move(plan)), How(policy),
      Random(seed) {
  Groups.resize(Plan.Databases);
  Sessions.resize(Plan.Databases);
  for (std::size_t n = 0; n < Plan.Databases; ++n) {
    Groups[n].Sites.resize(Places);
    for (std::size_t it = 0; it < Places; ++it) {
      auto &site = Groups[n].Sites[it];
      site.Name =
          TargetName("db" + std::to_string(n) + "-" + std::to_string(it));
      site.Place = it;
      site.Primary = it == n % Places;
      site.Slow = it == (n + 1) % Places;
      site.Queue = std::make_unique<Admission>(Sizes.Slots, Random());
    }
  }
  Entries.resize(Daemons);
  for (auto &it : Entries) {
    it.NextInTurn.resize(Plan.Databases);
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

/// Places 0 and 1 are one region, 2 the other.
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
                                      const Site &site) const {
  auto until = site.Primary ? Now : Now - Plan.Lag;
  auto it = std::upper_bound(group.Commits.begin(), group.Commits.end(), until);
  return {1, static_cast<std::uint64_t>(it - group.Commits.begin())};
}

inline std::vector<CallPtr> Simulation::run() {
  arrive();
  while (!Events.empty()) {
    auto it = Events.top();
    Events.pop();
    Now = it.At;
    it.Action();
  }
  return Calls;
}

inline void Simulation::arrive() {
  if (Now - Start >= Plan.Length)
    return;
  double slots = static_cast<double>(Sizes.Slots * Places * Plan.Databases);
  double capacity = slots / std::chrono::duration<double>(Service).count();
  bool raised = Plan.Raised > 0 && within(Plan.RaisedFrom, Plan.RaisedTo);
  double rate = capacity * (raised ? Plan.Raised : Plan.Base);
  double gap = std::exponential_distribution<>(rate)(Random);
  at(Now + Duration(static_cast<Duration::rep>(gap * 1e9)), [this] {
    if (Now - Start < Plan.Length) {
      auto call = makeCall();
      Calls.push_back(call);
      at(Now + Sizes.ToCaller, [this, call] {
        Entries[call->Entry].Retries[call->Database].earn(Now);
        attempt(call);
      });
    }
    arrive();
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
  call->Needs = Duration(
      static_cast<Duration::rep>(work * static_cast<double>(Service.count())));
  auto session = call->Caller * SessionsEach + Random() % SessionsEach;
  call->NotBefore = Sessions[call->Database][session];
  call->MaxAge = random() < 0.5 ? seconds(5) : seconds(2);
  call->SentAt = Now;
  call->Deadline =
      Now + (call->Class == RequestClass::Record ? seconds(2) : seconds(1));
  if (call->Long)
    call->Deadline += seconds(4);
  if (Plan.CallersLeave && random() < 0.5)
    call->GivesUpAt = Now + milliseconds(100);
  call->Session = session;
  return call;
}

inline std::size_t Simulation::placePlainly(const Call &call) {
  const auto &group = Groups[call.Database];
  for (std::size_t n = 0; n < Places; ++n)
    if (group.Sites[n].Primary &&
        (call.Class != RequestClass::Stale || call.PrimaryNext))
      return n;
  return ++Entries[call.Entry].NextInTurn[call.Database] % Places;
}

inline std::size_t Simulation::place(const Call &call, Duration &wait) {
  if (How == Policy::Baseline)
    return placePlainly(call);
  const auto &group = Groups[call.Database];
  if (call.Class == RequestClass::Record)
    return call.Database % Places;
  auto &entry = Entries[call.Entry];
  std::vector<Candidate> candidates;
  for (const auto &it : group.Sites)
    candidates.push_back({it.Name,
                          it.Primary,
                          true,
                          false,
                          distance(call.Entry % Places, it.Place),
                          {},
                          std::nullopt});
  ReadDemand demand{
      call.Class == RequestClass::Fresh ? Access::FreshRead : Access::StaleRead,
      call.Class == RequestClass::Fresh ? call.NotBefore : Position{},
      call.MaxAge, call.PrimaryNext, call.Avoid};
  auto choice = entry.Reads[call.Database].choose(demand, candidates,
                                                  entry.Link.mayUse(Now), Now);
  wait = choice.WaitBefore;
  for (const auto &it : group.Sites)
    if (it.Name == choice.Target)
      return it.Place;
  return call.Database % Places;
}

inline void Simulation::attempt(const CallPtr &call) {
  Duration wait{};
  auto to = place(*call, wait);
  ++call->Attempts;
  if (wait > Duration{})
    at(Now + wait, [this, call, to] { send(call, to); });
  else
    send(call, to);
}

inline void Simulation::send(const CallPtr &call, std::size_t to) {
  constexpr std::size_t RequestBytes = 400;
  auto &entry = Entries[call->Entry];
  entry.Reads[call->Database].started(Groups[call->Database].Sites[to].Name);
  if (distance(call->Entry % Places, to) == Distance::OtherRegion)
    entry.Link.count(RequestBytes, Now);
  at(Now + oneWay(call->Entry % Places, to),
     [this, call, to] { reach(call, to); });
}

inline WorkItem Simulation::itemOf(const Call &call, const Site &site) const {
  return {CallerName(std::to_string(call.Caller)),
          call.Class == RequestClass::Record ? WorkClass::Record
                                             : WorkClass::Lookup,
          site.Estimates.estimate(call.Long ? "long" : "short"),
          call.Deadline - Sizes.ToCaller -
              oneWay(call.Entry % Places, site.Place)};
}

inline void Simulation::reach(const CallPtr &call, std::size_t to) {
  auto &site = Groups[call->Database].Sites[to];
  if (How == Policy::Baseline) {
    site.Fifo.push_back(call);
    pump(call->Database, to);
    return;
  }
  auto offer = site.Queue->offer(itemOf(*call, site), Now);
  refuse(call->Database, to, offer.Others);
  if (!offer.Ticket.valid()) {
    answer(call, to, offer.Why.Code, offer.Why.RetryAfter);
    return;
  }
  site.Waiting[offer.Ticket] = call;
  pump(call->Database, to);
}

inline void Simulation::refuse(std::size_t database, std::size_t to,
                               const std::vector<Shed> &shed) {
  auto &site = Groups[database].Sites[to];
  for (const auto &it : shed) {
    auto call = site.Waiting[it.Ticket];
    site.Waiting.erase(it.Ticket);
    answer(call, to, it.Why.Code, it.Why.RetryAfter);
  }
}

inline void Simulation::pump(std::size_t database, std::size_t to) {
  auto &site = Groups[database].Sites[to];
  if (How == Policy::Baseline) {
    while (site.Busy < Sizes.Slots && !site.Fifo.empty()) {
      auto call = site.Fifo.front();
      site.Fifo.pop_front();
      start(call, to, {});
    }
    return;
  }
  refuse(database, to, site.Queue->expire(Now));
  while (auto ticket = site.Queue->next(Now)) {
    auto call = site.Waiting[*ticket];
    site.Waiting.erase(*ticket);
    if (call->left(Now))
      site.Queue->finish(*ticket);
    else
      start(call, to, *ticket);
  }
}

inline void Simulation::start(const CallPtr &call, std::size_t to,
                              TicketHandle ticket) {
  auto &site = Groups[call->Database].Sites[to];
  ++site.Busy;
  call->StartedAt = Now;
  bool slow = site.Slow && within(Plan.SlowFrom, Plan.SlowTo);
  double factor = slow ? Plan.SlowFactor : 1;
  auto used = Duration(static_cast<Duration::rep>(
      static_cast<double>(call->Needs.count()) * factor));
  if (site.Open < site.Busy) {
    ++site.Open;
    used += Sizes.Connect;
  }
  auto code = check(*call, Groups[call->Database], site);
  if (code != AnswerCode::Ok)
    used = microseconds(200);
  at(Now + used, [this, call, to, ticket, used, code] {
    end(call, to, ticket, used, code);
  });
}

inline AnswerCode Simulation::check(const Call &call, const Group &group,
                                    const Site &site) {
  if (site.Primary)
    return AnswerCode::Ok;
  bool old = call.Class == RequestClass::Stale
                 ? Plan.Lag > call.MaxAge
                 : appliedAt(group, site) < call.NotBefore;
  return old ? AnswerCode::Behind : AnswerCode::Ok;
}

inline void Simulation::end(const CallPtr &call, std::size_t to,
                            TicketHandle ticket, Duration used,
                            AnswerCode code) {
  auto &group = Groups[call->Database];
  auto &site = group.Sites[to];
  --site.Busy;
  site.Queue->finish(ticket);
  if (code == AnswerCode::Ok) {
    site.Estimates.observe(call->Long ? "long" : "short", used);
    call->Ran = true;
    call->Used += used;
    call->FromReplica = !site.Primary;
  }
  if (call->Class == RequestClass::Record)
    group.Commits.push_back(Now);
  if (call->Class != RequestClass::Stale && code == AnswerCode::Ok)
    call->NotBefore = std::max(call->NotBefore, appliedAt(group, site));
  answer(call, to, code);
  pump(call->Database, to);
}

inline void Simulation::answer(const CallPtr &call, std::size_t to,
                               AnswerCode code, Duration retryAfter) {
  const auto &group = Groups[call->Database];
  const auto &site = group.Sites[to];
  AnswerReport report;
  report.Target = site.Name;
  report.FromPrimary = site.Primary;
  report.Code = code;
  report.At = appliedAt(group, site);
  report.NotBefore = call->NotBefore;
  if (!site.Primary)
    report.Age = Plan.Lag;
  if (code == AnswerCode::Ok)
    report.Ran = call->Used;
  if (retryAfter > Duration{})
    report.RetryAfter = retryAfter;
  report.Wait = site.Queue->shortWait(Now);
  report.Mode = call->Class == RequestClass::Record  ? Access::Write
                : call->Class == RequestClass::Fresh ? Access::FreshRead
                                                     : Access::StaleRead;
  // A write is confirmed by the nearest replica before it is answered.
  auto confirmed = code == AnswerCode::Ok && report.Mode == Access::Write
                       ? 2 * std::min(oneWay(to, (to + 1) % Places),
                                      oneWay(to, (to + 2) % Places))
                       : Duration{};
  at(Now + confirmed + oneWay(call->Entry % Places, to),
     [this, call, to, report] { arrived(call, to, report); });
}

inline void Simulation::arrived(const CallPtr &call, std::size_t to,
                                const AnswerReport &report) {
  constexpr std::size_t AnswerBytes = 1'200;
  auto &entry = Entries[call->Entry];
  if (distance(call->Entry % Places, to) == Distance::OtherRegion)
    entry.Link.count(AnswerBytes, Now);
  auto &reads = entry.Reads[call->Database];
  reads.answered(report, Places - 1, Now);
  if (report.Mode == Access::Write && report.Code == AnswerCode::Ok)
    reads.noteHead(report.At, Now);
  bool inTime = Now + Sizes.ToCaller < call->Deadline;
  if (report.Code == AnswerCode::Behind && !call->PrimaryNext) {
    call->PrimaryNext = true;
    attempt(call);
    return;
  }
  constexpr int MostAttempts = 3;
  bool read = report.Mode != Access::Write;
  if (report.Code == AnswerCode::Overloaded && read && inTime &&
      call->Attempts < MostAttempts && How == Policy::Peridotfall &&
      call->Avoid.empty() && entry.Retries[call->Database].spend(Now)) {
    call->Avoid = report.Target;
    attempt(call);
    return;
  }
  call->Refused = report.Code != AnswerCode::Ok;
  call->RetryAfter = report.RetryAfter.value_or(Duration{});
  at(Now + Sizes.ToCaller, [this, call] { close(call); });
}

inline void Simulation::close(const CallPtr &call) {
  call->EndedAt = Now;
  if (call->Ran && call->Class != RequestClass::Stale) {
    auto &seen = Sessions[call->Database][call->Session];
    seen = std::max(seen, call->NotBefore);
  }
  if (call->Refused && Plan.ComeBack && !call->Again)
    at(Now + call->RetryAfter, [this, call] { comeBack(*call); });
}

inline void Simulation::comeBack(const Call &call) {
  auto it = std::make_shared<Call>(call);
  it->Deadline = Now + (call.Deadline - call.SentAt);
  it->SentAt = Now;
  it->Refused = false;
  it->Again = true;
  it->Attempts = 0;
  it->PrimaryNext = false;
  it->Avoid = {};
  Calls.push_back(it);
  at(Now + Sizes.ToCaller, [this, it] { attempt(it); });
}

} // namespace peridotfall::model

#endif // PERIDOTFALL_TESTS_ADMISSION_LOAD_MODEL_H
