#include "proxy/sessions.h"

#include "telemetry/events.h"
#include "telemetry/line_limiter.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

Sessions::Sessions(Groups &groups, CallerPort &port, ProxyMetrics &metrics,
                   const Clock &clock)
    : Targets(groups), Port(port), Counts(metrics), Time(clock),
      RoutesConfirmedAt(clock.now()) {
  Targets.OnLeader = [this](const GroupName &group) { resume(group); };
  Targets.OnWaited = [this](Duration waited) {
    countWait(Counts, WaitPlace::Connection, waited);
  };
}

Sessions::Session *Sessions::find(CallerId caller) {
  auto it = All.find(caller);
  return it == All.end() ? nullptr : &it->second;
}

bool Sessions::takeRoutes(const RoutingTable &table) {
  // A list that was read late must not take a version back: sessions would be
  // routed by what an operator has replaced.
  if (table.Version <= Table.Version)
    return false;
  Table = table;
  std::vector<CallerId> waiting;
  for (const auto &[id, it] : All)
    if (!it.Greeted)
      waiting.push_back(id);
  for (auto id : waiting)
    if (auto *it = find(id))
      greet(*it);
  return true;
}

void Sessions::start(CallerId caller, const DatabaseName &database) {
  auto &it = All[caller];
  it.Id = caller;
  it.Database = database;
  it.Active = Time.now();
  // Without a configuration no database can be said not to exist.
  if (Table.Version != 0)
    greet(it);
}

void Sessions::greet(Session &session) {
  auto id = session.Id;
  if (!Table.Routes.contains(session.Database)) {
    telemetry::log(Event::SessionRejected,
                   {field("database", session.Database.Value),
                    field("version", Table.Version),
                    field("confirmed_ms_ago", routesAge().count())});
    All.erase(id);
    Port.reject(id, {ErrorKind::NoDatabase, "no route has this name"});
    return;
  }
  session.Greeted = true;
  Port.greet(id);
  advance(session);
}

void Sessions::statement(CallerId caller, Statement it) {
  auto *session = find(caller);
  if (!session)
    return;
  session->Active = Time.now();
  if (session->Inbox.size() >= limits::MostPipelined) {
    closed(caller);
    Port.close(caller);
    return;
  }
  session->Inbox.push_back(std::move(it));
  advance(*session);
}

void Sessions::closed(CallerId caller) {
  auto it = All.find(caller);
  if (it == All.end())
    return;
  auto session = std::move(it->second);
  All.erase(it);
  if (session.Current) {
    const auto &unit = *session.Current;
    auto *group = Targets.find(unit.Served.Group);
    if (unit.Placed && group)
      group->Reads.dropped(unit.Target);
    dropLease(unit.Lease);
  }
  if (session.State != TransactionState::Idle)
    dropLease(session.Open.Lease);
}

void Sessions::dropLease(LeaseId lease) {
  if (lease.valid())
    Targets.abandon(lease);
}

void Sessions::advance(Session &session) {
  auto id = session.Id;
  auto *it = &session;
  while (it && it->Greeted && !it->Current && !it->Inbox.empty()) {
    auto next = std::move(it->Inbox.front());
    it->Inbox.pop_front();
    handle(*it, std::move(next));
    it = find(id);
  }
}

void Sessions::handle(Session &session, Statement it) {
  bool ends =
      it.Kind == StatementKind::Commit || it.Kind == StatementKind::Rollback;
  if (session.State == TransactionState::Failed) {
    if (!ends) {
      answerError(session, ErrorKind::Malformed, "the transaction has failed");
      return;
    }
    bool commit = it.Kind == StatementKind::Commit;
    dropLease(session.Open.Lease);
    session.Open = {};
    session.State = TransactionState::Idle;
    if (commit)
      answerError(session, ErrorKind::Aborted, "rolled back");
    else
      answerDone(session);
    return;
  }
  if (ends && session.State == TransactionState::Idle) {
    answerError(session, ErrorKind::Malformed, "no transaction is open");
    return;
  }
  bool toTarget = it.Kind == StatementKind::Commit || writes(it) || reads(it) ||
                  it.Kind == StatementKind::Execute;
  if (!toTarget) {
    handleLocal(session, it);
    return;
  }
  if (it.Kind == StatementKind::Execute && !resolve(session, it)) {
    answerError(session, ErrorKind::NoStatement, it.Name);
    return;
  }
  beginUnit(session, std::move(it));
}

