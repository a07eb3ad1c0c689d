#include "proxy/target_pool.h"

#include "proxy/attempt_time.h"
#include "telemetry/events.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

/// \return whether a successful answer carries the target's signature.
bool isSigned(StatementKind it) {
  return it == StatementKind::Read || it == StatementKind::Write ||
         it == StatementKind::Execute || it == StatementKind::Commit;
}

/// \return whether the answer belongs to another statement of the batch: if an
/// answer is lost, those after it move up by one.
bool isOutOfOrder(const Statement &statement, const Answer &answer) {
  if (!answer.ok())
    return false;
  bool unsignedAnswer = answer.Signature.empty() || answer.Signature == "-";
  return isSigned(statement.Kind) == unsignedAnswer;
}

/// \return whether a statement of a set-up depends on what a caller has sent,
/// so that its failure tells nothing of the connection.
bool isOfSession(StatementKind it) {
  return it == StatementKind::Set || it == StatementKind::Prepare;
}

/// Accounts whose use is known before those that are hardly used any more are
/// forgotten.
constexpr std::size_t MaxTrackedAccounts = 256;
/// Seconds of decayed use.
constexpr double NegligibleUse = 1e-3;

bool hasCallerStatement(const Batch &it) {
  return std::any_of(it.Statements.begin(), it.Statements.end(),
                     [](const Statement &s) { return !s.Id.empty(); });
}

/// \return the id of the caller's statement; empty if there is none.
std::string requestOf(const Batch &it) {
  for (const auto &s : it.Statements)
    if (!s.Id.empty())
      return s.Id;
  return {};
}

bool hasWrite(const Batch &it) {
  return std::any_of(it.Statements.begin(), it.Statements.end(), writes);
}

bool hasCommit(const Batch &it) {
  return std::any_of(
      it.Statements.begin(), it.Statements.end(),
      [](const Statement &s) { return s.Kind == StatementKind::Commit; });
}

/// \return whether a success of the batch acknowledges a commit of writes.
/// \param wrote whether its transaction has written before.
bool commitsWrites(const Batch &it, bool wrote) {
  return it.EndsLease && (hasWrite(it) || (wrote && hasCommit(it)));
}

BatchResult heldResult() {
  BatchResult out;
  out.Error = {ErrorKind::Busy, "the primary is being replaced"};
  return out;
}

/// \return whether a lease runs only statements of the proxy itself, for which
/// a connection of any account will do.
bool isProbe(const Batch &first) {
  return first.EndsLease && !hasCallerStatement(first);
}

/// \return connections that may be opened at once while statements wait for
/// open ones.
std::size_t maxOpening(std::size_t maxRunning) {
  return (maxRunning + limits::RunningPerOpening - 1) /
         limits::RunningPerOpening;
}

} // namespace

TargetPool::TargetPool(TargetEntry target, TargetPort &port, const Clock &clock,
                       std::uint64_t &lastLease)
    : Target(std::move(target)), Port(port), Time(clock), LastLease(lastLease) {
}

LeaseId TargetPool::begin(const LeaseRequest &request, Batch first,
                          OnBatch done) {
  LeaseId id{++LastLease};
  auto now = Time.now();
  auto until = now + (Retired ? Duration{} : request.Wait);
  Waiter waiter;
  waiter.Lease = id;
  waiter.Priority = request.Priority;
  waiter.Account = request.Account;
  waiter.First = std::move(first);
  waiter.Done = std::move(done);
  waiter.Since = now;
  waiter.WaitDeadline = until;
  waiter.AnswerDeadline = now + request.Total;
  if (request.GoalLeft)
    waiter.Goal = now + *request.GoalLeft;
  bool free = isFree(request.Account);
  Waiting.push(std::move(waiter), free, MaxRunning, now);
  if (!Retired)
    assign();
  return id;
}

void TargetPool::run(LeaseId lease, Batch next, OnBatch done) {
  auto it = findLease(lease);
  if (isHeld(it->second, next)) {
    rollBack(it);
    HeldBatches.push_back(std::move(done));
    return;
  }
  auto end = Time.now() + next.Timeout;
  start(it, lease, std::move(next), std::move(done), end);
}

bool TargetPool::isHeld(const Connection &connection, const Batch &work) const {
  return WritesHeld &&
         (hasWrite(work) || (connection.Wrote && hasCommit(work)));
}

