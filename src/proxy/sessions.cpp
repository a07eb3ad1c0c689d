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
    : Targets(groups), Port(port), Metrics(metrics), Time(clock),
      RoutesConfirmedAt(clock.now()) {
  Targets.OnLeaderKnown = [this](const GroupName &group) { resume(group); };
  Targets.OnWaited = [this](Duration waited) {
    countWait(Metrics, WaitReason::Connection, waited);
  };
  Targets.OnRefused = [this](QueueRefusal why) {
    countQueueRefusal(Metrics, why);
  };
}

Sessions::Session *Sessions::find(CallerId caller) {
  auto it = All.find(caller);
  return it == All.end() ? nullptr : &it->second;
}

bool Sessions::applyRoutes(const RoutingTable &table) {
  // A list may be read late. Going back to an older version would route
  // sessions by a configuration that an operator has replaced.
  if (table.Version <= Table.Version)
    return false;
  Table = table;
  std::vector<CallerId> ids;
  for (const auto &[id, it] : All)
    ids.push_back(id);
  for (auto id : ids) {
    auto *it = find(id);
    if (it && it->HandshakeDone)
      updateAccount(*it);
    else if (it)
      acceptOrReject(*it);
  }
  return true;
}

std::optional<AccountName> Sessions::accountOf(const Session &session) const {
  auto route = Table.Routes.find(session.Database);
  bool isPublic = route != Table.Routes.end() && route->second.Public;
  if (!Table.Accounts || isPublic)
    return AccountName();
  const auto *it =
      session.Key ? Table.Accounts->findByKey(*session.Key) : nullptr;
  return it ? std::optional(it->Name) : std::nullopt;
}

/// A transaction begun for another account stays with that account's connection
/// and fails at its next statement.
void Sessions::updateAccount(Session &session) {
  auto now = accountOf(session);
  session.KeyRemoved = !now;
  if (now)
    session.Account = *now;
  else if (!session.Current)
    endForRemovedKey(session);
}

void Sessions::endForRemovedKey(Session &session) {
  telemetry::log(Event::KeyRemoved, {field("account", session.Account.Value),
                                     field("database", session.Database.Value),
                                     field("version", Table.Version)});
  auto id = session.Id;
  closed(id);
  Port.reject(id, {ErrorKind::KeyUnknown, "the key was removed"});
}

void Sessions::start(CallerId caller, const DatabaseName &database,
                     const std::optional<KeyDigest> &key) {
  auto &it = All[caller];
  it.Id = caller;
  it.Database = database;
  it.Key = key;
  it.LastActive = Time.now();
  // Until a configuration is known, no database or key can be reported as
  // unknown.
  if (Table.Version != 0)
    acceptOrReject(it);
}

void Sessions::acceptOrReject(Session &session) {
  if (!Table.Routes.contains(session.Database)) {
    rejectStart(session, Event::SessionRejected,
                {ErrorKind::NoDatabase, "no route has this name"});
    return;
  }
  auto account = accountOf(session);
  if (!account) {
    rejectStart(session, Event::KeyRejected,
                {ErrorKind::KeyUnknown, "the key belongs to no account"});
    return;
  }
  session.Account = *account;
  session.HandshakeDone = true;
  Port.completeHandshake(session.Id);
  advance(session);
}

void Sessions::rejectStart(const Session &session, Event event,
                           const StatementError &why) {
  telemetry::log(event, {field("database", session.Database.Value),
                         field("version", Table.Version),
                         field("confirmed_ms_ago", routesAge().count())});
  auto id = session.Id;
  All.erase(id);
  Port.reject(id, why);
}

void Sessions::statement(CallerId caller, Statement it) {
  auto *session = find(caller);
  if (!session)
    return;
  session->LastActive = Time.now();
  if (session->Inbox.size() >= limits::MaxPipelinedStatements) {
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
    const auto &run = *session.Current;
    auto *group = Targets.find(run.AssignedRoute.Group);
    if (run.InFlight && group)
      group->ReadPlacement.dropped(run.Target);
    releaseLease(run.Lease);
    if (run.Hedge && group)
      group->ReadPlacement.dropped(run.Hedge->Target);
    if (run.Hedge)
      releaseLease(run.Hedge->Lease);
  }
  if (session.State != TransactionState::Idle)
    releaseLease(session.Open.Lease);
}

void Sessions::releaseLease(LeaseId lease) {
  if (lease.valid())
    Targets.abandon(lease);
}

void Sessions::advance(Session &session) {
  auto id = session.Id;
  auto *it = &session;
  while (it && it->HandshakeDone && !it->Current) {
    if (it->KeyRemoved) {
      endForRemovedKey(*it);
      return;
    }
    if (isStopDue(*it)) {
      // A caller that sends without a pause would keep the session open.
      if (!it->LeftBeforeStop)
        it->LeftBeforeStop = it->Inbox.size();
      if (*it->LeftBeforeStop == 0) {
        closeForStop(*it);
        return;
      }
      --*it->LeftBeforeStop;
    }
    if (it->Inbox.empty())
      return;
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
    releaseLease(session.Open.Lease);
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
  beginRun(session, std::move(it));
}

/// Statements that only change the session's state are answered here. The state
/// is set up on a target connection once a statement needs it there.
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
  auto known = session.PreparedStatements.find(it.Name);
  if (known == session.PreparedStatements.end())
    return false;
  it.Body = known->second;
  it.Name = earlierName(it.Body);
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
  session.Open.Account = session.Account;
  session.Open.AssignedRoute = route->second;
  session.Open.Version = Table.Version;
  session.State = TransactionState::Open;
  answerDone(session);
}

