// Chooses a target for each caller's statement, runs it there and retries it.

#include "proxy/sessions.h"

#include "base/durations.h"
#include "telemetry/events.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

/// \return the code by which placement classifies the result.
AnswerCode codeOf(const BatchResult &result) {
  if (isSetupMalformed(result))
    return AnswerCode::SqlError;
  // The connection was lost during its set-up.
  if (result.End == BatchEnd::NotRun &&
      result.Error.Kind == ErrorKind::TimedOut)
    return AnswerCode::ConnectionLost;
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

/// \return whether a batch without a transaction of its own succeeded.
bool isSuccess(const BatchResult &result) {
  return result.End == BatchEnd::Complete && !result.Answers.empty() &&
         result.Answers[0].ok();
}

/// \return whether the caller's statement may have run at the target, alone or
/// behind a statement of the proxy that failed.
bool mayHaveRun(const Batch &sent, const BatchResult &result) {
  auto own = std::find_if(sent.Statements.begin(), sent.Statements.end(),
                          [](const Statement &it) { return !it.Id.empty(); });
  if (own == sent.Statements.end() || result.End == BatchEnd::NotRun)
    return false;
  auto n = static_cast<std::size_t>(own - sent.Statements.begin());
  if (n >= result.Answers.size())
    return true;
  const auto &answer = result.Answers[n];
  return answer.ok() || !hasNotRun(answer.Error->Kind);
}

/// \return when the queue that refused the batch may have room; empty if it was
/// not refused for load.
std::optional<milliseconds> queueRetryAfter(const BatchResult &result) {
  if (!result.QueueFull)
    return std::nullopt;
  if (!result.RetryAfter)
    return limits::BusyRetryAfter;
  // It may come from another daemon.
  return std::clamp<milliseconds>(
      std::chrono::ceil<milliseconds>(*result.RetryAfter),
      limits::MinQueueRetryAfter, limits::MaxQueueRetryAfter);
}

} // namespace

void Sessions::beginRun(Session &session, Statement it) {
  auto now = Time.now();
  bool inTransaction = session.State == TransactionState::Open;
  if (inTransaction && session.Open.ConnectionLost) {
    session.State = TransactionState::Failed;
    answerError(session, ErrorKind::Aborted,
                "the transaction's connection was lost");
    return;
  }
  StatementRun run;
  if (inTransaction) {
    run.AssignedRoute = session.Open.AssignedRoute;
    run.Version = session.Open.Version;
  } else {
    auto route = Table.Routes.find(session.Database);
    if (route == Table.Routes.end()) {
      rejectRemoved(session, it);
      return;
    }
    run.AssignedRoute = route->second;
    run.Version = Table.Version;
  }
  run.Serial = ++LastSerial;
  run.Account = session.Account;
  run.StartedAt = now;
  run.Deadline = now + run.AssignedRoute.StatementLimit;
  if (StoppingSince)
    run.Deadline = std::min(run.Deadline, StopDeadline);
  run.PrimaryOnly = run.AssignedRoute.Reads == Guarantee::Primary ||
                    writes(it) || (inTransaction && !session.Open.ReadOnly);
  run.Request = std::move(it);
  session.Current = std::move(run);
  // The statements of a transaction are one operation, counted with the first.
  if (inTransaction && session.Open.Lease.valid())
    proceed(session);
  else
    admitOperation(session, &Sessions::handleAdmission);
}

void Sessions::admitOperation(Session &session, AdmissionHandler then) {
  if (!Quotas) {
    (this->*then)(session, {});
    return;
  }
  auto later = [this, then, id = session.Id, serial = session.Current->Serial](
                   const QuotaDecision &decision) {
    auto *it = find(id);
    if (it && it->Current && it->Current->Serial == serial)
      (this->*then)(*it, decision);
  };
  if (auto decision = Quotas->admit(session.Account, later))
    (this->*then)(session, *decision);
}

void Sessions::handleAdmission(Session &session,
                               const QuotaDecision &decision) {
  if (decision.Run)
    proceed(session);
  else
    refuse(session, decision.RetryAfter, "account over its limit");
}

