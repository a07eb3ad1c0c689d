#include "proxy/sessions.h"

#include "telemetry/events.h"
#include "telemetry/line_limiter.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

Duration share(milliseconds whole, double part) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Duration(whole).count()) * part));
}

Statement ownStatement(StatementKind kind) {
  Statement it;
  it.Kind = kind;
  return it;
}

bool writes(const Statement &it) {
  return it.Kind == StatementKind::Write ||
         (it.Kind == StatementKind::Execute && it.Body.Writes);
}

bool reads(const Statement &it) {
  return it.Kind == StatementKind::Read ||
         (it.Kind == StatementKind::Execute && !it.Body.Writes);
}

const char *nameOf(ErrorKind it) {
  switch (it) {
  case ErrorKind::Busy:
    return "busy";
  case ErrorKind::Aborted:
    return "aborted";
  case ErrorKind::Lagging:
    return "lagging";
  case ErrorKind::ReadOnly:
    return "not primary";
  case ErrorKind::WrongTarget:
    return "wrong target";
  case ErrorKind::ConnectionLimit:
    return "connection limit";
  case ErrorKind::Failed:
    return "failed";
  case ErrorKind::TimedOut:
    return "timed out";
  case ErrorKind::InDoubt:
    return "in doubt";
  case ErrorKind::NoStatement:
    return "no such statement";
  case ErrorKind::Malformed:
    return "malformed";
  case ErrorKind::NoDatabase:
    return "no such database";
  case ErrorKind::Other:
    break;
  }
  return "other";
}

/// Placement's word for an answer.
AnswerCode codeOf(const BatchResult &result) {
  if (result.End == BatchEnd::NotRun)
    return AnswerCode::Busy;
  if (result.End == BatchEnd::Lost)
    return AnswerCode::ConnectionLost;
  for (const auto &it : result.Answers) {
    if (it.ok())
      continue;
    switch (it.Error->Kind) {
    case ErrorKind::Lagging:
      return AnswerCode::Behind;
    case ErrorKind::Busy:
      return AnswerCode::Overloaded;
    case ErrorKind::ReadOnly:
      return AnswerCode::NotPrimary;
    default:
      return AnswerCode::SqlError;
    }
  }
  return AnswerCode::Ok;
}

} // namespace

Sessions::Sessions(Groups &groups, CallerPort &port, ProxyMetrics &metrics,
                   const Clock &clock)
    : Targets(groups), Port(port), Counts(metrics), Time(clock) {
  Targets.OnLeader = [this](const GroupName &group) { resume(group); };
}

Sessions::Session *Sessions::find(CallerId caller) {
  auto it = All.find(caller);
  return it == All.end() ? nullptr : &it->second;
}

void Sessions::takeRoutes(const RoutingTable &table) {
  Table = table;
  std::vector<CallerId> waiting;
  for (const auto &[id, it] : All)
    if (!it.Greeted)
      waiting.push_back(id);
  for (auto id : waiting)
    if (auto *it = find(id))
      greet(*it);
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
                    field("version", Table.Version)});
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
  if (session.Current)
    dropLease(session.Current->Lease);
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
    begin(session, it.Kind == StatementKind::BeginRead);
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

