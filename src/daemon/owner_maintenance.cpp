// The owner's periodic maintenance, independent of requests.

#include "daemon/owner.h"

namespace peridotfall {

/// Reverts what admit() recorded for work that leaves the queue without
/// running.
void Owner::undoAdmission(OwnerPool &pool, const OwnedWork &work) {
  if (!work.inTransaction()) {
    if (work.Request.What == Verb::Begin)
      --pool.OpeningTransactions;
    return;
  }
  auto open = pool.Transactions.find(work.Request.Transaction);
  if (open == pool.Transactions.end())
    return;
  open->second.Busy = false;
  open->second.IdleSince = Time.now();
}

/// After a change of membership two daemons would hold connections and a queue
/// for one target. Work that has not started returns to its entry daemon, which
/// sends it to the new owner; started work ends here. An entry daemon with an
/// older view is still served, within this daemon's half of the connections.
void Owner::rejectQueued(OwnerPool &pool, Actions &actions) {
  for (const auto &it : pool.Queue->clear(Time.now())) {
    auto waiting = pool.Queued.extract(it.Ticket);
    auto &work = waiting.mapped();
    undoAdmission(pool, work);
    auto answer = notRun(work.Request, it.Why.Code,
                         "the target has a new owner", it.Why.RetryAfter);
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  }
}

/// A caller that stops in the middle of a transaction blocks others by its
/// locks and its connection. Closing the connection makes the target roll back;
/// the next statement of the transaction gets TransactionGone.
void Owner::rollBackIdleTransactions(OwnerPool &pool, Actions &actions) {
  auto now = Time.now();
  for (auto it = pool.Transactions.begin(); it != pool.Transactions.end();) {
    if (it->second.Busy ||
        now - it->second.IdleSince < limits::IdleTransaction) {
      ++it;
      continue;
    }
    actions.Close.push_back(it->second.Connection);
    --pool.ConnectionCount;
    it = pool.Transactions.erase(it);
  }
}

void Owner::dropAbandoned(OwnerPool &pool, Actions &actions) {
  std::vector<TicketHandle> gone;
  for (const auto &[ticket, work] : pool.Queued)
    if (work.Gone->load())
      gone.push_back(ticket);
  for (auto it : gone) {
    pool.Queue->cancel(it);
    auto work = std::move(pool.Queued.extract(it).mapped());
    undoAdmission(pool, work);
    auto answer = notRun(work.Request, AnswerCode::DeadlinePassed,
                         "the caller no longer waits");
    actions.Answers.emplace_back(std::move(work), std::move(answer));
  }
}

void Owner::runMaintenance(
    const std::function<bool(const TargetConfig &)> &owns) {
  for (auto &shard : Shards) {
    std::vector<std::pair<TargetName, Actions>> all;
    {
      std::lock_guard guard(shard.Lock);
      for (auto &[name, pool] : shard.Pools) {
        Actions actions;
        bool owned = owns(pool.Target);
        if (!owned && pool.Owned)
          rejectQueued(pool, actions);
        pool.Owned = owned;
        if (!owned) {
          pool.ConnectionCount -=
              static_cast<std::uint32_t>(pool.IdleConnections.size());
          for (auto &it : std::exchange(pool.IdleConnections, {}))
            actions.Close.push_back(std::move(it));
        }
        dropAbandoned(pool, actions);
        rollBackIdleTransactions(pool, actions);
        plan(pool, actions);
        all.emplace_back(name, std::move(actions));
      }
    }
    for (auto &[name, actions] : all)
      perform(name, std::move(actions));
  }
}

} // namespace peridotfall
