#include "daemon/owner.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

namespace {

constexpr std::chrono::milliseconds RetryAfterUnavailable{500};
constexpr std::chrono::milliseconds RetryAfterHeld{100};

/// A connection whose last answer was lost may still carry it, or hold an
/// open transaction: handed on, it would give one caller another's rows.
bool leavesConnectionUsable(const StatementAnswer &it) {
  return it.Effect != Outcome::Unknown && it.Code != AnswerCode::Unavailable;
}

} // namespace

Owner::Owner(const Clock &clock, VmName self,
             const ConfigurationInForce &config, Targets &targets,
             GroupViews &views)
    : Time(clock), Self(std::move(self)), Config(config), Apis(targets),
      Views(views), Confirms(clock, targets) {}

Owner::Shard &Owner::shardOf(const TargetName &target) {
  return Shards[std::hash<TargetName>{}(target) % Shards.size()];
}

std::size_t Owner::inFlight() const {
  std::size_t n = Running.load();
  for (const auto &shard : Shards) {
    std::lock_guard guard(shard.Lock);
    for (const auto &[name, pool] : shard.Pools)
      n += pool.Transactions.size();
  }
  return n;
}

std::chrono::milliseconds Owner::timeLeft(TimePoint deadline) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline -
                                                               Time.now());
}

void Owner::execute(StatementRequest request, GoneFlag gone, OnAnswer done) {
  auto config = Config.get();
  const auto *database =
      config ? findDatabase(*config, request.Database) : nullptr;
  const auto *target =
      database ? findTarget(*database, request.Target) : nullptr;
  if (!target) {
    done(notRun(request, AnswerCode::UnknownDatabase,
                "database or target not in the configuration in force"));
    return;
  }
  bool opens = request.Transaction.empty() && request.Mode == Access::Write;
  if (opens && Views.writesHeld(request.Database, Time.now())) {
    done(notRun(request, AnswerCode::NotPrimary, "the primary is handing over",
                RetryAfterHeld));
    return;
  }
  ++Running;
  auto counted = [self = shared_from_this(),
                  done = std::move(done)](StatementAnswer it) {
    --self->Running;
    done(std::move(it));
  };
  auto deadline = Time.now() + request.Budget;
  Work work{std::move(request), std::move(gone), std::move(counted), deadline,
            *database};
  if (!work.Request.Transaction.empty())
    executeInTransaction(std::move(work));
  else
    enqueue(*target, std::move(work));
}

void Owner::enqueue(const TargetConfig &target, Work work) {
  {
    auto &shard = shardOf(target.Name);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[target.Name];
    if (!pool.Api)
      pool.Api = Apis.get(target.Address);
    // Half: while views of membership differ, an old and a new owner both
    // hold connections, and together they must stay within the target's.
    pool.Most = std::max(target.Connections / 2, 1U);
    pool.Queue.push_back(std::move(work));
  }
  pump(target.Name);
}

void Owner::pump(const TargetName &target) {
  std::vector<std::pair<target::ConnectionPtr, Work>> ready;
  std::vector<Work> late;
  TargetPtr toConnect;
  {
    auto &shard = shardOf(target);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[target];
    while (!pool.Queue.empty()) {
      auto &front = pool.Queue.front();
      if (front.Gone->load() || front.Deadline <= Time.now()) {
        late.push_back(std::move(front));
        pool.Queue.pop_front();
      } else if (!pool.Idle.empty()) {
        ready.emplace_back(std::move(pool.Idle.back()), std::move(front));
        pool.Idle.pop_back();
        pool.Queue.pop_front();
      } else
        break;
    }
    if (pool.Queue.size() > pool.Opening && pool.Held < pool.Most) {
      ++pool.Held;
      ++pool.Opening;
      toConnect = pool.Api;
    }
  }
  for (auto &it : late)
    it.Done(notRun(it.Request, AnswerCode::DeadlinePassed,
                   "deadline passed in the queue"));
  if (toConnect)
    connect(target, toConnect);
  for (auto &[connection, work] : ready)
    run(connection, std::move(work));
}

void Owner::connect(const TargetName &target, const TargetPtr &api) {
  api->Connect([self = shared_from_this(),
                target](const Result<target::ConnectionPtr> &it) {
    self->connected(target, it);
  });
}

void Owner::connected(const TargetName &target,
                      const Result<target::ConnectionPtr> &result) {
  std::deque<Work> refused;
  {
    auto &shard = shardOf(target);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[target];
    --pool.Opening;
    if (result)
      pool.Idle.push_back(result.value());
    else {
      --pool.Held;
      // With no open connection nothing would take from the queue. Those being
      // opened do not count: to a dead target two would fail in turn, each
      // while the other is tried again, and the queue would wait for ever.
      if (pool.Held == pool.Opening)
        refused = std::exchange(pool.Queue, {});
    }
  }
  for (auto &it : refused)
    it.Done(notRun(it.Request, AnswerCode::Unavailable, result.error().Message,
                   RetryAfterUnavailable));
  pump(target);
}

