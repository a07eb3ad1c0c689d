// How a caller's statement is placed, run and tried again.

#include "proxy/sessions.h"

#include "telemetry/events.h"

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
  if (inTransaction) {
    unit.Served = session.Open.Served;
    unit.Version = session.Open.Version;
  } else {
    auto route = Table.Routes.find(session.Database);
    if (route == Table.Routes.end()) {
      rejectRemoved(session, it);
      return;
    }
    unit.Served = route->second;
    unit.Version = Table.Version;
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
    pause(unit, WaitPlace::Replica, now + choice.WaitBefore);
    return;
  }
  sendFirst(session, choice.Target, false, least);
}

std::optional<TimePoint> Sessions::goalOf(const Unit &unit) {
  if (unit.Served.Goal.count() == 0)
    return std::nullopt;
  return unit.Began + unit.Served.Goal;
}

TimePoint Sessions::primaryWaitEnd(const Unit &unit) {
  return unit.Began +
         share(unit.Served.StatementLimit, limits::PrimaryWaitShare);
}

void Sessions::park(Session &session) {
  auto &unit = *session.Current;
  unit.Parked = true;
  beginWait(unit, WaitPlace::Primary);
  if (Time.now() >= primaryWaitEnd(unit))
    refuse(session, limits::PrimaryRetryAfter, "no primary to run it");
}

void Sessions::pause(Unit &unit, WaitPlace place, TimePoint until) {
  beginWait(unit, place);
  unit.RunAt = until;
}

void Sessions::beginWait(Unit &unit, WaitPlace place) {
  if (unit.WaitsSince && unit.WaitsFor == place)
    return;
  endWait(unit);
  unit.WaitsSince = Time.now();
  unit.WaitsFor = place;
}

void Sessions::endWait(Unit &unit) {
  if (unit.WaitsSince)
    countWait(Counts, unit.WaitsFor, Time.now() - *unit.WaitsSince);
  unit.WaitsSince.reset();
}

void Sessions::countAnswers(const BatchResult &result) {
  for (const auto &it : result.Answers)
    countAnswer(Counts, it.Error);
  if (result.End == BatchEnd::Lost)
    countNoAnswer(Counts);
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

/// The answer to a unit that has ended, or whose caller has gone, is dropped.
OnBatch Sessions::guarded(const Session &session, UnitHandler then) {
  return [this, id = session.Id, serial = session.Current->Serial,
          then](const BatchResult &result) {
    auto *it = find(id);
    if (it && it->Current && it->Current->Serial == serial)
      (this->*then)(*it, result);
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
  // Load: all callers come back at once after an outage. A read that only the
  // primary may run waits there as long as a write, and is late instead of
  // refused three times in a moment.
  auto wait =
      atPrimary ? primaryWaitEnd(unit) - now : Duration(limits::ReadWait);
  endWait(unit);
  ++unit.Tries;
  unit.Target = target;
  unit.Sent = batch;
  unit.SentAt = now;
  if (auto *group = Targets.find(unit.Served.Group))
    group->Reads.started(target);
  unit.Placed = true;
  LeaseRequest request;
  request.Target = target;
  request.Priority = unit.Served.Priority;
  request.Wait =
      std::clamp<Duration>(wait, Duration{}, left - limits::LeastTry);
  request.Total = left;
  if (auto goal = goalOf(unit))
    request.GoalLeft = *goal - now;
  unit.Lease = Targets.begin(request, std::move(batch),
                             guarded(session, &Sessions::onFirst));
}

void Sessions::report(Session &session, Group &group,
                      const BatchResult &result) {
  const auto &unit = *session.Current;
  auto now = Time.now();
  countAnswers(result);
  AnswerReport report;
  report.Target = unit.Target;
  report.FromPrimary = isAtPrimary(unit);
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

bool Sessions::isAtPrimary(const Unit &unit) const {
  const auto *group = Targets.find(unit.Served.Group);
  return group && group->View.leader() == unit.Target;
}

void Sessions::onFirst(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  unit.Placed = false;
  if (auto *group = Targets.find(unit.Served.Group))
    report(session, *group, result);
  switch (result.End) {
  case BatchEnd::Whole:
    onFirstWhole(session, result);
    return;
  case BatchEnd::NotRun:
    unit.Lease = {};
    // Only the primary may run what came to it, and to wait on would leave the
    // caller no time to come back.
    if (result.QueueFull && isAtPrimary(unit))
      refuse(session, limits::BusyRetryAfter, "more waits than runs in time");
    else
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
    countRead(unit, answer);
  deliver(session, std::move(answer));
}

void Sessions::countRead(const Unit &unit, const Answer &answer) {
  auto *group = Targets.find(unit.Served.Group);
  if (!unit.Sent.Statements[0].NotBefore)
    Counts.PrimaryReads->Increment();
  else if (group && answer.At)
    countReplicaRead(Counts, group->View.ageOf(*answer.At, Time.now()));
}

void Sessions::runHeld(Session &session) {
  auto &unit = *session.Current;
  auto now = Time.now();
  endWait(unit);
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
  Targets.run(session.Open.Lease, std::move(batch),
              guarded(session, &Sessions::onHeld));
}

void Sessions::onHeld(Session &session, const BatchResult &result) {
  auto &unit = *session.Current;
  countAnswers(result);
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
    pause(unit, WaitPlace::Slot, again);
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
  bool busy = why == ErrorKind::Busy || why == ErrorKind::ConnectionLimit;
  if (busy && unit.PrimaryOnly) {
    retryBusy(session, now);
    return;
  }
  if (now + limits::LeastTry >= unit.Until || unit.Tries >= limits::MostTries) {
    refuse(session,
           unit.PrimaryOnly ? limits::PrimaryRetryAfter
                            : limits::BusyRetryAfter,
           nameOf(why));
    return;
  }
  place(session);
}

/// Load: a primary with more to do than it can. There is no other place for
/// the statement, so it is tried there while it has time to run, with pauses
/// that grow so that the tries are not a load of their own.
void Sessions::retryBusy(Session &session, TimePoint now) {
  auto &unit = *session.Current;
  auto span = std::min(limits::BusyPause * unit.Tries, limits::MostBusyPause);
  if (now + span >= primaryWaitEnd(unit))
    refuse(session, limits::BusyRetryAfter, nameOf(ErrorKind::Busy));
  else
    pause(unit, WaitPlace::Slot, now + span);
}
} // namespace peridotfall::proxy
