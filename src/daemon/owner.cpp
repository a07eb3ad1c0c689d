#include "daemon/owner.h"

#include <algorithm>
#include <utility>

namespace peridotfall {

namespace {

constexpr std::chrono::milliseconds RetryAfterUnavailable{500};
constexpr std::chrono::milliseconds RetryAfterHeld{100};

constexpr std::chrono::milliseconds RetryAfterBusy{100};

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
  // Weak: the work stands in the owner's own queue, and would keep it alive.
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
    // A new number of slots comes into force once the queue is empty.
    std::hash<std::string> hash;
    if (!pool.Queue || pool.Queue->queued() + pool.Queue->running() == 0)
      pool.Queue.emplace(target.Slots,
                         hash(target.Name.Value) ^ hash(Self.Value));
  }
  pool.Target = target;
  // Half: while views of membership differ, an old and a new owner both
  // hold connections, and together they must stay within the target's.
  pool.Most = std::max(target.Connections / 2, 1U);
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

/// Takes the work into the queue. \return its refusal otherwise.
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
                    "another statement of the transaction runs",
                    RetryAfterBusy);
  }
  bool begins = !work.inTransaction() && request.What == Verb::Begin;
  if (begins &&
      pool.Transactions.size() + pool.Beginning >= mostTransactions(pool))
    return notRun(request, AnswerCode::Overloaded,
                  "as many transactions are open as the target allows",
                  limits::IdleTransaction);
  auto offer = pool.Queue->offer(workItemOf(work, pool), Time.now());
  for (const auto &it : offer.Others) {
    auto other = pool.Waiting.extract(it.Ticket);
    releaseWaiting(pool, other.mapped());
    auto answer = notRun(other.mapped().Request, it.Why.Code,
                         "refused for work of others", it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(other.mapped()), std::move(answer));
  }
  if (!offer.Ticket.valid())
    return notRun(request, offer.Why.Code,
                  offer.Why.Code == AnswerCode::DeadlinePassed
                      ? "deadline passed"
                      : "the target is busy beyond the deadline",
                  offer.Why.RetryAfter);
  if (work.inTransaction()) {
    open->second.Busy = true;
    work.Connection = open->second.Connection;
    // Failure: the target was fenced, dropped the transaction, and leads again
    // in a higher term. Symptom: a later statement of the transaction runs and
    // commits alone. With the term of its beginning it is refused.
    work.Request.InTerm = open->second.InTerm;
  }
  pool.Beginning += begins ? 1 : 0;
  work.Ticket = offer.Ticket;
  pool.Waiting.emplace(offer.Ticket, std::move(work));
  return std::nullopt;
}

void Owner::pump(const TargetName &target) {
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
    auto late = pool.Waiting.extract(it.Ticket);
    releaseWaiting(pool, late.mapped());
    auto answer = notRun(late.mapped().Request, it.Why.Code,
                         "could not be answered in time", it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(late.mapped()), std::move(answer));
  }
  while (auto ticket = pool.Queue->next(now)) {
    auto work = std::move(pool.Waiting.extract(*ticket).mapped());
    if (work.Gone->load()) {
      pool.Queue->finish(*ticket);
      releaseWaiting(pool, work);
      auto answer = notRun(work.Request, AnswerCode::DeadlinePassed,
                           "the caller has gone");
      actions.Answers.emplace_back(std::move(work), std::move(answer));
    } else if (work.Connection)
      actions.Start.push_back(std::move(work));
    else
      pool.Started.push_back(std::move(work));
  }
  while (!pool.Started.empty() && !pool.Idle.empty()) {
    pool.Started.front().Connection = std::move(pool.Idle.back());
    pool.Idle.pop_back();
    actions.Start.push_back(std::move(pool.Started.front()));
    pool.Started.pop_front();
  }
  if (pool.Started.size() > pool.Opening && pool.Held < pool.Most) {
    ++pool.Held;
    ++pool.Opening;
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
    self->connected(target, it);
  });
}

void Owner::connected(const TargetName &target,
                      const Result<target::ConnectionPtr> &result) {
  Actions actions;
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
        refuseAll(pool, result.error().Message, actions);
    }
    plan(pool, actions);
  }
  perform(target, std::move(actions));
}

/// Refuses what has no connection yet, started or not.
void Owner::refuseAll(OwnerPool &pool, const std::string &why,
                      Actions &actions) {
  auto refuse = [&](OwnedWork work) {
    releaseWaiting(pool, work);
    auto answer = notRun(work.Request, AnswerCode::Unavailable, why,
                         RetryAfterUnavailable);
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  };
  for (auto &it : std::exchange(pool.Started, {})) {
    pool.Queue->finish(it.Ticket);
    refuse(std::move(it));
  }
  pool.Queue->clear(Time.now());
  for (auto &[ticket, it] : std::exchange(pool.Waiting, {}))
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
  auto opened = settle(work, answer);
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

std::string Owner::settle(const OwnedWork &work,
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
      --pool.Beginning;
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
      pool.Idle.push_back(work.Connection);
    else if (giveBack)
      --pool.Held;
  }
  pump(request.Target);
  return opened;
}

/// Failure: an old primary comes back with writes that no other target has,
/// and is read as a replica. Symptom: a session sees a write that is gone with
/// its next read. A target's last record is of the present term once it
/// follows the present primary, and then it has dropped such a tail.
bool Owner::isOfOldTerm(const OwnedWork &work,
                        const StatementAnswer &answer) const {
  return work.Request.Mode != Access::Write && !work.inTransaction() &&
         answer.Effect == Outcome::Done &&
         answer.At.InTerm < Views.get(work.Request.Database).InTerm;
}

/// Failure: this owner's view of who leads is older or newer than the entry's.
/// Symptom: a read that only the primary may answer is given by a replaced
/// one. So the request says it, too, and not the owner's view alone.
bool Owner::needsConfirmation(const OwnedWork &work,
                              const StatementAnswer &answer) const {
  const auto &request = work.Request;
  if (request.Mode != Access::FreshRead)
    return request.Mode == Access::Write;
  return request.PrimaryOnly ||
         Views.get(request.Database).Primary == answer.ServedBy;
}

void Owner::confirm(const OwnedWork &work, StatementAnswer answer) {
  if (isOfOldTerm(work, answer)) {
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

} // namespace peridotfall