void TargetPool::refuseHeld() {
  for (auto &done : std::exchange(HeldBatches, {}))
    done(heldResult());
  if (!WritesHeld)
    return;
  for (auto lease : Waiting.order(Time.now())) {
    // A callback may have abandoned it.
    if (!Waiting.contains(lease) || !hasWrite(Waiting.at(lease).First))
      continue;
    auto waiter = Waiting.take(lease);
    reportWait(waiter);
    waiter.Done(heldResult());
  }
}

bool TargetPool::hasCommitRunning() const {
  return std::any_of(
      Connections.begin(), Connections.end(), [](const auto &entry) {
        const auto &it = entry.second;
        return it.Current && commitsWrites(it.Current->Work, it.Wrote);
      });
}

void TargetPool::cutCommits() {
  std::vector<ConnectionId> cut;
  for (const auto &[id, it] : Connections)
    if (it.Current && commitsWrites(it.Current->Work, it.Wrote))
      cut.push_back(id);
  for (auto id : cut)
    if (auto it = Connections.find(id); it != Connections.end())
      dropConnection(it, "the primary is being replaced");
}

bool TargetPool::owns(LeaseId lease) const {
  return Leases.contains(lease) || Waiting.contains(lease);
}

bool TargetPool::isAwaitingBatch(LeaseId lease) const {
  auto it = Leases.find(lease);
  return it != Leases.end() && Connections.at(it->second).State == Phase::Held;
}

TargetPool::ConnectionIt TargetPool::findLease(LeaseId lease) {
  return Connections.find(Leases.at(lease));
}

void TargetPool::abandon(LeaseId lease) {
  if (Waiting.erase(lease) || !Leases.contains(lease))
    return;
  auto it = findLease(lease);
  it->second.Abandoned = true;
  if (it->second.Current) {
    // The answer is still awaited, so that the connection can be reused.
    it->second.Current->Done = nullptr;
    return;
  }
  rollBack(it);
}

std::size_t TargetPool::running() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.State == Phase::Running;
      }));
}

std::size_t TargetPool::opening() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.State == Phase::Opening;
      }));
}

/// Without accounts connections are opened too rarely to matter. Openings that
/// hang must not keep the open connections from being used.
std::size_t TargetPool::occupied() const {
  auto n = static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.State == Phase::Opening && !it.second.Account.empty();
      }));
  return running() + std::min(n, maxOpening(MaxRunning));
}

/// Starts waiting leases on idle connections of their account, in order. A
/// lease without one gets a connection opened, before later leases are served:
/// else a busy account could keep all connections. No more than MaxRunning are
/// sent at once, as an overloaded target refuses what is beyond its queue
/// whatever its priority. Statements of open transactions do not wait here.
void TargetPool::assign() {
  if (Waiting.empty() || occupied() >= MaxRunning)
    return;
  std::map<AccountName, std::size_t> unclaimed;
  for (const auto &[id, it] : Connections)
    unclaimed[it.Account] += it.State == Phase::Opening;
  for (auto lease : Waiting.order(Time.now())) {
    if (occupied() >= MaxRunning)
      return;
    if (!Waiting.contains(lease))
      continue;
    const auto &waiter = Waiting.at(lease);
    if (WritesHeld && hasWrite(waiter.First))
      continue;
    auto &opening = unclaimed[waiter.Account];
    if (auto it = bestIdle(waiter); it != Connections.end())
      startWaiting(it, lease);
    else if (opening > 0)
      --opening;
    else if (mayOpen(waiter.Account))
      openFor(waiter.Account);
  }
}

void TargetPool::startWaiting(ConnectionIt it, LeaseId lease) {
  auto waiter = Waiting.take(lease);
  if (it->second.Account != waiter.Account && !isProbe(waiter.First)) {
    telemetry::log(Event::AccountsMixed,
                   {field("target", Target.Name.Value),
                    field("account", waiter.Account.Value),
                    field("connection_account", it->second.Account.Value)});
    refuse(waiter, "no connection of the account");
    return;
  }
  reportWait(waiter);
  it->second.Priority = waiter.Priority;
  it->second.Wrote = false;
  start(it, waiter.Lease, std::move(waiter.First), std::move(waiter.Done),
        waiter.AnswerDeadline);
  it->second.Current->BeginsLease = true;
}