void Sessions::rollBack(Session &session) {
  releaseLease(session.Open.Lease);
  session.Open = {};
  session.State = TransactionState::Idle;
  answerDone(session);
}

void Sessions::set(Session &session, const Statement &it) {
  std::size_t bytes = it.Name.size() + it.Argument.size();
  for (const auto &[name, value] : session.Set)
    bytes += name == it.Name ? 0 : name.size() + value.size();
  bool isNew = !session.Set.contains(it.Name);
  if ((isNew && session.Set.size() >= limits::MaxSessionNames) ||
      bytes > limits::MaxSessionBytes) {
    answerError(session, ErrorKind::Malformed, "too many values");
    return;
  }
  session.Set[it.Name] = it.Argument;
  answerDone(session);
}

void Sessions::prepare(Session &session, const Statement &it) {
  std::size_t bytes = it.Name.size() + it.Body.Shape.size();
  for (const auto &[name, body] : session.PreparedStatements)
    bytes += name == it.Name ? 0 : name.size() + body.Shape.size();
  bool isNew = !session.PreparedStatements.contains(it.Name);
  if ((isNew && session.PreparedStatements.size() >= limits::MaxSessionNames) ||
      bytes > limits::MaxSessionBytes) {
    answerError(session, ErrorKind::Malformed, "too many prepared statements");
    return;
  }
  session.PreparedStatements[it.Name] = it.Body;
  answerDone(session);
}

void Sessions::deallocate(Session &session, const std::string &name) {
  session.PreparedStatements.erase(name);
  answerDone(session);
}

void Sessions::deliver(Session &session, Answer answer) {
  auto id = session.Id;
  const auto &run = *session.Current;
  countStatement(Metrics, run.AssignedRoute.Reads,
                 answer.ok() ? StatementOutcome::Served
                             : StatementOutcome::TargetError,
                 Time.now() - run.StartedAt);
  logServed(session, answer);
  session.State = answer.State;
  session.Current.reset();
  session.LastActive = Time.now();
  if (session.State == TransactionState::Idle) {
    releaseLease(session.Open.Lease);
    session.Open = {};
  }
  Port.answer(id, answer);
  advance(session);
}

