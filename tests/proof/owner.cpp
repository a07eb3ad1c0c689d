#include "proof/owner.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds ConnectLimit{500};
constexpr milliseconds ConfirmLimit{1'000};
/// Added to a replica's wait, for its answer to arrive.
constexpr milliseconds ConfirmGrace{50};
/// A transaction idle this long is dropped with its connection.
constexpr milliseconds TransactionLimit{2'000};
constexpr milliseconds RetryAfter{500};
constexpr milliseconds ResetDelay{2};

/// A connection whose last answer was lost may still deliver it, or have an
/// open transaction, so it is not reused.
bool leavesUsable(const StatementAnswer &it) {
  return it.Effect != Outcome::Unknown && it.Code != AnswerCode::Unavailable;
}

} // namespace

void Owner::reset() {
  HeldUntil = {};
  Pools.clear();
  Confirmations.clear();
  Open.clear();
  Running = 0;
}

FakeTarget *Owner::find(const TargetName &name) const {
  for (auto *it : Targets)
    if (it->name() == name)
      return it;
  return nullptr;
}

void Owner::execute(StatementRequest request, OnAnswer done) {
  auto opened = Open.find(request.Transaction);
  if (opened != Open.end())
    request.Target = opened->second.Target;
  auto name = request.Target;
  auto budget = request.Budget;
  ++Running;
  auto counted = [this, done = std::move(done)](StatementAnswer it) {
    --Running;
    done(std::move(it));
  };
  auto work =
      std::make_shared<Work>(Work{std::move(request), std::move(counted), {}});
  Context.Net.timer(Self, budget, [this, name, work] { expire(name, work); });
  if (!work->Request.Transaction.empty()) {
    executeInTransaction(work);
    return;
  }
  Pools[name].Queue.push_back(work);
  Context.Hooks.reached(Step::Queued);
  pump(name);
}

void Owner::expire(const TargetName &name, const WorkPtr &work) {
  if (!work->Done)
    return;
  if (!work->Connection.valid()) {
    std::exchange(work->Done, nullptr)(
        notRun(work->Request, AnswerCode::DeadlinePassed, "in the queue"));
    return;
  }
  Pools[name].Waiting.erase(work->Connection);
  finish(name, work,
         Context.Guards.TruthfulNotRun
             ? unknownOutcome(work->Request, AnswerCode::ConnectionLost,
                              "no answer")
             : notRun(work->Request, AnswerCode::ConnectionLost, "no answer"));
}

void Owner::targetClosed(const TargetName &target) {
  auto &pool = Pools[target];
  pool.Connections -= static_cast<unsigned>(pool.Idle.size());
  pool.Idle.clear();
  auto waiting = std::exchange(pool.Waiting, {});
  for (const auto &[connection, work] : waiting)
    if (work->Done)
      finish(target, work,
             unknownOutcome(work->Request, AnswerCode::ConnectionLost,
                            "connection reset"));
}

void Owner::pump(const TargetName &name) {
  auto &pool = Pools[name];
  while (!pool.Queue.empty()) {
    auto work = pool.Queue.front();
    bool held =
        work->Request.Mode == Access::Write && Context.Sim.now() < HeldUntil;
    if (!work->Done || held) {
      pool.Queue.pop_front();
      if (work->Done)
        std::exchange(work->Done,
                      nullptr)(notRun(work->Request, AnswerCode::Unavailable,
                                      HandoverDetail, RetryAfter));
      continue;
    }
    if (pool.Idle.empty()) {
      if (pool.Connections < MaxConnections)
        connect(name);
      return;
    }
    auto connection = pool.Idle.back();
    pool.Idle.pop_back();
    pool.Queue.pop_front();
    send(name, work, connection);
  }
}

void Owner::connect(const TargetName &name) {
  auto *target = find(name);
  ++Pools[name].Connections;
  Context.Net.call<std::optional<ConnectionId>>(
      Self, target->node(), ConnectLimit,
      [target](auto answer) { answer(target->connect()); },
      [this, name](const Result<std::optional<ConnectionId>> &it) {
        auto &pool = Pools[name];
        if (it && it.value()) {
          pool.Idle.push_back(*it.value());
          pump(name);
          return;
        }
        --pool.Connections;
        if (pool.Connections > 0)
          return;
        // Without any connection nothing would serve the queue.
        auto refused = std::exchange(pool.Queue, {});
        for (const auto &work : refused)
          if (work->Done)
            std::exchange(work->Done, nullptr)(
                notRun(work->Request, AnswerCode::Unavailable,
                       "no connection to the target", RetryAfter));
      });
}

void Owner::send(const TargetName &name, const WorkPtr &work,
                 ConnectionId connection) {
  auto *target = find(name);
  work->Connection = connection;
  Pools[name].Waiting[connection] = work;
  auto request = work->Request;
  Context.Net.send(
      Self, target->node(), [this, name, target, connection, request] {
        Context.Net.answer(target->node(), Self,
                           target->execute(connection, request),
                           [this, name, connection](StatementAnswer it) {
                             received(name, connection, std::move(it));
                           });
      });
  if (!Context.Net.isUp(target->node()))
    Context.Net.timer(Self, ResetDelay, [this, name, work] {
      if (work->Done)
        expire(name, work);
    });
  Context.Hooks.reached(Step::Sent);
}

/// Late, duplicated and crossed answers arrive on a connection that already
/// serves another request. Only the request id identifies them.
void Owner::received(const TargetName &name, ConnectionId connection,
                     StatementAnswer answer) {
  auto &waiting = Pools[name].Waiting;
  auto it = waiting.find(connection);
  if (it == waiting.end())
    return;
  auto work = it->second;
  if (Context.Guards.AnswerIdChecked && answer.Id != work->Request.Id)
    return;
  waiting.erase(it);
  if (work->Done)
    finish(name, work, std::move(answer));
}

void Owner::finish(const TargetName &name, const WorkPtr &work,
                   StatementAnswer answer) {
  bool usable = leavesUsable(answer) || !Context.Guards.ConnectionDropped;
  answer.ServedBy = name;
  bool inTransaction = !work->Request.Transaction.empty();
  if (work->Request.What == Verb::Begin && answer.Code == AnswerCode::Ok)
    openTransaction(name, work, answer);
  else if (!inTransaction || endTransaction(work, answer, usable))
    releaseConnection(name, work->Connection, usable);
  confirm(work, std::move(answer));
}

void Owner::openTransaction(const TargetName &name, const WorkPtr &work,
                            StatementAnswer &answer) {
  auto handle =
      fmt::format("{}.{}.{}", Self.Index, name.Value, ++LastTransaction);
  answer.Transaction = handle;
  Open[handle] = {name, work->Connection, answer.At.InTerm, false};
  Context.Net.timer(Self, TransactionLimit, [this, handle] {
    auto it = Open.find(handle);
    if (it == Open.end() || it->second.Busy)
      return;
    auto gone = it->second;
    Open.erase(it);
    releaseConnection(gone.Target, gone.Connection, false);
  });
}

bool Owner::endTransaction(const WorkPtr &work, const StatementAnswer &answer,
                           bool usable) {
  auto it = Open.find(work->Request.Transaction);
  if (it == Open.end())
    return false;
  it->second.Busy = false;
  bool last = work->Request.What == Verb::Commit ||
              work->Request.What == Verb::Rollback;
  bool gone = answer.Code == AnswerCode::TransactionGone ||
              answer.Code == AnswerCode::Fenced ||
              answer.Code == AnswerCode::NotPrimary;
  bool ended = !usable || gone || (last && answer.Effect != Outcome::NotRun);
  if (ended)
    Open.erase(it);
  return ended;
}

void Owner::releaseConnection(const TargetName &name, ConnectionId connection,
                              bool usable) {
  auto &pool = Pools[name];
  if (usable) {
    pool.Idle.push_back(connection);
  } else {
    --pool.Connections;
    auto *target = find(name);
    Context.Net.send(Self, target->node(),
                     [target, connection] { target->disconnect(connection); });
  }
  pump(name);
}

void Owner::executeInTransaction(const WorkPtr &work) {
  auto it = Open.find(work->Request.Transaction);
  if (it == Open.end() || it->second.Busy) {
    auto code =
        it == Open.end() ? AnswerCode::TransactionGone : AnswerCode::Busy;
    std::exchange(work->Done, nullptr)(notRun(work->Request, code, "in it"));
    return;
  }
  it->second.Busy = true;
  // A target that was fenced has dropped the transaction and may be primary
  // again in a higher term; a later statement of the transaction would run and
  // commit alone. With the term in which the transaction began it is refused.
  if (Context.Guards.TransactionTerm)
    work->Request.InTerm = it->second.InTerm;
  send(it->second.Target, work, it->second.Connection);
}

void Owner::confirm(const WorkPtr &work, StatementAnswer answer) {
  const auto &request = work->Request;
  bool writes =
      request.Mode == Access::Write &&
      (request.What == Verb::Statement && request.Transaction.empty());
  bool commits = request.What == Verb::Commit;
  // Only reads sent to the primary have a term.
  bool reads = request.Mode == Access::FreshRead && request.InTerm != 0 &&
               Context.Guards.ReadsConfirmed;
  auto done = std::exchange(work->Done, nullptr);
  if (answer.Effect != Outcome::Done || !(writes || commits || reads) ||
      (!Context.Guards.Confirmation && !reads)) {
    done(std::move(answer));
    return;
  }
  auto name = request.Target;
  auto at = answer.At;
  auto &it = Confirmations[name];
  TicketHandle ticket;
  auto actions =
      failover::onCommitted(it.State, at, Context.Sim.now() + ConfirmLimit,
                            Context.Sim.now(), ticket);
  it.Waiting[ticket] = {request, std::move(answer), std::move(done)};
  perform(name, actions);
  Context.Net.timer(Self, ConfirmLimit, [this, name] { confirmTick(name); });
}

void Owner::confirmTick(const TargetName &name) {
  perform(name, failover::onConfirmTick(Confirmations[name].State,
                                        Context.Sim.now()));
}

void Owner::perform(const TargetName &name,
                    const failover::ConfirmActions &actions) {
  for (const auto &action : actions) {
    if (const auto *replicas = std::get_if<failover::QueryReplicas>(&action))
      query(name, *replicas);
    else if (const auto *primary = std::get_if<failover::QueryPrimary>(&action))
      query(name, *primary);
    else
      complete(name, std::get<failover::ConfirmResult>(action));
  }
}

failover::TargetReport Owner::applySafeguards(failover::TargetReport it,
                                              Position at) const {
  if (!Context.Guards.LastRecordTerm && it.Last.Index >= at.Index)
    it.Last.InTerm = at.InTerm;
  return it;
}

void Owner::query(const TargetName &name, const failover::QueryReplicas &it) {
  for (auto *target : Targets) {
    if (target->name() == name)
      continue;
    Context.Net.call<failover::TargetReport>(
        Self, target->node(), it.Wait + ConfirmGrace,
        [target, it](auto reply) {
          target->awaitPosition(it.At.InTerm, it.At, it.Wait, reply);
        },
        [this, name, it](const Result<failover::TargetReport> &report) {
          std::optional<failover::TargetReport> known;
          if (report)
            known = applySafeguards(report.value(), it.At);
          perform(name, failover::onReplica(Confirmations[name].State, it.Round,
                                            known, Context.Sim.now()));
        });
  }
}

void Owner::query(const TargetName &name, const failover::QueryPrimary &it) {
  auto *primary = find(name);
  auto done = [this, name, it](const Result<failover::TargetReport> &report) {
    std::optional<failover::TargetReport> known;
    if (report)
      known = report.value();
    perform(name, failover::onPrimary(Confirmations[name].State, it.Round,
                                      known, Context.Sim.now()));
  };
  if (Context.Guards.PrimaryStatusChecked) {
    Context.Net.call<failover::TargetReport>(
        Self, primary->node(), ConfirmLimit,
        [primary](auto reply) { reply(primary->report()); }, done);
    return;
  }
  failover::TargetReport claimed;
  claimed.IsPrimary = true;
  for (const auto &round : Confirmations[name].State.Rounds)
    if (round.Round == it.Round)
      claimed.CurrentTerm = round.At.InTerm;
  done(claimed);
}

void Owner::complete(const TargetName &name,
                     const failover::ConfirmResult &it) {
  auto &waiting = Confirmations[name].Waiting;
  auto found = waiting.find(it.Ticket);
  if (found == waiting.end())
    return;
  auto item = std::move(found->second);
  waiting.erase(found);
  if (it.IsConfirmed) {
    Context.Hooks.reached(Step::Confirmed);
    item.Done(item.Answer);
  } else if (item.Request.Mode == Access::Write) {
    item.Done(unknownOutcome(item.Request, AnswerCode::NotConfirmed,
                             "on no replica within the limit"));
  } else {
    item.Done(notRun(item.Request, AnswerCode::NotConfirmed,
                     "the read could not be confirmed", RetryAfter));
  }
}

} // namespace peridotfall::proof