void Sessions::proceed(Session &session) {
  bool inTransaction = session.State == TransactionState::Open;
  if (session.KeyRemoved) {
    endForRemovedKey(session);
    return;
  }
  if (inTransaction && session.Open.Account != session.Account) {
    releaseLease(session.Open.Lease);
    session.Open.Lease = {};
    session.State = TransactionState::Failed;
    answerError(session, ErrorKind::Aborted,
                "the key was moved to another account");
    return;
  }
  // A grant holds for the account that it was asked for.
  if (session.Current->Account != session.Account) {
    session.Current->Account = session.Account;
    admitOperation(session, &Sessions::handleAdmission);
    return;
  }
  if (inTransaction && session.Open.Lease.valid())
    runOnLease(session);
  else
    place(session);
}

void Sessions::place(Session &session) {
  auto &run = *session.Current;
  run.Parked = false;
  run.RunAt.reset();
  // Each copy that a target may run counts as an operation.
  if (run.MayHaveRun) {
    run.MayHaveRun = false;
    admitOperation(session, &Sessions::handleAdmission);
    return;
  }
  auto *group = Targets.markUsed(run.AssignedRoute.Group);
  if (!group || group->Targets.empty()) {
    park(session);
    return;
  }
  if (run.PrimaryOnly)
    placeAtPrimary(session, *group);
  else
    placeRead(session, *group);
}

void Sessions::placeAtPrimary(Session &session, Group &group) {
  session.Current->Demand.reset();
  bool onlyReads = session.State == TransactionState::Open
                       ? session.Open.ReadOnly
                       : reads(session.Current->Request);
  auto leader = Targets.usablePrimary(group, onlyReads ? PrimaryUse::Read
                                                       : PrimaryUse::Write);
  // An unreachable primary is handled like an unknown one: the statement waits.
  if (!leader) {
    park(session);
    return;
  }
  sendFirstBatch(session, *leader, true, std::nullopt);
}

/// Sends a read to a replica whose log contains everything that the route's
/// staleness bound and the session's own commits require, also when sessions
/// move between replicas that lag. If no such position is known, the read goes
/// to the primary, which proves its leadership instead.
void Sessions::placeRead(Session &session, Group &group) {
  auto &run = *session.Current;
  auto now = Time.now();
  const auto &route = run.AssignedRoute;
  bool readYourWrites = route.Reads == Guarantee::ReadYourWrites;
  std::optional<Position> notBefore;
  if (readYourWrites && route.MaxStaleness.count() == 0)
    notBefore = Position{};
  else
    notBefore = group.View.positionFor(route.MaxStaleness, now);
  constexpr unsigned MaxReplicaAttempts = 2;
  if (!notBefore || failedAttempts(run) > MaxReplicaAttempts) {
    placeAtPrimary(session, group);
    return;
  }
  if (readYourWrites)
    notBefore = std::max(*notBefore, session.LastCommit);
  ReadDemand demand;
  demand.NotBefore = *notBefore;
  demand.MaxAge = route.MaxStaleness;
  demand.Avoid = run.Avoid;
  auto choice =
      group.ReadPlacement.choose(demand, Targets.candidates(group), true, now);
  if (choice.Target.empty()) {
    placeAtPrimary(session, group);
    return;
  }
  if (choice.WaitBefore > limits::NegligibleWait) {
    pause(run, WaitReason::Replica, now + choice.WaitBefore);
    return;
  }
  bool isSingle = session.State == TransactionState::Idle && reads(run.Request);
  run.Demand = isSingle ? std::optional(demand) : std::nullopt;
  if (isSingle && run.Attempts == 0)
    Hedges.noteRead();
  sendFirstBatch(session, choice.Target, false, notBefore);
}

std::optional<TimePoint> Sessions::goalOf(const StatementRun &run) {
  if (run.AssignedRoute.Goal.count() == 0)
    return std::nullopt;
  return run.StartedAt + run.AssignedRoute.Goal;
}

TimePoint Sessions::primaryWaitDeadline(const StatementRun &run) const {
  if (hasAccounts())
    return latestStart(run.Deadline, run.AssignedRoute.StatementLimit);
  return run.StartedAt +
         scaled(run.AssignedRoute.StatementLimit, limits::PrimaryWaitShare);
}

void Sessions::park(Session &session) {
  auto &run = *session.Current;
  run.Parked = true;
  beginWait(run, WaitReason::Primary);
  auto wait = primaryWait(run);
  if (!wait.Waits)
    refuse(session, wait.RetryAfter, "no primary to run it");
}