/// \return the connection that needs the fewest set-up statements.
TargetPool::ConnectionIt TargetPool::bestIdle(const Waiter &waiter) {
  auto best = Connections.end();
  std::size_t fewest = 0;
  bool anyAccount = isProbe(waiter.First);
  for (auto it = Connections.begin(); it != Connections.end(); ++it) {
    const auto &connection = it->second;
    if (connection.State != Phase::Idle ||
        (connection.Account != waiter.Account && !anyAccount))
      continue;
    auto n = distance(connection.Environment, waiter.First.Session,
                      waiter.First.RequiredPrepared);
    if (best == Connections.end() || n < fewest) {
      best = it;
      fewest = n;
    }
    if (n == 0)
      break;
  }
  return best;
}

/// When many leases wait for a target that was just discovered, or whose
/// connections were lost, one connection for each would delay them: opening one
/// takes a slot of the target for 12 to 27 ms, more than most statements need.
/// So none is opened for a statement that may not run yet.
bool TargetPool::mayOpen(const AccountName &account) const {
  auto opened = opening();
  if (Retired || Time.now() < OpenAfter || opened + running() >= MaxRunning)
    return false;
  return account.empty() || opened < maxOpening(MaxRunning) ||
         !isConnectionWanted();
}

bool TargetPool::isConnectionWanted() const {
  return std::any_of(
      Connections.begin(), Connections.end(), [&](const auto &entry) {
        const auto &it = entry.second;
        return it.State != Phase::Opening && Waiting.isWanted(it.Account);
      });
}

void TargetPool::openFor(const AccountName &account) {
  // Other daemons' plans may still list this one as a connection holder for a
  // moment.
  auto maxConnections = std::max<std::size_t>(Capacity, 1);
  if (Connections.size() >= maxConnections && !closeLeastUsed())
    return;
  auto &it = Connections[Port.open(Target, account)];
  it.Account = account;
  it.Since = Time.now();
}

void TargetPool::addUse(const AccountName &account, Duration took) {
  auto now = Time.now();
  Uses[account].add(took, now);
  if (Uses.size() <= MaxTrackedAccounts)
    return;
  std::erase_if(Uses, [now](const auto &it) {
    return it.second.at(now) < NegligibleUse;
  });
}

double TargetPool::useOf(const AccountName &account) const {
  auto it = Uses.find(account);
  if (it == Uses.end())
    return 0;
  auto n = std::count_if(
      Connections.begin(), Connections.end(),
      [&](const auto &entry) { return entry.second.Account == account; });
  return it->second.at(Time.now()) / static_cast<double>(std::max(n, {1}));
}

/// Closes an idle connection: one whose account waits for it only if there is
/// no other; of these the one that its account needs least. By the time since
/// its last use alone, the connections of a busy account would be closed as
/// often as those of one that is hardly used.
bool TargetPool::closeLeastUsed() {
  using Rank = std::tuple<bool, double, TimePoint>;
  std::optional<std::pair<Rank, ConnectionId>> least;
  for (const auto &[id, it] : Connections) {
    if (it.State != Phase::Idle)
      continue;
    Rank rank{Waiting.isWanted(it.Account), useOf(it.Account), it.Since};
    std::pair candidate{rank, id};
    if (!least || candidate < *least)
      least = candidate;
  }
  if (!least)
    return false;
  Port.close(least->second);
  Connections.erase(least->second);
  return true;
}

void TargetPool::start(ConnectionIt it, LeaseId lease, Batch work, OnBatch done,
                       TimePoint end) {
  auto &connection = it->second;
  connection.Current = Running();
  auto &running = *connection.Current;
  // The proxy's own statements need no session, and do no harm in a wrong one.
  bool isCallers = hasCallerStatement(work);
  if (isCallers || !work.EndsLease)
    running.Setup =
        planSetup(connection.Environment, work.Session, work.RequiredPrepared);
  running.Done = std::move(done);
  running.Sent = Time.now();
  running.AnswerDeadline = std::min(running.Sent + work.Timeout, end);
  running.Work = std::move(work);
  connection.State = Phase::Running;
  connection.Lease = lease;
  Leases[lease] = it->first;
  if (!running.Setup.empty())
    Port.send(it->first, running.Setup);
  // What was sent cannot be recalled when the set-up fails, and would run in
  // the state of another session.
  if (running.Setup.empty() || !isCallers)
    sendWork(it);
}

