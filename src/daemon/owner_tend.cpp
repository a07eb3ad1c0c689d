// What the owner does from time to time, apart from requests.

#include "daemon/owner.h"

namespace peridotfall {

/// Work that leaves the queue without having run.
void Owner::releaseWaiting(OwnerPool &pool, const OwnedWork &work) {
  if (!work.inTransaction()) {
    if (work.Request.What == Verb::Begin)
      --pool.Beginning;
    return;
  }
  auto open = pool.Transactions.find(work.Request.Transaction);
  if (open == pool.Transactions.end())
    return;
  open->second.Busy = false;
  open->second.IdleSince = Time.now();
}

/// Load: a change of membership. Harm: two daemons hold connections and
/// queues before one target. Reason: what has not started goes back to its
/// entry, which sends it to the new owner; what has started ends here. An
/// entry with an older view is still served, within our half of the target.
void Owner::handOver(OwnerPool &pool, Actions &actions) {
  for (const auto &it : pool.Queue->clear(Time.now())) {
    auto waiting = pool.Waiting.extract(it.Ticket);
    auto &work = waiting.mapped();
    releaseWaiting(pool, work);
    auto answer = notRun(work.Request, it.Why.Code, "the owner has changed",
                         it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  }
}

/// Failure: a caller stops in the middle of a transaction. Symptom: its locks
/// and its connection block the others. Closing the connection makes the
/// target roll back, and the next statement is told that it is gone.
void Owner::rollBackIdle(OwnerPool &pool, Actions &actions) {
  auto now = Time.now();
  for (auto it = pool.Transactions.begin(); it != pool.Transactions.end();) {
    if (it->second.Busy ||
        now - it->second.IdleSince < limits::IdleTransaction) {
      ++it;
      continue;
    }
    actions.Close.push_back(it->second.Connection);
    --pool.Held;
    it = pool.Transactions.erase(it);
  }
}

void Owner::dropGone(OwnerPool &pool, Actions &actions) {
  std::vector<TicketHandle> gone;
  for (const auto &[ticket, work] : pool.Waiting)
    if (work.Gone->load())
      gone.push_back(ticket);
  for (auto it : gone) {
    pool.Queue->cancel(it);
    auto work = std::move(pool.Waiting.extract(it).mapped());
    releaseWaiting(pool, work);
    auto answer =
        notRun(work.Request, AnswerCode::DeadlinePassed, "the caller has gone");
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  }
}

void Owner::tend(const std::function<bool(const TargetConfig &)> &owns) {
  for (auto &shard : Shards) {
    std::vector<std::pair<TargetName, Actions>> all;
    {
      std::lock_guard guard(shard.Lock);
      for (auto &[name, pool] : shard.Pools) {
        Actions actions;
        bool owned = owns(pool.Target);
        if (!owned && pool.Owned)
          handOver(pool, actions);
        pool.Owned = owned;
        if (!owned) {
          pool.Held -= static_cast<std::uint32_t>(pool.Idle.size());
          for (auto &it : std::exchange(pool.Idle, {}))
            actions.Close.push_back(std::move(it));
        }
        dropGone(pool, actions);
        rollBackIdle(pool, actions);
        plan(pool, actions);
        all.emplace_back(name, std::move(actions));
      }
    }
    for (auto &[name, actions] : all)
      perform(name, std::move(actions));
  }
}

} // namespace peridotfall