PrimaryWait Sessions::primaryWait(const StatementRun &run) {
  auto now = Time.now();
  auto until = primaryWaitDeadline(run);
  if (!hasAccounts())
    return {now < until, limits::PrimaryRetryAfter};
  auto *group = Targets.find(run.AssignedRoute.Group);
  const PrimaryAbsences none;
  return decidePrimaryWait(group ? Targets.notePrimary(*group) : none, until,
                           spreadOf(run.Serial), now);
}

void Sessions::pause(StatementRun &run, WaitReason place, TimePoint until) {
  beginWait(run, place);
  run.RunAt = until;
}

void Sessions::beginWait(StatementRun &run, WaitReason place) {
  if (run.WaitingSince && run.WaitingFor == place)
    return;
  endWait(run);
  run.WaitingSince = Time.now();
  run.WaitingFor = place;
}

void Sessions::endWait(StatementRun &run) {
  if (run.WaitingSince)
    countWait(Metrics, run.WaitingFor, Time.now() - *run.WaitingSince);
  run.WaitingSince.reset();
}

void Sessions::countAnswers(const BatchResult &result) {
  for (const auto &it : result.Answers)
    countAnswer(Metrics, it.Error);
  if (result.End == BatchEnd::Lost)
    countNoAnswer(Metrics);
}

Batch Sessions::composeFirstBatch(const Session &session, bool atPrimary,
                                  std::optional<Position> notBefore) const {
  const auto &run = *session.Current;
  bool inTransaction = session.State == TransactionState::Open;
  Batch out;
  out.Session = session.Set;
  if (run.Request.Kind == StatementKind::Execute)
    out.RequiredPrepared = {run.Request.Body};
  bool provesLeadership = !inTransaction && atPrimary && reads(run.Request);
  if (inTransaction || provesLeadership) {
    out.Statements = {makeProxyStatement(atPrimary ? StatementKind::Begin
                                                   : StatementKind::BeginRead)};
    if (!atPrimary)
      out.Statements[0].NotBefore = notBefore;
  }
  // If a Begin fails, the target executes the statements sent behind it outside
  // of any transaction: a read that is not part of it, or a write that nobody
  // commits. So the first statement of a transaction is sent after the answer
  // to Begin. A single read may be sent along, as its rows are discarded if
  // Begin fails.
  if (inTransaction)
    return out;
  out.Statements.push_back(run.Request);
  if (provesLeadership)
    out.Statements.push_back(makeProxyStatement(StatementKind::Rollback));
  else if (reads(run.Request))
    out.Statements[0].NotBefore = notBefore;
  out.EndsLease = true;
  return out;
}

/// Ignores results for a statement that has ended or whose session is closed.
OnBatch Sessions::ifStillCurrent(const Session &session, RunHandler then) {
  return [this, id = session.Id, serial = session.Current->Serial,
          then](const BatchResult &result) {
    auto *it = find(id);
    if (it && it->Current && it->Current->Serial == serial)
      (this->*then)(*it, result);
    else
      endUnusedCopy(serial, result);
  };
}

Duration Sessions::readWaitOf(const StatementRun &run) const {
  if (!hasAccounts())
    return limits::ReadWait;
  auto now = Time.now();
  auto goal = goalOf(run);
  return readWait(goal ? std::optional<Duration>(*goal - now) : std::nullopt,
                  run.Deadline - now);
}

LeaseRequest Sessions::makeRequest(const StatementRun &run,
                                   const TargetName &target,
                                   Duration wait) const {
  auto now = Time.now();
  LeaseRequest out;
  out.Target = target;
  out.Priority = run.AssignedRoute.Priority;
  out.Account = run.Account;
  out.Total = run.Deadline - now;
  out.Wait =
      std::clamp<Duration>(wait, Duration{}, out.Total - minAttemptTimeOf(run));
  if (auto goal = goalOf(run))
    out.GoalLeft = *goal - now;
  return out;
}

