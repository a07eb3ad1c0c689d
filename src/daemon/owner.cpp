#include "daemon/owner.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

namespace {

constexpr std::chrono::milliseconds RetryAfterUnavailable{500};
constexpr std::chrono::milliseconds RetryAfterHandover{100};
constexpr std::chrono::milliseconds RetryAfterBusy{100};

} // namespace

Owner::Owner(const Clock &clock, VmName self,
             const ConfigurationInForce &config, Targets &targets,
             GroupViews &views)
    : Time(clock), Self(std::move(self)), Config(config), Apis(targets),
      Views(views), Confirmations(clock, targets) {}

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

void Owner::execute(StatementRequest request, CallerGoneFlag gone,
                    OnAnswer done) {
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
    done(notRun(request, AnswerCode::NotPrimary,
                "a planned handover of the primary is in progress",
                RetryAfterHandover));
    return;
  }
  ++Running;
  // A weak pointer, since the owner's own queue holds this callback and would
  // keep the owner alive.
  auto counted = [weak = weak_from_this(),
                  done = std::move(done)](StatementAnswer it) {
    if (auto self = weak.lock())
      --self->Running;
    done(std::move(it));
  };
  auto deadline = Time.now() + request.Budget;
  enqueue(*target, {std::move(request),
                    std::move(gone),
                    std::move(counted),
                    deadline,
                    *database,
                    {},
                    nullptr,
                    {}});
}

OwnerPool &Owner::poolOf(Shard &shard, const TargetConfig &target) {
  auto &pool = shard.Pools[target.Name];
  if (!pool.Api)
    pool.Api = Apis.get(target.Address);
  if (!pool.Queue || pool.Target.Slots != target.Slots) {
    // A changed number of slots is applied once the queue is empty.
    std::hash<std::string> hash;
    if (!pool.Queue || pool.Queue->queued() + pool.Queue->running() == 0)
      pool.Queue.emplace(target.Slots,
                         hash(target.Name.Value) ^ hash(Self.Value));
  }
  pool.Target = target;
  // Half of the target's connections: while views of membership differ, an old
  // and a new owner both hold some, and their sum must stay within the limit.
  pool.MaxConnections = std::max(target.Connections / 2, 1U);
  return pool;
}

void Owner::enqueue(const TargetConfig &target, OwnedWork work) {
  Actions actions;
  {
    auto &shard = shardOf(target.Name);
    std::lock_guard guard(shard.Lock);
    auto &pool = poolOf(shard, target);
    if (auto refused = admit(pool, work, actions))
      actions.Answers.emplace_back(std::move(work), std::move(*refused));
    plan(pool, actions);
  }
  perform(target.Name, std::move(actions));
}

/// Queues the work. \return the answer if it is refused instead.
std::optional<StatementAnswer> Owner::admit(OwnerPool &pool, OwnedWork &work,
                                            Actions &actions) {
  const auto &request = work.Request;
  auto open = pool.Transactions.find(request.Transaction);
  if (work.inTransaction()) {
    if (open == pool.Transactions.end())
      return notRun(request, AnswerCode::TransactionGone,
                    "the transaction has ended or was lost");
    if (open->second.Busy)
      return notRun(request, AnswerCode::Busy,
                    "another statement of the transaction is running",
                    RetryAfterBusy);
  }
  bool begins = !work.inTransaction() && request.What == Verb::Begin;
  if (begins && pool.Transactions.size() + pool.OpeningTransactions >=
                    maxOpenTransactions(pool))
    return notRun(request, AnswerCode::Overloaded,
                  "the target's limit of open transactions is reached",
                  limits::IdleTransaction);
  auto offer = pool.Queue->offer(workItemOf(work, pool), Time.now());
  for (const auto &it : offer.Others) {
    auto other = pool.Queued.extract(it.Ticket);
    undoAdmission(pool, other.mapped());
    auto answer = notRun(other.mapped().Request, it.Why.Code,
                         "removed from the queue in favour of other work",
                         it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(other.mapped()), std::move(answer));
  }
  if (!offer.Ticket.valid())
    return notRun(request, offer.Why.Code,
                  offer.Why.Code == AnswerCode::DeadlinePassed
                      ? "deadline passed"
                      : "the queue of the target is longer than the deadline",
                  offer.Why.RetryAfter);
  if (work.inTransaction()) {
    open->second.Busy = true;
    work.Connection = open->second.Connection;
    // A target that was fenced drops its transactions, and may become primary
    // again in a higher term. A later statement of the transaction would then
    // run and commit on its own. The term in which the transaction began makes
    // the target refuse it.
    work.Request.InTerm = open->second.InTerm;
  }
  pool.OpeningTransactions += begins ? 1 : 0;
  work.Ticket = offer.Ticket;
  pool.Queued.emplace(offer.Ticket, std::move(work));
  return std::nullopt;
}