void TargetPool::sendWork(ConnectionIt it) {
  auto &running = *it->second.Current;
  for (auto &statement : running.Work.Statements)
    if (statement.Kind == StatementKind::Execute)
      statement.Name = preparedName(it->second.Environment, statement.Body)
                           .value_or(statement.Name);
  running.IsWorkSent = true;
  running.Sent = Time.now();
  it->second.Wrote = it->second.Wrote || hasWrite(running.Work);
  Port.send(it->first, running.Work.Statements);
}

void TargetPool::opened(ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  it->second.State = Phase::Idle;
  it->second.Since = Time.now();
  if (Unreachable)
    telemetry::log(Event::TargetReached, {field("target", Target.Name.Value)});
  Unreachable = false;
  assign();
}

void TargetPool::openFailed(ConnectionId connection,
                            const std::optional<StatementError> &why) {
  Connections.erase(connection);
  auto now = Time.now();
  if (why && why->Kind == ErrorKind::ConnectionLimit) {
    OpenAfter = now + limits::ConnectionLimitDelay;
    return;
  }
  OpenAfter = now + limits::ConnectRetryDelay;
  if (!Unreachable)
    telemetry::log(Event::TargetLost,
                   {field("target", Target.Name.Value),
                    field("why", why ? why->Detail : "no connection")});
  Unreachable = true;
  bool anyOpen =
      std::any_of(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.State != Phase::Opening;
      });
  // Waiting leases can't be served here; another target may serve them.
  if (!anyOpen)
    refuseWaiting("target unreachable");
}

void TargetPool::answered(ConnectionId connection, Answer answer) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  Unreachable = false;
  if (!it->second.Current) {
    dropConnection(it, "unexpected answer");
    return;
  }
  auto &running = *it->second.Current;
  auto n = running.AnswersReceived++;
  bool isSetup = n < running.Setup.size();
  const auto &statement =
      isSetup ? running.Setup[n]
              : running.Work.Statements[n - running.Setup.size()];
  if (!isSetup && !running.IsWorkSent)
    dropConnection(it, "unexpected answer");
  else if (isOutOfOrder(statement, answer))
    dropConnection(it, "answer out of order");
  else if (isSetup)
    handleSetupAnswer(it, statement, answer);
  else
    handleWorkAnswer(it, std::move(answer));
}

void TargetPool::handleSetupAnswer(ConnectionIt it, const Statement &statement,
                                   const Answer &answer) {
  auto &running = *it->second.Current;
  auto before = std::exchange(it->second.Transaction, answer.State);
  if (answer.ok() && answer.State != before) {
    dropConnection(it, "transaction ended by the target");
    return;
  }
  if (!answer.ok()) {
    logSetupRejected(running, statement, *answer.Error);
    if (!isOfSession(statement.Kind)) {
      dropConnection(it, "connection can't be reset");
      return;
    }
    if (!running.SetupError)
      running.SetupError = answer.Error;
    invalidate(it->second.Environment);
  }
  if (running.AnswersReceived < running.Setup.size() || running.IsWorkSent)
    return;
  bool isLate = Time.now() + minAttemptTime(hasWrite(running.Work)) >
                running.AnswerDeadline;
  if (isHeld(it->second, running.Work) && !running.SetupError)
    running.SetupError = heldResult().Error;
  if (running.SetupError || it->second.Abandoned || isLate)
    finish(it);
  else
    sendWork(it);
}

void TargetPool::handleWorkAnswer(ConnectionIt it, Answer answer) {
  auto &running = *it->second.Current;
  it->second.Transaction = answer.State;
  // The target has lost prepared statements; prepare them again.
  if (answer.Error && answer.Error->Kind == ErrorKind::NoStatement)
    forgetPrepared(it->second.Environment);
  running.Result.Answers.push_back(std::move(answer));
  if (running.Result.Answers.size() == running.Work.Statements.size())
    finish(it);
}

