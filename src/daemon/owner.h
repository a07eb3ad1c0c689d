/// \file
/// The owner of targets: holds their scarce connections, decides what runs
/// on them, and confirms writes before they are answered.

#ifndef PERIDOTFALL_DAEMON_OWNER_H
#define PERIDOTFALL_DAEMON_OWNER_H

#include "config/in_force.h"
#include "daemon/confirm.h"
#include "daemon/targets.h"
#include "daemon/views.h"
#include "peridotfall/clock.h"
#include "peridotfall/limits.h"
#include "peridotfall/statement.h"

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridotfall {

using OnAnswer = std::function<void(StatementAnswer)>;
using GoneFlag = std::shared_ptr<std::atomic<bool>>;

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

private:
  struct Work {
    StatementRequest Request;
    GoneFlag Gone;
    OnAnswer Done;
    TimePoint Deadline;
    DatabaseConfig Database;
  };
  struct Transaction {
    target::ConnectionPtr Connection;
    bool Busy = false;
  };
  /// State of one target.
  struct Pool {
    TargetPtr Api;
    std::uint32_t Most = 0; ///< Connections we may hold.
    std::uint32_t Held = 0; ///< Open or being opened.
    std::uint32_t Opening = 0;
    std::vector<target::ConnectionPtr> Idle;
    std::deque<Work> Queue;
    std::map<std::string, Transaction> Transactions;
  };
  struct Shard {
    mutable std::mutex Lock;
    std::map<TargetName, Pool> Pools;
  };

  Shard &shardOf(const TargetName &target);
  std::chrono::milliseconds timeLeft(TimePoint deadline) const;
  void enqueue(const TargetConfig &target, Work work);
  /// Starts what can start; answers are called outside the lock.
  void pump(const TargetName &target);
  void connect(const TargetName &target, const TargetPtr &api);
  void connected(const TargetName &target,
                 const Result<target::ConnectionPtr> &result);
  void run(const target::ConnectionPtr &connection, Work work);
  void finish(const target::ConnectionPtr &connection, const Work &work,
              StatementAnswer answer);
  void giveBack(const TargetName &target,
                const target::ConnectionPtr &connection, bool usable);
  void executeInTransaction(Work work);
  void finishInTransaction(const target::ConnectionPtr &connection,
                           const Work &work, StatementAnswer answer);
  std::string openTransaction(const Work &work,
                              const target::ConnectionPtr &connection);
  void confirm(const Work &work, StatementAnswer answer);

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