/// Logs every error answered by a target, and a sample of the successes.
void Sessions::logServed(const Session &session, const Answer &answer) const {
  const auto &run = *session.Current;
  if (answer.ok() && !telemetry::isSampled(run.Request.Id))
    return;
  auto notBefore = run.Sent.Statements[0].NotBefore;
  telemetry::log(
      answer.ok() ? Event::StatementServed : Event::StatementFailed,
      {field("request", run.Request.Id),
       field("database", session.Database.Value),
       field("account", run.Account.Value), field("target", run.Target.Value),
       field("tries", run.Attempts), field("version", run.Version),
       field("confirmed_ms_ago", routesAge().count()),
       field("not_before", notBefore ? fmt::format("{}.{}", notBefore->InTerm,
                                                   notBefore->Index)
                                     : "-"),
       field("answer", answer.ok() ? "ok" : nameOf(answer.Error->Kind)),
       field("took_ms", std::chrono::duration_cast<milliseconds>(Time.now() -
                                                                 run.StartedAt)
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

/// Answers that the statement was not run. A single statement has had no
/// effect, and a transaction that was to begin at a target is not open there.
void Sessions::refuse(Session &session, milliseconds retryAfter,
                      const char *why) {
  auto &run = *session.Current;
  endWait(run);
  countStatement(Metrics, run.AssignedRoute.Reads, StatementOutcome::NotRun,
                 Time.now() - run.StartedAt);
  countRefusal(Metrics, why, Time.now() - run.StartedAt);
  telemetry::log(Event::StatementRefused,
                 {field("request", run.Request.Id),
                  field("database", session.Database.Value),
                  field("account", run.Account.Value),
                  field("group", run.AssignedRoute.Group.Value),
                  field("why", why), field("version", run.Version),
                  field("tries", run.Attempts),
                  field("last_target", run.Target.Value),
                  field("waited_ms", std::chrono::duration_cast<milliseconds>(
                                         Time.now() - run.StartedAt)
                                         .count()),
                  field("retry_after_ms", retryAfter.count())});
  if (session.State == TransactionState::Open)
    session.State = run.Request.Kind == StatementKind::Commit
                        ? TransactionState::Idle
                        : TransactionState::Failed;
  answerError(session, ErrorKind::Busy,
              fmt::format("{}; retry-after-ms={}", why, retryAfter.count()));
}

void Sessions::answerUnknownOutcome(Session &session, const char *why) {
  auto &run = *session.Current;
  countStatement(Metrics, run.AssignedRoute.Reads, StatementOutcome::Unknown,
                 Time.now() - run.StartedAt);
  telemetry::log(Event::OutcomeUnknown,
                 {field("request", run.Request.Id),
                  field("database", session.Database.Value),
                  field("account", run.Account.Value),
                  field("target", run.Target.Value), field("why", why)});
  session.State = TransactionState::Idle;
  answerError(session, ErrorKind::InDoubt, why);
}

void Sessions::rejectSetup(Session &session, const StatementError &why) {
  auto &run = *session.Current;
  bool commit = run.Request.Kind == StatementKind::Commit;
  countStatement(Metrics, run.AssignedRoute.Reads,
                 StatementOutcome::TargetError, Time.now() - run.StartedAt);
  Answer answer;
  answer.Error = why;
  logServed(session, answer);
  if (session.State == TransactionState::Open)
    session.State = commit ? TransactionState::Idle : TransactionState::Failed;
  // A commit that was not sent ends its transaction all the same.
  answerError(session, commit ? ErrorKind::Aborted : why.Kind, why.Detail);
}

void Sessions::resume(const GroupName &group) {
  // By priority; then statements that can still meet their goal; then by
  // arrival. With accounts, statements that are late come last: by the end of a
  // change of primary there are more than can be run in time.
  using Order = std::tuple<bool, unsigned, bool, TimePoint, CallerId>;
  auto now = Time.now();
  std::vector<Order> parked;
  for (const auto &[id, it] : All) {
    if (!it.Current || !it.Current->Parked ||
        it.Current->AssignedRoute.Group != group)
      continue;
    const auto &run = *it.Current;
    bool late = isLate(goalOf(run), now);
    parked.emplace_back(late && hasAccounts(), run.AssignedRoute.Priority, late,
                        run.StartedAt, id);
  }
  std::sort(parked.begin(), parked.end());
  for (const auto &order : parked) {
    auto *it = find(std::get<CallerId>(order));
    if (it && it->Current && it->Current->Parked)
      proceed(*it);
  }
}

void Sessions::tickSession(Session &session, TimePoint now) {
  if (session.Current) {
    auto &run = *session.Current;
    if (run.Parked || (run.RunAt && now >= *run.RunAt))
      proceed(session);
    else if (run.InFlight)
      hedgeIfLate(session, now);
    return;
  }
  bool open = session.State != TransactionState::Idle;
  if (open && session.Open.Lease.valid() &&
      now - session.LastActive >= Table.TransactionIdle) {
    telemetry::log(Event::TransactionIdle,
                   {field("database", session.Database.Value),
                    field("target", session.Open.Target.Value)});
    releaseLease(session.Open.Lease);
    session.Open.Lease = {};
    session.Open.ConnectionLost = true;
  }
  if (!isStopDue(session))
    return;
  if (session.HandshakeDone)
    advance(session);
  else
    closeForStop(session);
}

bool Sessions::isStopDue(const Session &session) const {
  if (!StoppingSince)
    return false;
  bool open = session.State != TransactionState::Idle;
  return Time.now() >= (open ? TransactionStopDeadline
                             : *StoppingSince + limits::IdleSessionStopDelay);
}

void Sessions::closeForStop(Session &session) {
  auto id = session.Id;
  bool open = session.State != TransactionState::Idle;
  auto unserved = std::exchange(session.Inbox, {});
  closed(id);
  for (std::size_t n = 0; n < unserved.size(); ++n) {
    Answer answer;
    answer.Error = StatementError{open ? ErrorKind::Aborted : ErrorKind::Busy,
                                  "the daemon is stopping; retry-after-ms=0"};
    Port.answer(id, answer);
  }
  Port.close(id);
}

void Sessions::endForStop(Session &session) {
  auto &run = *session.Current;
  bool isCommit = run.Request.Kind == StatementKind::Commit;
  bool commitsWrites =
      isCommit ? session.Open.Wrote
               : session.State == TransactionState::Idle && writes(run.Request);
  bool maybeSent = isCommit ? !run.RunAt : run.InFlight;
  if (commitsWrites && maybeSent)
    answerUnknownOutcome(session, "the daemon is stopping");
  else
    refuse(session, milliseconds{}, "the daemon is stopping");
}

void Sessions::tick() {
  auto now = Time.now();
  bool isStopOver = StoppingSince && now >= StopDeadline;
  std::vector<CallerId> ids;
  ids.reserve(All.size());
  for (const auto &[id, it] : All)
    if (it.Current || it.State != TransactionState::Idle || StoppingSince)
      ids.push_back(id);
  for (auto id : ids) {
    auto *it = find(id);
    if (it && it->Current && isStopOver)
      endForStop(*it);
    else if (it)
      tickSession(*it, now);
  }
}

void Sessions::stop(Duration limit) {
  auto now = Time.now();
  StoppingSince = now;
  TransactionStopDeadline = now + limit / 2;
  StopDeadline = now + limit - limits::LastAnswersReserve;
}

} // namespace peridotfall::proxy