void TargetPool::finish(ConnectionIt it) {
  auto &connection = it->second;
  auto running = std::move(*connection.Current);
  connection.Current.reset();
  LastAnswer = Time.now();
  bool hasRun = running.IsWorkSent && !running.SetupError;
  running.Result.End = hasRun ? BatchEnd::Complete : BatchEnd::NotRun;
  running.Result.Load = load();
  if (hasRun)
    recordWork(connection, running);
  else {
    running.Result.Error = running.SetupError.value_or(
        StatementError{ErrorKind::Busy, "no time left after the set-up"});
    running.Result.Answers.clear();
  }
  bool idle = connection.Transaction == TransactionState::Idle;
  running.Result.LeaseKept = hasRun && !running.Work.EndsLease;
  bool ends = !running.Result.LeaseKept || connection.Abandoned;
  connection.State = Phase::Held;
  connection.Since = Time.now();
  bool wasRollback =
      hasRun && running.Work.Statements.back().Kind == StatementKind::Rollback;
  if (ends && !idle && wasRollback)
    dropConnection(it, "rollback left a transaction open");
  else if (ends && !idle)
    rollBack(it);
  else if (ends) {
    Leases.erase(connection.Lease);
    connection.Lease = {};
    connection.Abandoned = false;
    connection.State = Phase::Idle;
  }
  if (ends && idle)
    assign();
  if (running.Done)
    running.Done(std::move(running.Result));
}

/// Only the first batch of a transaction is known when its lease is queued. Its
/// later ones are charged when they have run, or accounts with transactions
/// would get more than their turns.
void TargetPool::recordWork(const Connection &connection,
                            const Running &finished) {
  auto took = LastAnswer - finished.Sent;
  bool isCallers = hasCallerStatement(finished.Work);
  if (isCallers) {
    Waiting.addAnswerTime(took);
    addUse(connection.Account, took);
  }
  if (finished.BeginsLease && !isProbe(finished.Work))
    Waiting.addWork(finished.Work.EndsLease, took);
  else if (isCallers)
    Waiting.charge(connection.Priority, connection.Account, took);
}

void TargetPool::rollBack(ConnectionIt it) {
  auto lease = it->second.Lease;
  it->second.Abandoned = true;
  Batch work;
  work.Statements = {makeProxyStatement(StatementKind::Rollback)};
  work.EndsLease = true;
  work.Timeout = limits::RollbackTimeout;
  auto end = Time.now() + work.Timeout;
  start(it, lease, std::move(work), nullptr, end);
}

void TargetPool::dropConnection(ConnectionIt it, const char *why) {
  auto id = it->first;
  auto connection = std::move(it->second);
  Connections.erase(it);
  if (connection.Lease.valid())
    Leases.erase(connection.Lease);
  Port.close(id);
  if (!connection.Current || !connection.Current->Done)
    return;
  logLost(*connection.Current, why);
  auto &running = *connection.Current;
  running.Result.End = running.IsWorkSent ? BatchEnd::Lost : BatchEnd::NotRun;
  running.Result.Error = {
      running.IsWorkSent ? ErrorKind::InDoubt : ErrorKind::TimedOut, why};
  running.Result.TargetUnreachable = Unreachable;
  running.Done(std::move(running.Result));
}

void TargetPool::logLost(const Running &running, const char *why) const {
  telemetry::log(Event::ConnectionLost,
                 {field("request", requestOf(running.Work)),
                  field("target", Target.Name.Value), field("why", why),
                  field("answers", running.Result.Answers.size())});
}

/// Leaves out the text of the statement, which is the caller's.
void TargetPool::logSetupRejected(const Running &running,
                                  const Statement &statement,
                                  const StatementError &why) const {
  telemetry::log(
      Event::SetupRejected,
      {field("request", requestOf(running.Work)),
       field("target", Target.Name.Value),
       field("statement", nameOf(statement.Kind)),
       field("answer", nameOf(why.Kind)),
       field("bytes", statement.Name.size() + statement.Argument.size() +
                          statement.Body.Shape.size())});
}

void TargetPool::closed(ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  dropConnection(it, "connection to the target lost");
}

void TargetPool::closeIdle() {
  for (auto it = Connections.begin(); it != Connections.end();) {
    if (it->second.State != Phase::Idle) {
      ++it;
      continue;
    }
    Port.close(it->first);
    it = Connections.erase(it);
  }
}

