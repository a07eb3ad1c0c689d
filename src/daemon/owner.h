/// \file
/// The owner of targets: holds their scarce connections, decides what runs
/// on them, and confirms writes before they are answered.

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

  /// Runs a request on the target it names. \param gone set when nobody waits
  /// for the answer any more. \param done called once, on any thread.
  void execute(StatementRequest request, GoneFlag gone, OnAnswer done);
  /// Requests admitted and not yet answered, and open transactions.
  std::size_t inFlight() const;
  /// Gives up confirmations that are past their limit; to be called often.
  void giveUpLate() { Confirms.giveUpLate(); }

  /// Drops what nobody waits for or what came too late, rolls back idle
  /// transactions, and gives up targets that are not this daemon's any more.
  /// To be called every few hundred ms.
  /// \param owns whether this daemon is rank 0 for the target.
  void tend(const std::function<bool(const TargetConfig &)> &owns);

private:
  struct Shard {
    mutable std::mutex Lock;
    std::map<TargetName, OwnerPool> Pools;
  };
  /// Answers and calls on targets, made once the lock is released.
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
  /// Starts what can start.
  void pump(const TargetName &target);
  void plan(OwnerPool &pool, Actions &actions);
  void perform(const TargetName &target, Actions actions);
  void connect(const TargetName &target, const TargetPtr &api);
  void connected(const TargetName &target,
                 const Result<target::ConnectionPtr> &result);
  void run(OwnedWork work);
  void finish(const OwnedWork &work, StatementAnswer answer);
  /// Settles the connection and the slot. \return the answer's transaction.
  std::string settle(const OwnedWork &work, const StatementAnswer &answer);
  bool isOfOldTerm(const OwnedWork &work, const StatementAnswer &answer) const;
  bool needsConfirmation(const OwnedWork &work,
                         const StatementAnswer &answer) const;
  void confirm(const OwnedWork &work, StatementAnswer answer);
  void handOver(OwnerPool &pool, Actions &actions);
  void rollBackIdle(OwnerPool &pool, Actions &actions);
  void dropGone(OwnerPool &pool, Actions &actions);
  void refuseAll(OwnerPool &pool, const std::string &why, Actions &actions);
  void releaseWaiting(OwnerPool &pool, const OwnedWork &work);

  const Clock &Time;
  const VmName Self;
  const ConfigurationInForce &Config;
  Targets &Apis;
  GroupViews &Views;
  Confirmer Confirms;
  std::array<Shard, limits::OwnerShards> Shards;
  std::atomic<std::size_t> Running{0};
};

/// Where a transaction lives, as its handle tells any entry daemon.
struct TransactionPlace {
  VmName Vm;
  TargetName Target;

  auto operator<=>(const TransactionPlace &) const = default;
};

std::string makeTransactionHandle(const TransactionPlace &place);
std::optional<TransactionPlace>
parseTransactionHandle(const std::string &handle);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_OWNER_H
