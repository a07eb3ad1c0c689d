#include "proxy/target_pool.h"

#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

/// \return whether a success of the statement carries the target's signature.
bool isSigned(StatementKind it) {
  return it == StatementKind::Read || it == StatementKind::Write ||
         it == StatementKind::Execute || it == StatementKind::Commit;
}

/// An answer that belongs to another statement of the batch: one was lost on
/// the way, and the answers after it moved up by one place.
bool isMisplaced(const Statement &statement, const Answer &answer) {
  if (!answer.ok())
    return false;
  bool unsignedAnswer = answer.Signature.empty() || answer.Signature == "-";
  return isSigned(statement.Kind) == unsignedAnswer;
}

bool isCallers(const Batch &it) {
  return std::any_of(it.Statements.begin(), it.Statements.end(),
                     [](const Statement &s) { return !s.Id.empty(); });
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
  waiter.First = std::move(first);
  waiter.Done = std::move(done);
  waiter.Since = now;
  waiter.Until = until;
  waiter.End = now + request.Total;
  if (request.GoalLeft)
    waiter.Goal = now + *request.GoalLeft;
  Waiting.push(std::move(waiter), isFree(), MostRunning, now);
  if (!Retired)
    assign();
  return id;
}

void TargetPool::run(LeaseId lease, Batch next, OnBatch done) {
  auto it = findLease(lease);
  auto end = Time.now() + next.Patience;
  start(it, lease, std::move(next), std::move(done), end);
}

bool TargetPool::owns(LeaseId lease) const {
  return Leases.contains(lease) || Waiting.contains(lease);
}

bool TargetPool::isHeld(LeaseId lease) const {
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
    // The answer is awaited, so that the connection can serve others.
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

/// Load: more work than the target runs. Sent all at once, what is beyond its
/// queue is refused by it whatever its priority. The waiting one that is
/// chosen takes the idle connection that needs least to serve it; statements
/// of open transactions do not wait here.
void TargetPool::assign() {
  while (!Waiting.empty() && running() < MostRunning) {
    const auto &next = Waiting.next(Time.now());
    auto it = bestIdle(next.First.Session);
    if (it == Connections.end())
      break;
    auto waiter = Waiting.take(next.Lease);
    noteWait(waiter);
    start(it, waiter.Lease, std::move(waiter.First), std::move(waiter.Done),
          waiter.End);
  }
  openMore();
}

TargetPool::ConnectionIt TargetPool::bestIdle(const Values &session) {
  auto best = Connections.end();
  std::size_t least = 0;
  for (auto it = Connections.begin(); it != Connections.end(); ++it) {
    if (it->second.State != Phase::Idle)
      continue;
    auto n = distance(it->second.Environment.Set, session);
    if (best == Connections.end() || n < least) {
      best = it;
      least = n;
    }
    if (n == 0)
      break;
  }
  return best;
}

/// Load: many statements that wait before a target which was just found, or
/// whose connections were lost. Harm of a connection for each: opening one
/// takes a slot for 12 to 27 ms, more than most statements need, and those
/// that wait are late by it. Reason: what may not run needs no connection.
void TargetPool::openMore() {
  auto now = Time.now();
  if (Retired || now < OpenAfter)
    return;
  // Other daemons may believe for a moment longer that this one holds some.
  auto most = std::max<std::size_t>(Capacity, 1);
  std::size_t opening = 0;
  for (const auto &it : Connections)
    opening += it.second.State == Phase::Opening;
  auto active = running();
  while (opening < Waiting.size() && opening + active < MostRunning &&
         Connections.size() < most) {
    auto id = Port.open(Target);
    Connections[id].Since = now;
    ++opening;
  }
}

void TargetPool::start(ConnectionIt it, LeaseId lease, Batch work, OnBatch done,
                       TimePoint end) {
  auto &connection = it->second;
  auto out = planSetup(connection.Environment, work.Session, work.Needs);
  Running running;
  running.Setup = out.size();
  running.Done = std::move(done);
  running.Sent = Time.now();
  running.Until = std::min(running.Sent + work.Patience, end);
  out.insert(out.end(), work.Statements.begin(), work.Statements.end());
  running.Work = std::move(work);
  connection.Current = std::move(running);
  connection.State = Phase::Running;
  connection.Lease = lease;
  Leases[lease] = it->first;
  Port.send(it->first, out);
}

void TargetPool::opened(ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  it->second.State = Phase::Idle;
  it->second.Since = Time.now();
  if (Failing)
    telemetry::log(Event::TargetReached, {field("target", Target.Name.Value)});
  Failing = false;
  assign();
}

void TargetPool::openFailed(ConnectionId connection,
                            const std::optional<StatementError> &why) {
  Connections.erase(connection);
  auto now = Time.now();
  if (why && why->Kind == ErrorKind::ConnectionLimit) {
    OpenAfter = now + limits::FullPause;
    return;
  }
  OpenAfter = now + limits::RefusedPause;
  if (!Failing)
    telemetry::log(Event::TargetLost,
                   {field("target", Target.Name.Value),
                    field("why", why ? why->Detail : "no connection")});
  Failing = true;
  bool anyOpen =
      std::any_of(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.State != Phase::Opening;
      });
  // Nothing here can serve what waits; another target may.
  if (!anyOpen)
    refuseWaiting("target unreachable");
}