void TargetPool::reportWait(const Waiter &waiter) const {
  if (OnWaited)
    OnWaited(Time.now() - waiter.Since);
}

void TargetPool::refuse(Waiter &waiter, const char *why) {
  reportWait(waiter);
  BatchResult result;
  result.Error = {ErrorKind::Busy, why};
  result.TargetUnreachable = Unreachable;
  result.Load = load();
  // A silent target may be replaced soon, so its callers should keep waiting.
  result.QueueFull = !Unreachable && !Retired &&
                     Time.now() - LastAnswer < limits::SilenceThreshold;
  if (result.QueueFull)
    result.RetryAfter = Waiting.retryAfter(waiter, MaxRunning, Time.now());
  waiter.Done(std::move(result));
}

void TargetPool::refuseWaiting(const char *why) {
  for (auto &it : Waiting.takeAll())
    refuse(it, why);
}

void TargetPool::setCapacity(std::size_t connections, std::size_t running) {
  Capacity = connections;
  MaxRunning = running;
  // Other daemons may open these connections from now on.
  if (Capacity == 0)
    closeIdle();
}

TargetLoad TargetPool::load() const {
  return {static_cast<std::uint32_t>(Waiting.size()), Waiting.answerTime()};
}

bool TargetPool::hasIdle(const AccountName &account) const {
  return Waiting.empty() && occupied() < MaxRunning &&
         std::any_of(Connections.begin(), Connections.end(),
                     [&](const auto &it) {
                       return it.second.State == Phase::Idle &&
                              it.second.Account == account;
                     });
}

bool TargetPool::isFree(const AccountName &account) const {
  bool hasRoom = Waiting.empty() && occupied() < MaxRunning &&
                 Connections.size() < Capacity;
  return hasRoom || hasIdle(account);
}

void TargetPool::tick() {
  auto now = Time.now();
  std::vector<ConnectionId> timedOut;
  std::vector<ConnectionId> silent;
  for (const auto &[id, it] : Connections) {
    bool opening = it.State == Phase::Opening;
    if (opening && now - it.Since >= limits::HandshakeTimeout)
      timedOut.push_back(id);
    if (it.Current && now >= it.Current->AnswerDeadline)
      silent.push_back(id);
  }
  for (auto id : timedOut) {
    Port.close(id);
    openFailed(id, std::nullopt);
  }
  // Idle connections use the same network path as the silent one. Each could
  // cost a statement its whole timeout, so they are closed.
  for (auto id : silent) {
    auto it = Connections.find(id);
    if (it != Connections.end()) {
      Unreachable = true;
      dropConnection(it, "target silent");
    }
  }
  if (!silent.empty())
    closeIdle();
  for (auto it = Connections.begin(); it != Connections.end();) {
    bool expired = it->second.State == Phase::Idle &&
                   (Retired || Capacity == 0 ||
                    now - it->second.Since >= limits::IdleConnectionTimeout);
    if (expired)
      Port.close(it->first);
    it = expired ? Connections.erase(it) : std::next(it);
  }
  refuseExpired();
  refuseHeld();
  assign();
}

void TargetPool::refuseExpired() {
  for (auto &it : Waiting.takeExpired(Time.now())) {
    bool displaced = it.Refusal == QueueRefusal::Displaced;
    if (OnRefused)
      OnRefused(it.Refusal);
    if (displaced)
      telemetry::log(Event::LeaseDisplaced, {field("target", Target.Name.Value),
                                             field("account", it.Account.Value),
                                             field("priority", it.Priority),
                                             field("waiting", Waiting.size())});
    refuse(it, displaced ? "displaced by another account"
                         : "no connection free in time");
  }
}

void TargetPool::retire() {
  Retired = true;
  refuseWaiting("target is leaving");
  closeIdle();
}

void TargetPool::abortAll() {
  retire();
  while (!Connections.empty())
    dropConnection(Connections.begin(), "target restarted");
}

PoolStats TargetPool::stats() const {
  PoolStats out;
  out.Waiting = Waiting.size();
  out.MostByAccount = Waiting.mostByAccount();
  for (const auto &it : Connections) {
    ++out.Open;
    out.Opening += it.second.State == Phase::Opening;
    out.Idle += it.second.State == Phase::Idle;
  }
  return out;
}

} // namespace peridotfall::proxy