void Sessions::sendFirstBatch(Session &session, const TargetName &target,
                              bool atPrimary,
                              std::optional<Position> notBefore) {
  auto &run = *session.Current;
  auto now = Time.now();
  auto left = run.Deadline - now;
  if (left < minAttemptTimeOf(run)) {
    refuse(session, limits::BusyRetryAfter, "no time left");
    return;
  }
  auto batch = composeFirstBatch(session, atPrimary, notBefore);
  bool repeatable = !writes(run.Request);
  auto timeout = std::max<Duration>(
      scaled(run.AssignedRoute.StatementLimit, limits::ReadTimeoutShare),
      limits::MinReadTimeout);
  batch.Timeout = repeatable ? std::min<Duration>(left, timeout) : left;
  // When all callers return at once after an outage, a read that only the
  // primary can run waits as long as a write would. It is then answered late
  // instead of being refused three times in quick succession.
  auto wait = atPrimary ? primaryWaitDeadline(run) - now : readWaitOf(run);
  endWait(run);
  if (run.Attempts++ == 0)
    run.FirstSentAt = now;
  run.Target = target;
  run.Sent = batch;
  run.SentAt = now;
  if (auto *group = Targets.find(run.AssignedRoute.Group))
    group->ReadPlacement.started(target);
  run.InFlight = true;
  run.Lease =
      Targets.begin(makeRequest(run, target, wait), std::move(batch),
                    ifStillCurrent(session, &Sessions::handleFirstResult));
}

void Sessions::report(const StatementRun &run, Group &group,
                      const BatchResult &result) {
  auto now = Time.now();
  countAnswers(result);
  AnswerReport report;
  report.Target = run.Target;
  report.FromPrimary = isAtPrimary(run);
  report.Code = codeOf(result);
  if (result.QueueFull || report.Code == AnswerCode::Overloaded)
    group.BusyAt = now;
  report.Mode = reads(run.Request) ? Access::FreshRead : Access::Write;
  report.Ran = now - run.SentAt;
  if (!result.Answers.empty() && result.Answers.back().At)
    report.At = *result.Answers.back().At;
  if (!run.Sent.Statements.empty() && run.Sent.Statements[0].NotBefore)
    report.NotBefore = *run.Sent.Statements[0].NotBefore;
  auto replicas = group.Targets.empty() ? 0 : group.Targets.size() - 1;
  group.ReadPlacement.answered(report, replicas, now);
  bool plain = run.Sent.Statements[0].Kind == StatementKind::Begin;
  Targets.handleAnswers(group, run.Target, run.Sent, result, plain, run.SentAt);
}

bool Sessions::isAtPrimary(const StatementRun &run) const {
  const auto *group = Targets.find(run.AssignedRoute.Group);
  return group && group->View.leader() == run.Target;
}

void Sessions::handleFirstResult(Session &session, const BatchResult &result) {
  auto &run = *session.Current;
  run.InFlight = false;
  run.MayHaveRun = run.MayHaveRun || mayHaveRun(run.Sent, result);
  if (auto *group = Targets.find(run.AssignedRoute.Group))
    report(run, *group, result);
  if (run.Hedge && !isSuccess(result)) {
    // The other copy may still succeed.
    swapCopies(run);
    run.Hedge.reset();
    run.InFlight = true;
    return;
  }
  leaveToEnd(run);
  switch (result.End) {
  case BatchEnd::Complete:
    handleFirstAnswers(session, result);
    return;
  case BatchEnd::NotRun:
    run.Lease = {};
    if (isSetupMalformed(result)) {
      rejectSetup(session, result.Error);
      return;
    }
    // Only the primary can run this statement, and waiting longer would leave
    // the caller no time to retry.
    if (auto after = queueRetryAfter(result); after && isAtPrimary(run))
      refuse(session, *after, "more waits than runs in time");
    else
      retry(session, result.Error.Kind, after);
    return;
  case BatchEnd::Lost:
    run.Lease = {};
    break;
  }
  // Only a write outside of a transaction may have taken effect.
  if (!run.Sent.EndsLease || !writes(run.Request))
    retry(session, ErrorKind::TimedOut);
  else
    answerUnknownOutcome(session, result.Error.Detail.c_str());
}