void Owner::dispatch(const TargetName &target) {
  Actions actions;
  {
    auto &shard = shardOf(target);
    std::lock_guard guard(shard.Lock);
    plan(shard.Pools[target], actions);
  }
  perform(target, std::move(actions));
}

void Owner::plan(OwnerPool &pool, Actions &actions) {
  auto now = Time.now();
  for (const auto &it : pool.Queue->expire(now)) {
    auto late = pool.Queued.extract(it.Ticket);
    undoAdmission(pool, late.mapped());
    auto answer =
        notRun(late.mapped().Request, it.Why.Code,
               "cannot be answered before its deadline", it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(late.mapped()), std::move(answer));
  }
  while (auto ticket = pool.Queue->next(now)) {
    auto work = std::move(pool.Queued.extract(*ticket).mapped());
    if (work.Gone->load()) {
      pool.Queue->finish(*ticket);
      undoAdmission(pool, work);
      auto answer = notRun(work.Request, AnswerCode::DeadlinePassed,
                           "the caller no longer waits");
      actions.Answers.emplace_back(std::move(work), std::move(answer));
    } else if (work.Connection)
      actions.Start.push_back(std::move(work));
    else
      pool.AwaitingConnection.push_back(std::move(work));
  }
  while (!pool.AwaitingConnection.empty() && !pool.IdleConnections.empty()) {
    pool.AwaitingConnection.front().Connection =
        std::move(pool.IdleConnections.back());
    pool.IdleConnections.pop_back();
    actions.Start.push_back(std::move(pool.AwaitingConnection.front()));
    pool.AwaitingConnection.pop_front();
  }
  if (pool.AwaitingConnection.size() > pool.OpeningConnections &&
      pool.ConnectionCount < pool.MaxConnections) {
    ++pool.ConnectionCount;
    ++pool.OpeningConnections;
    actions.Connect = pool.Api;
  }
}

void Owner::perform(const TargetName &target, Actions actions) {
  for (const auto &it : actions.Close)
    it->Close();
  for (auto &[work, answer] : actions.Answers)
    work.Done(std::move(answer));
  if (actions.Connect)
    connect(target, actions.Connect);
  for (auto &it : actions.Start)
    run(std::move(it));
}

void Owner::connect(const TargetName &target, const TargetPtr &api) {
  api->Connect([self = shared_from_this(),
                target](const Result<target::ConnectionPtr> &it) {
    self->handleConnection(target, it);
  });
}

void Owner::handleConnection(const TargetName &target,
                             const Result<target::ConnectionPtr> &result) {
  Actions actions;
  {
    auto &shard = shardOf(target);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[target];
    --pool.OpeningConnections;
    if (result)
      pool.IdleConnections.push_back(result.value());
    else {
      --pool.ConnectionCount;
      // Without an open connection nothing takes work from the queue.
      // Connections being opened don't count: on a failed target two attempts
      // could alternate, each failing while the other is in progress, and the
      // queue would never be refused.
      if (pool.ConnectionCount == pool.OpeningConnections)
        refuseAll(pool, result.error().Message, actions);
    }
    plan(pool, actions);
  }
  perform(target, std::move(actions));
}

/// Refuses all work without a connection, whether or not it has a slot.
void Owner::refuseAll(OwnerPool &pool, const std::string &why,
                      Actions &actions) {
  auto refuse = [&](OwnedWork work) {
    undoAdmission(pool, work);
    auto answer = notRun(work.Request, AnswerCode::Unavailable, why,
                         RetryAfterUnavailable);
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  };
  for (auto &it : std::exchange(pool.AwaitingConnection, {})) {
    pool.Queue->finish(it.Ticket);
    refuse(std::move(it));
  }
  pool.Queue->clear(Time.now());
  for (auto &[ticket, it] : std::exchange(pool.Queued, {}))
    refuse(std::move(it));
}

void Owner::run(OwnedWork work) {
  auto limit = std::max(timeLeft(work.Deadline), std::chrono::milliseconds(1));
  work.Request.Budget = limit;
  work.StartedAt = Time.now();
  auto request = work.Request;
  auto connection = work.Connection;
  connection->Execute(
      request, limit,
      [self = shared_from_this(), work = std::move(work)](StatementAnswer it) {
        self->finish(work, std::move(it));
      });
}

