/// \file
/// The owner of targets: holds their limited connections, schedules requests
/// on them, and confirms writes before it answers them.

#ifndef PERIDOTFALL_DAEMON_OWNER_H
#define PERIDOTFALL_DAEMON_OWNER_H

#include "config/in_force.h"
#include "daemon/confirm.h"
#include "daemon/owner_pool.h"
#include "daemon/targets.h"
#include "daemon/views.h"
#include "peridotfall/clock.h"
#include "peridotfall/limits.h"
#include "peridotfall/statement.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall {

class Owner : public std::enable_shared_from_this<Owner> {
public:
  Owner(const Clock &clock, VmName self, const ConfigurationInForce &config,
        Targets &targets, GroupViews &views);

  /// Runs a request on its target.
  /// \param gone set when the caller no longer waits for the answer.
  /// \param done called once, on any thread.
  void execute(StatementRequest request, CallerGoneFlag gone, OnAnswer done);
  /// Requests not yet answered, plus open transactions.
  std::size_t inFlight() const;
  /// Answers confirmations whose time limit has passed; called with each tick
  /// of the failover driver.
  void expireConfirmations() { Confirmations.expire(); }

  /// Drops requests that expired or whose caller has gone, rolls back idle
  /// transactions, and releases targets that this daemon no longer owns.
  /// Must be called every few hundred ms.
  /// \param owns whether this daemon is rank 0 for the target.
  void runMaintenance(const std::function<bool(const TargetConfig &)> &owns);

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<TargetName, OwnerPool> Pools;
  };
  /// Answers and target calls to perform after the lock is released.
  struct Actions {
    std::vector<std::pair<OwnedWork, StatementAnswer>> Answers;
    std::vector<OwnedWork> Start; ///< Each with its connection.
    std::vector<target::ConnectionPtr> Close;
    TargetPtr Connect;
  };

  Shard &shardOf(const TargetName &target);
  std::chrono::milliseconds timeLeft(TimePoint deadline) const;
  void enqueue(const TargetConfig &target, OwnedWork work);
  std::optional<StatementAnswer> admit(OwnerPool &pool, OwnedWork &work,
                                       Actions &actions);
  OwnerPool &poolOf(Shard &shard, const TargetConfig &target);
  /// Starts queued work as far as slots and connections allow.
  void dispatch(const TargetName &target);
  void plan(OwnerPool &pool, Actions &actions);
  void perform(const TargetName &target, Actions actions);
  void connect(const TargetName &target, const TargetPtr &api);
  void handleConnection(const TargetName &target,
                        const Result<target::ConnectionPtr> &result);
  void run(OwnedWork work);
  void finish(const OwnedWork &work, StatementAnswer answer);
  /// Releases the slot, and the connection unless a transaction keeps it.
  /// \return the handle of the transaction that the request opened, or empty.
  std::string recordCompletion(const OwnedWork &work,
                               const StatementAnswer &answer);
  bool isFromOlderTerm(const OwnedWork &work,
                       const StatementAnswer &answer) const;
  bool needsConfirmation(const OwnedWork &work,
                         const StatementAnswer &answer) const;
  void confirm(const OwnedWork &work, StatementAnswer answer);
  void rejectQueued(OwnerPool &pool, Actions &actions);
  void rollBackIdleTransactions(OwnerPool &pool, Actions &actions);
  void dropAbandoned(OwnerPool &pool, Actions &actions);
  void refuseAll(OwnerPool &pool, const std::string &why, Actions &actions);
  void undoAdmission(OwnerPool &pool, const OwnedWork &work);

  const Clock &Time;
  const VmName Self;
  const ConfigurationInForce &Config;
  Targets &Apis;
  GroupViews &Views;
  Confirmer Confirmations;
  std::array<Shard, limits::OwnerShards> Shards;
  std::atomic<std::size_t> Running{0};
};

/// The owner daemon and the target of a transaction, encoded in its handle so
/// that any entry daemon can route its statements.
struct TransactionLocation {
  VmName Vm;
  TargetName Target;

  auto operator<=>(const TransactionLocation &) const = default;
};

std::string makeTransactionHandle(const TransactionLocation &location);
std::optional<TransactionLocation>
parseTransactionHandle(const std::string &handle);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_OWNER_H