void Owner::run(const target::ConnectionPtr &connection, Work work) {
  auto request = work.Request;
  auto limit = std::max(timeLeft(work.Deadline), std::chrono::milliseconds(1));
  request.Budget = limit;
  connection->Execute(request, limit,
                      [self = shared_from_this(), connection,
                       work = std::move(work)](StatementAnswer it) {
                        self->finish(connection, work, std::move(it));
                      });
}

void Owner::finish(const target::ConnectionPtr &connection, const Work &work,
                   StatementAnswer answer) {
  bool opened =
      work.Request.What == Verb::Begin && answer.Code == AnswerCode::Ok;
  if (opened)
    answer.Transaction = openTransaction(work, connection);
  else
    giveBack(work.Request.Target, connection, leavesConnectionUsable(answer));
  answer.ServedBy = work.Request.Target;
  if (opened)
    work.Done(std::move(answer));
  else
    confirm(work, std::move(answer));
}

void Owner::giveBack(const TargetName &target,
                     const target::ConnectionPtr &connection, bool usable) {
  if (!usable)
    connection->Close();
  {
    auto &shard = shardOf(target);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[target];
    if (usable && connection->IsOpen())
      pool.Idle.push_back(connection);
    else
      --pool.Held;
  }
  pump(target);
}

void Owner::confirm(const Work &work, StatementAnswer answer) {
  bool onPrimary = Views.get(work.Request.Database).Primary == answer.ServedBy;
  bool needed = work.Request.Mode == Access::Write ||
                (work.Request.Mode == Access::FreshRead && onPrimary);
  if (answer.Effect != Outcome::Done || !needed) {
    work.Done(std::move(answer));
    return;
  }
  auto limit = std::min(work.Database.ConfirmLimit, timeLeft(work.Deadline));
  auto at = answer.At;
  Confirms.confirmPosition(
      work.Database, work.Request.Target, at,
      std::max(limit, std::chrono::milliseconds(1)),
      [work, answer = std::move(answer)](bool confirmed) {
        if (confirmed)
          work.Done(answer);
        else if (work.Request.Mode == Access::Write)
          work.Done(unknownOutcome(work.Request, AnswerCode::NotConfirmed,
                                   "committed on the primary, and on no "
                                   "replica within the limit"));
        else
          work.Done(notRun(work.Request, AnswerCode::NotConfirmed,
                           "the primary's answer could not be confirmed",
                           RetryAfterUnavailable));
      });
}

std::string Owner::openTransaction(const Work &work,
                                   const target::ConnectionPtr &connection) {
  auto handle = makeTransactionHandle({Self, work.Request.Target});
  auto &shard = shardOf(work.Request.Target);
  std::lock_guard guard(shard.Lock);
  shard.Pools[work.Request.Target].Transactions[handle] = {connection, false};
  return handle;
}

void Owner::executeInTransaction(Work work) {
  target::ConnectionPtr connection;
  AnswerCode problem = AnswerCode::TransactionGone;
  {
    auto &shard = shardOf(work.Request.Target);
    std::lock_guard guard(shard.Lock);
    auto &open = shard.Pools[work.Request.Target].Transactions;
    auto it = open.find(work.Request.Transaction);
    if (it != open.end() && it->second.Busy)
      problem = AnswerCode::Busy;
    else if (it != open.end()) {
      it->second.Busy = true;
      connection = it->second.Connection;
    }
  }
  if (!connection) {
    work.Done(notRun(work.Request, problem,
                     problem == AnswerCode::Busy
                         ? "another statement of the transaction runs"
                         : "the transaction has ended or was lost"));
    return;
  }
  auto limit = std::max(timeLeft(work.Deadline), std::chrono::milliseconds(1));
  work.Request.Budget = limit;
  auto request = work.Request;
  connection->Execute(request, limit,
                      [self = shared_from_this(), connection,
                       work = std::move(work)](StatementAnswer it) {
                        self->finishInTransaction(connection, work,
                                                  std::move(it));
                      });
}

void Owner::finishInTransaction(const target::ConnectionPtr &connection,
                                const Work &work, StatementAnswer answer) {
  bool usable = leavesConnectionUsable(answer);
  bool ended = !usable || answer.Code == AnswerCode::TransactionGone ||
               ((work.Request.What == Verb::Commit ||
                 work.Request.What == Verb::Rollback) &&
                answer.Effect == Outcome::Done);
  {
    auto &shard = shardOf(work.Request.Target);
    std::lock_guard guard(shard.Lock);
    auto &open = shard.Pools[work.Request.Target].Transactions;
    auto it = open.find(work.Request.Transaction);
    if (it != open.end()) {
      it->second.Busy = false;
      if (ended)
        open.erase(it);
    }
  }
  if (ended)
    giveBack(work.Request.Target, connection, usable);
  answer.ServedBy = work.Request.Target;
  if (work.Request.What == Verb::Commit)
    confirm(work, std::move(answer));
  else
    work.Done(std::move(answer));
}

} // namespace peridotfall