/// What only changes the session is answered here, and done at a target when
/// a statement needs it there.
void Sessions::handleLocal(Session &session, const Statement &it) {
  switch (it.Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginRead:
    begin(session, it);
    return;
  case StatementKind::Rollback:
    rollBack(session);
    return;
  case StatementKind::Set:
    set(session, it);
    return;
  case StatementKind::Prepare:
    prepare(session, it);
    return;
  case StatementKind::Deallocate:
    deallocate(session, it.Name);
    return;
  default:
    answerError(session, ErrorKind::Malformed, "not understood");
  }
}

bool Sessions::resolve(Session &session, Statement &it) {
  auto known = session.Names.find(it.Name);
  if (known == session.Names.end())
    return false;
  it.Body = known->second;
  it.Name = sharedName(it.Body);
  return true;
}

void Sessions::begin(Session &session, const Statement &it) {
  if (session.State != TransactionState::Idle) {
    answerError(session, ErrorKind::Malformed, "a transaction is open");
    return;
  }
  auto route = Table.Routes.find(session.Database);
  if (route == Table.Routes.end()) {
    rejectRemoved(session, it);
    return;
  }
  session.Open = {};
  session.Open.ReadOnly = it.Kind == StatementKind::BeginRead;
  session.Open.Served = route->second;
  session.Open.Version = Table.Version;
  session.State = TransactionState::Open;
  answerDone(session);
}

void Sessions::rollBack(Session &session) {
  dropLease(session.Open.Lease);
  session.Open = {};
  session.State = TransactionState::Idle;
  answerDone(session);
}

void Sessions::set(Session &session, const Statement &it) {
  if (session.Set.size() >= limits::MostSessionNames &&
      !session.Set.contains(it.Name)) {
    answerError(session, ErrorKind::Malformed, "too many values");
    return;
  }
  session.Set[it.Name] = it.Argument;
  answerDone(session);
}

void Sessions::prepare(Session &session, const Statement &it) {
  if (session.Names.size() >= limits::MostSessionNames &&
      !session.Names.contains(it.Name)) {
    answerError(session, ErrorKind::Malformed, "too many prepared statements");
    return;
  }
  session.Names[it.Name] = it.Body;
  answerDone(session);
}

void Sessions::deallocate(Session &session, const std::string &name) {
  session.Names.erase(name);
  answerDone(session);
}

/// Load: sessions that roam over replicas that lag. A read goes where the log
/// has all that the route's bound and the session's own commits ask for; the
/// primary proves its lead instead when no such position is known.
/// Runs the statement on the connection that its transaction holds.
void Sessions::deliver(Session &session, Answer answer) {
  auto id = session.Id;
  const auto &unit = *session.Current;
  countStatement(Counts, unit.Served.Reads,
                 answer.ok() ? StatementOutcome::Served
                             : StatementOutcome::TargetError,
                 Time.now() - unit.Began);
  logServed(session, answer);
  session.State = answer.State;
  session.Current.reset();
  session.Active = Time.now();
  if (session.State == TransactionState::Idle) {
    dropLease(session.Open.Lease);
    session.Open = {};
  }
  Port.answer(id, answer);
  advance(session);
}

/// Failures that the target named are all logged, successes by sample.
void Sessions::logServed(const Session &session, const Answer &answer) const {
  const auto &unit = *session.Current;
  if (answer.ok() && !telemetry::isSampled(unit.It.Id))
    return;
  auto least = unit.Sent.Statements[0].NotBefore;
  telemetry::log(
      answer.ok() ? Event::StatementServed : Event::StatementFailed,
      {field("request", unit.It.Id), field("database", session.Database.Value),
       field("target", unit.Target.Value), field("tries", unit.Tries),
       field("version", unit.Version),
       field("confirmed_ms_ago", routesAge().count()),
       field("not_before",
             least ? fmt::format("{}.{}", least->InTerm, least->Index) : "-"),
       field("answer", answer.ok() ? "ok" : nameOf(answer.Error->Kind)),
       field("took_ms",
             std::chrono::duration_cast<milliseconds>(Time.now() - unit.Began)
                 .count())});
}

void Sessions::rejectRemoved(Session &session, const Statement &it) {
  telemetry::log(Event::RouteRemoved,
                 {field("request", it.Id),
                  field("database", session.Database.Value),
                  field("version", Table.Version),
                  field("confirmed_ms_ago", routesAge().count())});
  answerError(session, ErrorKind::NoDatabase, "the route was removed");
}

milliseconds Sessions::routesAge() const {
  return std::chrono::duration_cast<milliseconds>(Time.now() -
                                                  RoutesConfirmedAt);
}

void Sessions::answerDone(Session &session) {
  Answer answer;
  answer.Signature = "-";
  answer.State = session.State;
  Port.answer(session.Id, answer);
}