void TargetPool::answered(ConnectionId connection, Answer answer) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  Failing = false;
  if (!it->second.Current) {
    lose(it, "answer to no statement");
    return;
  }
  auto &running = *it->second.Current;
  auto n = running.Came++;
  if (n < running.Setup) {
    // Without its values or prepared statements the connection would run the
    // rest of the batch in another session's state.
    if (!answer.ok())
      lose(it, "set-up of the connection failed");
    return;
  }
  const auto &statement = running.Work.Statements[n - running.Setup];
  if (isMisplaced(statement, answer)) {
    lose(it, "answer out of order");
    return;
  }
  // Prepared names that the target has lost are prepared again.
  if (answer.Error && answer.Error->Kind == ErrorKind::NoStatement)
    it->second.Environment.Known.clear();
  running.Result.Answers.push_back(std::move(answer));
  if (running.Result.Answers.size() == running.Work.Statements.size())
    finish(it);
}

void TargetPool::finish(ConnectionIt it) {
  auto &connection = it->second;
  auto running = std::move(*connection.Current);
  connection.Current.reset();
  running.Result.End = BatchEnd::Whole;
  LastAnswer = Time.now();
  if (isCallers(running.Work))
    Waiting.noteAnswer(LastAnswer - running.Sent);
  bool idle = running.Result.Answers.back().State == TransactionState::Idle;
  running.Result.Kept = !running.Work.EndsLease;
  bool ends = running.Work.EndsLease || connection.Abandoned;
  connection.State = Phase::Held;
  connection.Since = Time.now();
  bool wasRollback =
      running.Work.Statements.back().Kind == StatementKind::Rollback;
  if (ends && !idle && wasRollback)
    lose(it, "rollback left a transaction open");
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

void TargetPool::rollBack(ConnectionIt it) {
  auto lease = it->second.Lease;
  it->second.Abandoned = true;
  Batch work;
  work.Session = it->second.Environment.Set;
  work.Statements = {ownStatement(StatementKind::Rollback)};
  work.EndsLease = true;
  work.Patience = limits::RollbackLimit;
  auto end = Time.now() + work.Patience;
  start(it, lease, std::move(work), nullptr, end);
}

void TargetPool::lose(ConnectionIt it, const char *why) {
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
  running.Result.End = BatchEnd::Lost;
  running.Result.Why = {ErrorKind::InDoubt, why};
  running.Result.TargetUnreachable = Failing;
  running.Done(std::move(running.Result));
}

void TargetPool::logLost(const Running &running, const char *why) const {
  std::string request;
  for (const auto &it : running.Work.Statements)
    if (!it.Id.empty())
      request = it.Id;
  telemetry::log(Event::ConnectionLost,
                 {field("request", request), field("target", Target.Name.Value),
                  field("why", why),
                  field("answers", running.Result.Answers.size())});
}

void TargetPool::closed(ConnectionId connection) {
  auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  lose(it, "connection to the target lost");
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

void TargetPool::noteWait(const Waiter &waiter) const {
  if (OnWaited)
    OnWaited(Time.now() - waiter.Since);
}

void TargetPool::refuse(Waiter &waiter, const char *why) {
  noteWait(waiter);
  BatchResult result;
  result.Why = {ErrorKind::Busy, why};
  result.TargetUnreachable = Failing;
  // A target that is silent may be replaced soon, which is worth a wait.
  result.QueueFull =
      !Failing && !Retired && Time.now() - LastAnswer < limits::SilentAfter;
  waiter.Done(std::move(result));
}

void TargetPool::refuseWaiting(const char *why) {
  for (auto &it : Waiting.takeAll())
    refuse(it, why);
}

void TargetPool::setCapacity(std::size_t connections, std::size_t running) {
  Capacity = connections;
  MostRunning = running;
  // Another daemon may use the places from now on.
  if (Capacity == 0)
    closeIdle();
}

bool TargetPool::isFree() const {
  auto now = stats();
  return now.Waiting == 0 && running() < MostRunning &&
         (now.Idle > 0 || now.Open < Capacity);
}

void TargetPool::tick() {
  auto now = Time.now();
  std::vector<ConnectionId> late;
  std::vector<ConnectionId> silent;
  for (const auto &[id, it] : Connections) {
    bool greeting = it.State == Phase::Opening;
    if (greeting && now - it.Since >= limits::GreetingLimit)
      late.push_back(id);
    if (it.Current && now >= it.Current->Until)
      silent.push_back(id);
  }
  for (auto id : late) {
    Port.close(id);
    openFailed(id, std::nullopt);
  }
  // A silent connection casts doubt on all others of the same path: those
  // that are idle would each cost a statement its patience to find out.
  for (auto id : silent) {
    auto it = Connections.find(id);
    if (it != Connections.end()) {
      Failing = true;
      lose(it, "target silent");
    }
  }
  if (!silent.empty())
    closeIdle();
  for (auto it = Connections.begin(); it != Connections.end();) {
    bool old = it->second.State == Phase::Idle &&
               (Retired || Capacity == 0 ||
                now - it->second.Since >= limits::IdleConnection);
    if (old)
      Port.close(it->first);
    it = old ? Connections.erase(it) : std::next(it);
  }
  for (auto &it : Waiting.takeOver(now))
    refuse(it, "no connection free in time");
  openMore();
}

void TargetPool::retire() {
  Retired = true;
  refuseWaiting("target leaves");
  closeIdle();
}

void TargetPool::breakAll() {
  retire();
  while (!Connections.empty())
    lose(Connections.begin(), "target restarted");
}

PoolStats TargetPool::stats() const {
  PoolStats out;
  out.Waiting = Waiting.size();
  for (const auto &it : Connections) {
    ++out.Open;
    out.Opening += it.second.State == Phase::Opening;
    out.Idle += it.second.State == Phase::Idle;
  }
  return out;
}

} // namespace peridotfall::proxy