void Sessions::handleFirstAnswers(Session &session, const BatchResult &result) {
  auto &run = *session.Current;
  auto lease = result.LeaseKept ? run.Lease : LeaseId{};
  bool ownFirst = run.Sent.Statements[0].Id.empty();
  const auto &beginning = result.Answers[0];
  if (ownFirst && !beginning.ok()) {
    releaseLease(lease);
    run.Lease = {};
    retry(session, beginning.Error->Kind);
    return;
  }
  bool onlyBegan = ownFirst && result.Answers.size() == 1;
  if (onlyBegan) {
    session.Open.Lease = lease;
    session.Open.Target = run.Target;
    proceed(session);
    return;
  }
  auto answer = result.Answers[ownFirst ? 1 : 0];
  bool again = answer.Error && (hasNotRun(answer.Error->Kind) ||
                                (answer.Error->Kind == ErrorKind::Failed &&
                                 reads(run.Request) && run.Attempts == 1));
  if (again) {
    releaseLease(lease);
    run.Lease = {};
    retry(session, answer.Error->Kind);
    return;
  }
  if (session.State == TransactionState::Open) {
    session.Open.Lease = lease;
    session.Open.Target = run.Target;
  } else {
    answer.State = TransactionState::Idle;
    if (writes(run.Request) && answer.ok() && answer.At)
      session.LastCommit = std::max(session.LastCommit, *answer.At);
  }
  if (reads(run.Request) && answer.ok())
    countRead(run, answer);
  if (run.Demand && answer.ok())
    Hedges.noteAnswer(Time.now() - run.FirstSentAt);
  deliver(session, std::move(answer));
}

void Sessions::countRead(const StatementRun &run, const Answer &answer) {
  auto *group = Targets.find(run.AssignedRoute.Group);
  if (!run.Sent.Statements[0].NotBefore)
    Metrics.PrimaryReads->Increment();
  else if (group && answer.At)
    countReplicaRead(Metrics, group->View.maxAgeOf(*answer.At, Time.now()));
}

/// Runs the statement on the connection that its transaction holds.
void Sessions::runOnLease(Session &session) {
  auto &run = *session.Current;
  auto now = Time.now();
  endWait(run);
  Batch batch;
  batch.Session = session.Set;
  if (run.Request.Kind == StatementKind::Execute)
    batch.RequiredPrepared = {run.Request.Body};
  batch.Statements = {run.Request};
  batch.EndsLease = run.Request.Kind == StatementKind::Commit;
  batch.Timeout =
      std::max<Duration>(run.Deadline - now, limits::MinAttemptTime);
  run.RunAt.reset();
  run.Sent = batch;
  run.SentAt = now;
  run.Target = session.Open.Target;
  run.Lease = {};
  Targets.run(session.Open.Lease, std::move(batch),
              ifStillCurrent(session, &Sessions::handleLeaseResult));
}

void Sessions::handleLeaseResult(Session &session, const BatchResult &result) {
  auto &run = *session.Current;
  countAnswers(result);
  bool plain = !session.Open.ReadOnly ||
               session.Open.AssignedRoute.Reads == Guarantee::Primary;
  if (auto *group = Targets.find(run.AssignedRoute.Group))
    Targets.handleAnswers(*group, run.Target, run.Sent, result, plain,
                          run.SentAt);
  if (result.End != BatchEnd::Complete) {
    handleLostLease(session, result);
    return;
  }
  auto answer = result.Answers[0];
  bool stillOpen = answer.State == TransactionState::Open;
  bool busy = answer.Error && answer.Error->Kind == ErrorKind::Busy;
  auto again = Time.now() + limits::BusyRetryDelay;
  if (busy && stillOpen && result.LeaseKept &&
      again + limits::MinAttemptTime < run.Deadline) {
    pause(run, WaitReason::Slot, again);
    return;
  }
  if (run.Request.Kind == StatementKind::Commit) {
    session.Open.Lease = {};
    if (answer.ok() && session.Open.Wrote && answer.At)
      session.LastCommit = std::max(session.LastCommit, *answer.At);
  } else if (answer.State == TransactionState::Idle) {
    releaseLease(session.Open.Lease);
    session.Open.Lease = {};
  }
  if (writes(run.Request))
    session.Open.Wrote = true;
  deliver(session, std::move(answer));
}