void Sessions::answerError(Session &session, ErrorKind kind,
                           std::string detail) {
  Answer answer;
  answer.Error = StatementError{kind, std::move(detail)};
  answer.State = session.State;
  bool wasRunning = session.Current.has_value();
  session.Current.reset();
  if (session.State == TransactionState::Idle)
    session.Open = {};
  auto id = session.Id;
  Port.answer(id, answer);
  if (wasRunning)
    advance(session);
}

/// Nothing of the statement is kept: a lone one has not run, and one that
/// should begin a transaction at a target leaves none.
void Sessions::refuse(Session &session, milliseconds retryAfter,
                      const char *why) {
  auto &unit = *session.Current;
  endWait(unit);
  countStatement(Counts, unit.Served.Reads, StatementOutcome::NotRun,
                 Time.now() - unit.Began);
  countRefusal(Counts, why, Time.now() - unit.Began);
  telemetry::log(
      Event::StatementRefused,
      {field("request", unit.It.Id), field("database", session.Database.Value),
       field("group", unit.Served.Group.Value), field("why", why),
       field("version", unit.Version), field("tries", unit.Tries),
       field("last_target", unit.Target.Value),
       field("waited_ms",
             std::chrono::duration_cast<milliseconds>(Time.now() - unit.Began)
                 .count()),
       field("retry_after_ms", retryAfter.count())});
  if (session.State == TransactionState::Open)
    session.State = unit.It.Kind == StatementKind::Commit
                        ? TransactionState::Idle
                        : TransactionState::Failed;
  answerError(session, ErrorKind::Busy,
              fmt::format("{}; retry-after-ms={}", why, retryAfter.count()));
}

void Sessions::giveUpLost(Session &session, const char *why) {
  auto &unit = *session.Current;
  countStatement(Counts, unit.Served.Reads, StatementOutcome::Unknown,
                 Time.now() - unit.Began);
  telemetry::log(Event::OutcomeUnknown,
                 {field("request", unit.It.Id),
                  field("database", session.Database.Value),
                  field("target", unit.Target.Value), field("why", why)});
  session.State = TransactionState::Idle;
  answerError(session, ErrorKind::InDoubt, why);
}

void Sessions::resume(const GroupName &group) {
  // By priority, then those that can still be answered in time, then arrival.
  using Order = std::tuple<unsigned, bool, TimePoint, CallerId>;
  auto now = Time.now();
  std::vector<Order> parked;
  for (const auto &[id, it] : All) {
    if (!it.Current || !it.Current->Parked || it.Current->Served.Group != group)
      continue;
    const auto &unit = *it.Current;
    bool late = isLate(goalOf(unit), now);
    parked.emplace_back(unit.Served.Priority, late, unit.Began, id);
  }
  std::sort(parked.begin(), parked.end());
  for (const auto &order : parked) {
    auto *it = find(std::get<CallerId>(order));
    if (it && it->Current && it->Current->Parked)
      place(*it);
  }
}

void Sessions::tickSession(Session &session, TimePoint now) {
  if (session.Current) {
    auto &unit = *session.Current;
    if (unit.RunAt && now >= *unit.RunAt) {
      if (session.State == TransactionState::Open && session.Open.Lease.valid())
        runHeld(session);
      else
        place(session);
    } else if (unit.Parked)
      place(session);
    return;
  }
  bool open = session.State != TransactionState::Idle;
  if (open && session.Open.Lease.valid() &&
      now - session.Active >= Table.TransactionIdle) {
    telemetry::log(Event::TransactionIdle,
                   {field("database", session.Database.Value),
                    field("target", session.Open.Target.Value)});
    dropLease(session.Open.Lease);
    session.Open.Lease = {};
    session.Open.Gone = true;
  }
  if (!StoppingSince)
    return;
  bool rests = !open && now - *StoppingSince >= limits::StopQuiet;
  bool over = now >= TransactionsUntil;
  if (rests || over) {
    auto id = session.Id;
    closed(id);
    Port.close(id);
  }
}

void Sessions::tick() {
  auto now = Time.now();
  std::vector<CallerId> ids;
  ids.reserve(All.size());
  for (const auto &[id, it] : All)
    if (it.Current || it.State != TransactionState::Idle || StoppingSince)
      ids.push_back(id);
  for (auto id : ids)
    if (auto *it = find(id))
      tickSession(*it, now);
}

void Sessions::stop(Duration limit) {
  auto now = Time.now();
  StoppingSince = now;
  TransactionsUntil = now + limit / 2;
  StopAt = now + limit - limits::StopReserve;
}

bool Sessions::isStopped() const {
  return StoppingSince && (All.empty() || Time.now() >= StopAt);
}

} // namespace peridotfall::proxy