void Sessions::begin(Session &session, bool readOnly) {
  if (session.State != TransactionState::Idle) {
    answerError(session, ErrorKind::Malformed, "a transaction is open");
    return;
  }
  auto route = Table.Routes.find(session.Database);
  if (route == Table.Routes.end()) {
    answerError(session, ErrorKind::NoDatabase, "the route was removed");
    return;
  }
  session.Open = {};
  session.Open.ReadOnly = readOnly;
  session.Open.Served = route->second;
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

void Sessions::beginUnit(Session &session, Statement it) {
  auto now = Time.now();
  bool inTransaction = session.State == TransactionState::Open;
  if (inTransaction && session.Open.Gone) {
    session.State = TransactionState::Failed;
    answerError(session, ErrorKind::Aborted,
                "the transaction's connection was lost");
    return;
  }
  Unit unit;
  if (inTransaction)
    unit.Served = session.Open.Served;
  else {
    auto route = Table.Routes.find(session.Database);
    if (route == Table.Routes.end()) {
      answerError(session, ErrorKind::NoDatabase, "the route was removed");
      return;
    }
    unit.Served = route->second;
  }
  unit.Serial = ++LastSerial;
  unit.Began = now;
  unit.Until = now + unit.Served.StatementLimit;
  unit.PrimaryOnly = unit.Served.Reads == Guarantee::Primary || writes(it) ||
                     (inTransaction && !session.Open.ReadOnly);
  unit.It = std::move(it);
  session.Current = std::move(unit);
  if (inTransaction && session.Open.Lease.valid())
    runHeld(session);
  else
    place(session);
}

void Sessions::place(Session &session) {
  auto &unit = *session.Current;
  unit.Parked = false;
  unit.RunAt.reset();
  auto *group = Targets.use(unit.Served.Group);
  if (!group || group->Targets.empty()) {
    park(session);
    return;
  }
  if (unit.PrimaryOnly)
    placeAtPrimary(session, *group);
  else
    placeRead(session, *group);
}

void Sessions::placeAtPrimary(Session &session, Group &group) {
  auto leader = Targets.writable(group);
  // A primary that cannot be reached is waited for like one not known.
  if (!leader || Targets.unreachableSince(*leader)) {
    park(session);
    return;
  }
  sendFirst(session, *leader, true, std::nullopt);
}

/// Load: sessions that roam over replicas that lag. A read goes where the log
/// has all that the route's bound and the session's own commits ask for; the
/// primary proves its lead instead when no such position is known.
void Sessions::placeRead(Session &session, Group &group) {
  auto &unit = *session.Current;
  auto now = Time.now();
  const auto &route = unit.Served;
  bool own = route.Reads == Guarantee::ReadYourWrites;
  std::optional<Position> least;
  if (own && route.MaxStaleness.count() == 0)
    least = Position{};
  else
    least = group.View.positionFor(route.MaxStaleness, now);
  constexpr unsigned ReplicaTries = 2;
  if (!least || unit.Tries > ReplicaTries) {
    placeAtPrimary(session, group);
    return;
  }
  if (own)
    least = std::max(*least, session.Own);
  ReadDemand demand;
  demand.NotBefore = *least;
  demand.MaxAge = route.MaxStaleness;
  demand.Avoid = unit.Avoid;
  auto choice =
      group.Reads.choose(demand, Targets.candidates(group), true, now);
  if (choice.Target.empty()) {
    placeAtPrimary(session, group);
    return;
  }
  if (choice.WaitBefore > limits::NoWait) {
    unit.RunAt = now + choice.WaitBefore;
    return;
  }
  sendFirst(session, choice.Target, false, least);
}

void Sessions::park(Session &session) {
  auto &unit = *session.Current;
  unit.Parked = true;
  auto limit =
      unit.Began + share(unit.Served.StatementLimit, limits::PrimaryWaitShare);
  if (Time.now() >= limit)
    refuse(session, limits::PrimaryRetryAfter, "no primary to run it");
}

Batch Sessions::composeFirst(const Session &session, bool atPrimary,
                             std::optional<Position> notBefore) const {
  const auto &unit = *session.Current;
  bool inTransaction = session.State == TransactionState::Open;
  Batch out;
  out.Session = session.Set;
  if (unit.It.Kind == StatementKind::Execute)
    out.Needs = {unit.It.Body};
  bool proves = !inTransaction && atPrimary && reads(unit.It);
  if (inTransaction || proves) {
    out.Statements = {ownStatement(atPrimary ? StatementKind::Begin
                                             : StatementKind::BeginRead)};
    if (!atPrimary)
      out.Statements[0].NotBefore = notBefore;
  }
  // What is sent along with a beginning that fails runs by itself: a read of
  // the transaction outside of it, a write that nobody commits. So it waits
  // for the answer. A lone read may run so; its row is then dropped.
  if (inTransaction)
    return out;
  out.Statements.push_back(unit.It);
  if (proves)
    out.Statements.push_back(ownStatement(StatementKind::Rollback));
  else if (reads(unit.It))
    out.Statements[0].NotBefore = notBefore;
  out.EndsLease = true;
  return out;
}

template <class Then>
OnBatch Sessions::guarded(const Session &session, Then then) {
  return [this, id = session.Id, serial = session.Current->Serial,
          then](const BatchResult &result) {
    auto *it = find(id);
    if (it && it->Current && it->Current->Serial == serial)
      then(*it, result);
  };
}

void Sessions::sendFirst(Session &session, const TargetName &target,
                         bool atPrimary, std::optional<Position> notBefore) {
  auto &unit = *session.Current;
  auto now = Time.now();
  auto left = unit.Until - now;
  if (left < limits::LeastTry) {
    refuse(session, limits::BusyRetryAfter, "no time left");
    return;
  }
  auto batch = composeFirst(session, atPrimary, notBefore);
  bool repeatable = !writes(unit.It);
  auto patience = std::max<Duration>(
      share(unit.Served.StatementLimit, limits::ReadPatienceShare),
      limits::LeastReadPatience);
  batch.Patience = repeatable ? std::min<Duration>(left, patience) : left;
  auto wait = unit.PrimaryOnly
                  ? share(unit.Served.StatementLimit, limits::PrimaryWaitShare)
                  : Duration(limits::ReadWait);
  ++unit.Tries;
  unit.Target = target;
  unit.Sent = batch;
  unit.SentAt = now;
  if (auto *group = Targets.find(unit.Served.Group))
    group->Reads.started(target);
  LeaseRequest request{target, unit.Served.Priority,
                       std::min<Duration>(wait, left - limits::LeastTry), left};
  auto then = [this](Session &it, const BatchResult &r) { onFirst(it, r); };
  unit.Lease = Targets.begin(request, std::move(batch), guarded(session, then));
}

void Sessions::report(Session &session, Group &group,
                      const BatchResult &result) {
  const auto &unit = *session.Current;
  auto now = Time.now();
  AnswerReport report;
  report.Target = unit.Target;
  report.FromPrimary = group.View.leader() == unit.Target;
  report.Code = codeOf(result);
  report.Mode = reads(unit.It) ? Access::FreshRead : Access::Write;
  report.Ran = now - unit.SentAt;
  if (!result.Answers.empty() && result.Answers.back().At)
    report.At = *result.Answers.back().At;
  if (!unit.Sent.Statements.empty() && unit.Sent.Statements[0].NotBefore)
    report.NotBefore = *unit.Sent.Statements[0].NotBefore;
  auto replicas = group.Targets.empty() ? 0 : group.Targets.size() - 1;
  group.Reads.answered(report, replicas, now);
  bool plain = unit.Sent.Statements[0].Kind == StatementKind::Begin;
  Targets.learn(group, unit.Target, unit.Sent, result, plain, unit.SentAt);
}

void Sessions::onFirst(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  if (auto *group = Targets.find(unit.Served.Group))
    report(session, *group, result);
  switch (result.End) {
  case BatchEnd::Whole:
    onFirstWhole(session, result);
    return;
  case BatchEnd::NotRun:
    unit.Lease = {};
    retry(session, result.Why.Kind);
    return;
  case BatchEnd::Lost:
    unit.Lease = {};
    break;
  }
  // Only a write that runs by itself may have left something.
  if (!unit.Sent.EndsLease || !writes(unit.It))
    retry(session, ErrorKind::TimedOut);
  else
    giveUpLost(session, result.Why.Detail.c_str());
}

void Sessions::onFirstWhole(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  auto lease = result.Kept ? unit.Lease : LeaseId{};
  bool ownFirst = unit.Sent.Statements[0].Id.empty();
  const auto &beginning = result.Answers[0];
  if (ownFirst && !beginning.ok()) {
    dropLease(lease);
    unit.Lease = {};
    retry(session, beginning.Error->Kind);
    return;
  }
  bool onlyBegan = ownFirst && result.Answers.size() == 1;
  if (onlyBegan) {
    session.Open.Lease = lease;
    session.Open.Target = unit.Target;
    runHeld(session);
    return;
  }
  auto answer = result.Answers[ownFirst ? 1 : 0];
  bool again = answer.Error && (saysNotRun(answer.Error->Kind) ||
                                (answer.Error->Kind == ErrorKind::Failed &&
                                 reads(unit.It) && unit.Tries == 1));
  if (again) {
    dropLease(lease);
    unit.Lease = {};
    retry(session, answer.Error->Kind);
    return;
  }
  if (session.State == TransactionState::Open) {
    session.Open.Lease = lease;
    session.Open.Target = unit.Target;
  } else {
    answer.State = TransactionState::Idle;
    if (writes(unit.It) && answer.ok() && answer.At)
      session.Own = std::max(session.Own, *answer.At);
  }
  if (reads(unit.It) && answer.ok())
    (unit.Sent.Statements[0].NotBefore ? Counts.ReplicaReads
                                       : Counts.PrimaryReads)
        ->Increment();
  deliver(session, std::move(answer));
}

/// Runs the statement on the connection that its transaction holds.
void Sessions::runHeld(Session &session) {
  auto &unit = *session.Current;
  auto now = Time.now();
  Batch batch;
  batch.Session = session.Set;
  if (unit.It.Kind == StatementKind::Execute)
    batch.Needs = {unit.It.Body};
  batch.Statements = {unit.It};
  batch.EndsLease = unit.It.Kind == StatementKind::Commit;
  batch.Patience = std::max<Duration>(unit.Until - now, limits::LeastTry);
  unit.RunAt.reset();
  unit.Sent = batch;
  unit.SentAt = now;
  unit.Target = session.Open.Target;
  unit.Lease = {};
  auto then = [this](Session &it, const BatchResult &r) { onHeld(it, r); };
  Targets.run(session.Open.Lease, std::move(batch), guarded(session, then));
}

void Sessions::onHeld(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  bool plain =
      !session.Open.ReadOnly || session.Open.Served.Reads == Guarantee::Primary;
  if (auto *group = Targets.find(unit.Served.Group))
    Targets.learn(*group, unit.Target, unit.Sent, result, plain, unit.SentAt);
  if (result.End != BatchEnd::Whole) {
    lostHeld(session, result);
    return;
  }
  auto answer = result.Answers[0];
  bool stillOpen = answer.State == TransactionState::Open;
  bool busy = answer.Error && answer.Error->Kind == ErrorKind::Busy;
  auto again = Time.now() + limits::BusyPause;
  if (busy && stillOpen && result.Kept &&
      again + limits::LeastTry < unit.Until) {
    unit.RunAt = again;
    return;
  }
  if (unit.It.Kind == StatementKind::Commit) {
    session.Open.Lease = {};
    if (answer.ok() && session.Open.Wrote && answer.At)
      session.Own = std::max(session.Own, *answer.At);
  } else if (answer.State == TransactionState::Idle) {
    dropLease(session.Open.Lease);
    session.Open.Lease = {};
  }
  if (writes(unit.It))
    session.Open.Wrote = true;
  deliver(session, std::move(answer));
}

void Sessions::lostHeld(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  session.Open.Lease = {};
  bool commit = unit.It.Kind == StatementKind::Commit;
  telemetry::log(Event::TransactionLost, {field("request", unit.It.Id),
                                          field("target", unit.Target.Value),
                                          field("why", result.Why.Detail),
                                          field("commit_sent", commit)});
  // Without a byte of the commit sent, the transaction was rolled back.
  if (commit && session.Open.Wrote && result.End == BatchEnd::Lost) {
    giveUpLost(session, result.Why.Detail.c_str());
    return;
  }
  session.State = commit ? TransactionState::Idle : TransactionState::Failed;
  answerError(session, ErrorKind::Aborted,
              fmt::format("{}; retry-after-ms={}", result.Why.Detail,
                          limits::BusyRetryAfter.count()));
}

void Sessions::retry(Session &session, ErrorKind why) {
  auto &unit = *session.Current;
  auto now = Time.now();
  countRetry(Counts, nameOf(why));
  telemetry::log(Event::StatementRetried,
                 {field("request", unit.It.Id),
                  field("target", unit.Target.Value), field("why", nameOf(why)),
                  field("tries", unit.Tries)});
  unit.Avoid = unit.Target;
  if (now + limits::LeastTry >= unit.Until || unit.Tries >= limits::MostTries) {
    refuse(session,
           unit.PrimaryOnly ? limits::PrimaryRetryAfter
                            : limits::BusyRetryAfter,
           nameOf(why));
    return;
  }
  bool busy = why == ErrorKind::Busy || why == ErrorKind::ConnectionLimit;
  if (busy && unit.PrimaryOnly) {
    unit.RunAt = now + limits::BusyPause;
    return;
  }
  place(session);
}

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
       field("not_before",
             least ? fmt::format("{}.{}", least->InTerm, least->Index) : "-"),
       field("answer", answer.ok() ? "ok" : nameOf(answer.Error->Kind)),
       field("took_ms",
             std::chrono::duration_cast<milliseconds>(Time.now() - unit.Began)
                 .count())});
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
  countStatement(Counts, unit.Served.Reads, StatementOutcome::NotRun,
                 Time.now() - unit.Began);
  countRefusal(Counts, why, Time.now() - unit.Began);
  telemetry::log(
      Event::StatementRefused,
      {field("request", unit.It.Id), field("database", session.Database.Value),
       field("group", unit.Served.Group.Value), field("why", why),
       field("tries", unit.Tries), field("last_target", unit.Target.Value),
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
  std::vector<std::pair<std::pair<unsigned, TimePoint>, CallerId>> parked;
  for (const auto &[id, it] : All)
    if (it.Current && it.Current->Parked && it.Current->Served.Group == group)
      parked.push_back({{it.Current->Served.Priority, it.Current->Began}, id});
  std::sort(parked.begin(), parked.end());
  for (const auto &[order, id] : parked) {
    auto *it = find(id);
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

void Sessions::stop(TimePoint transactionsUntil) {
  StoppingSince = Time.now();
  TransactionsUntil = transactionsUntil;
}

} // namespace peridotfall::proxy