void Owner::finish(const OwnedWork &work, StatementAnswer answer) {
  auto opened = recordCompletion(work, answer);
  if (!opened.empty())
    answer.Transaction = opened;
  answer.ServedBy = work.Request.Target;
  if (work.inTransaction() && (answer.Code == AnswerCode::Fenced ||
                               answer.Code == AnswerCode::NotPrimary))
    answer.Code = AnswerCode::TransactionGone;
  if (answer.Code == AnswerCode::Busy && !answer.RetryAfter)
    answer.RetryAfter = RetryAfterBusy;
  bool confirms = work.Request.What == Verb::Commit ||
                  (!work.inTransaction() && opened.empty());
  if (confirms)
    confirm(work, std::move(answer));
  else
    work.Done(std::move(answer));
}

std::string Owner::recordCompletion(const OwnedWork &work,
                                    const StatementAnswer &answer) {
  const auto &request = work.Request;
  bool begins = !work.inTransaction() && request.What == Verb::Begin;
  bool usable = leavesConnectionUsable(answer);
  std::string opened;
  bool giveBack = true;
  if (!usable)
    work.Connection->Close();
  {
    auto &shard = shardOf(request.Target);
    std::lock_guard guard(shard.Lock);
    auto &pool = shard.Pools[request.Target];
    auto now = Time.now();
    pool.Queue->finish(work.Ticket);
    if (answer.Effect == Outcome::Done)
      pool.Estimates.observe(workKey(request), now - work.StartedAt);
    if (begins) {
      --pool.OpeningTransactions;
      if (answer.Code == AnswerCode::Ok) {
        opened = makeTransactionHandle({Self, request.Target});
        auto term = request.InTerm != 0 ? request.InTerm : answer.At.InTerm;
        pool.Transactions[opened] = {work.Connection, term, false, now};
        giveBack = false;
      }
    }
    auto open = pool.Transactions.find(request.Transaction);
    if (open != pool.Transactions.end()) {
      open->second.Busy = false;
      open->second.IdleSince = now;
      giveBack = endsTransaction(request, answer);
      if (giveBack)
        pool.Transactions.erase(open);
    }
    if (giveBack && usable && work.Connection->IsOpen())
      pool.IdleConnections.push_back(work.Connection);
    else if (giveBack)
      --pool.ConnectionCount;
  }
  dispatch(request.Target);
  return opened;
}

/// A former primary may return with writes that no other target has, and be
/// read as a replica: a session would see a write that is missing from its next
/// read. Once a target follows the current primary, it has dropped such writes
/// and its last record is of the current term.
bool Owner::isFromOlderTerm(const OwnedWork &work,
                            const StatementAnswer &answer) const {
  return work.Request.Mode != Access::Write && !work.inTransaction() &&
         answer.Effect == Outcome::Done &&
         answer.At.InTerm < Views.get(work.Request.Database).InTerm;
}

/// This owner's view of which target is primary may be older or newer than the
/// entry daemon's. By the owner's view alone, a replaced primary could answer a
/// read that only the primary may answer; so the request carries the flag, too.
bool Owner::needsConfirmation(const OwnedWork &work,
                              const StatementAnswer &answer) const {
  const auto &request = work.Request;
  if (request.Mode != Access::FreshRead)
    return request.Mode == Access::Write;
  return request.PrimaryOnly ||
         Views.get(request.Database).Primary == answer.ServedBy;
}

void Owner::confirm(const OwnedWork &work, StatementAnswer answer) {
  if (isFromOlderTerm(work, answer)) {
    auto behind = notRun(work.Request, AnswerCode::Behind,
                         "the target's last record is of an older term");
    behind.At = answer.At;
    behind.ServedBy = answer.ServedBy;
    work.Done(std::move(behind));
    return;
  }
  bool needed = needsConfirmation(work, answer);
  if (answer.Effect != Outcome::Done || !needed) {
    work.Done(std::move(answer));
    return;
  }
  auto limit = std::min(work.Database.ConfirmLimit, timeLeft(work.Deadline));
  auto at = answer.At;
  Confirmations.confirmPosition(
      work.Database, work.Request.Target, at,
      std::max(limit, std::chrono::milliseconds(1)),
      [work, answer = std::move(answer)](bool confirmed) {
        if (confirmed)
          work.Done(answer);
        else if (work.Request.Mode == Access::Write)
          work.Done(unknownOutcome(work.Request, AnswerCode::NotConfirmed,
                                   "committed on the primary, but not "
                                   "confirmed by a replica in time"));
        else
          work.Done(notRun(work.Request, AnswerCode::NotConfirmed,
                           "the primary's answer could not be confirmed",
                           RetryAfterUnavailable));
      });
}

} // namespace peridotfall