void Sessions::handleLostLease(Session &session, const BatchResult &result) {
  auto &run = *session.Current;
  session.Open.Lease = {};
  bool commit = run.Request.Kind == StatementKind::Commit;
  if (isSetupMalformed(result)) {
    rejectSetup(session, result.Error);
    return;
  }
  telemetry::log(Event::TransactionLost, {field("request", run.Request.Id),
                                          field("target", run.Target.Value),
                                          field("why", result.Error.Detail),
                                          field("commit_sent", commit)});
  // If no byte of the commit was sent, the target has rolled the transaction
  // back.
  if (commit && session.Open.Wrote && result.End == BatchEnd::Lost) {
    answerUnknownOutcome(session, result.Error.Detail.c_str());
    return;
  }
  session.State = commit ? TransactionState::Idle : TransactionState::Failed;
  answerError(session, ErrorKind::Aborted,
              fmt::format("{}; retry-after-ms={}", result.Error.Detail,
                          limits::BusyRetryAfter.count()));
}

void Sessions::retry(Session &session, ErrorKind why,
                     std::optional<milliseconds> retryAfter) {
  auto &run = *session.Current;
  auto now = Time.now();
  countRetry(Metrics, nameOf(why));
  telemetry::log(Event::StatementRetried,
                 {field("request", run.Request.Id),
                  field("account", run.Account.Value),
                  field("target", run.Target.Value), field("why", nameOf(why)),
                  field("tries", run.Attempts)});
  run.Avoid = run.Target;
  bool busy = why == ErrorKind::Busy || why == ErrorKind::ConnectionLimit;
  if (busy && hasAccounts()) {
    retryWhileTimeLeft(session, retryAfter);
    return;
  }
  if (busy && run.PrimaryOnly) {
    retryBusy(session, now);
    return;
  }
  if (now + minAttemptTimeOf(run) >= run.Deadline ||
      failedAttempts(run) >= limits::MaxAttempts) {
    refuse(session,
           run.PrimaryOnly ? primaryRetryAfter(run) : limits::BusyRetryAfter,
           nameOf(why));
    return;
  }
  proceed(session);
}

/// A refusal costs the caller one of its few attempts, so a statement is tried
/// again while its limit allows it. Other targets may have room now; once they
/// have refused it too, it waits.
void Sessions::retryWhileTimeLeft(Session &session,
                                  std::optional<milliseconds> retryAfter) {
  auto &run = *session.Current;
  auto now = Time.now();
  ++run.BusyRefusals;
  bool mustFinish =
      writes(run.Request) || session.State == TransactionState::Open;
  auto until = mustFinish ? primaryWaitDeadline(run)
                          : run.Deadline - minAttemptTimeOf(run);
  auto *group = Targets.find(run.AssignedRoute.Group);
  bool othersLeft = !run.PrimaryOnly && group &&
                    run.BusyRefusals < group->Targets.size() && now < until;
  if (othersLeft) {
    proceed(session);
    return;
  }
  if (auto at = busyRetryAt(run.BusyRefusals, retryAfter, until, now)) {
    pause(run, WaitReason::Slot, *at);
    return;
  }
  refuse(session, retryAfter.value_or(limits::BusyRetryAfter),
         retryAfter ? "more waits than runs in time" : nameOf(ErrorKind::Busy));
}

Duration Sessions::minAttemptTimeOf(const StatementRun &run) const {
  return minAttemptTime(writes(run.Request) || !hasAccounts());
}

milliseconds Sessions::primaryRetryAfter(const StatementRun &run) {
  auto *group = Targets.find(run.AssignedRoute.Group);
  if (!hasAccounts() || !group)
    return limits::PrimaryRetryAfter;
  auto now = Time.now();
  return decidePrimaryWait(Targets.notePrimary(*group), now,
                           spreadOf(run.Serial), now)
      .RetryAfter;
}

/// An overloaded primary rejects statements as busy, and no other target can
/// run them. They are retried there while there is time left to run, with
/// increasing delays so that the retries don't add to the overload.
void Sessions::retryBusy(Session &session, TimePoint now) {
  auto &run = *session.Current;
  auto span = std::min(limits::BusyRetryDelay * run.Attempts,
                       limits::MaxBusyRetryDelay);
  if (now + span >= primaryWaitDeadline(run))
    refuse(session, limits::BusyRetryAfter, nameOf(ErrorKind::Busy));
  else
    pause(run, WaitReason::Slot, now + span);
}

} // namespace peridotfall::proxy
