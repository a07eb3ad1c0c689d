/// \file
/// This daemon's connections to one target, and the leases that wait for them.
/// Only decides; the port does the I/O.

#ifndef PERIDOTFALL_PROXY_TARGET_POOL_H
#define PERIDOTFALL_PROXY_TARGET_POOL_H

#include "proxy/decaying_sum.h"
#include "proxy/directory.h"
#include "proxy/lease.h"
#include "proxy/wait_queue.h"

#include <functional>
#include <map>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

using std::chrono::milliseconds;

/// Timeout of a connection's handshake, which waits in the target's queue and
/// then takes a slot for a while.
inline constexpr milliseconds HandshakeTimeout{500};
/// Delay before connecting again to a target that is at its connection limit.
/// Other connections need about the time of a statement to be released.
inline constexpr milliseconds ConnectionLimitDelay{100};
/// Delay before the next attempt after a connection failed. A crashed target is
/// back within seconds; ten attempts a second detect that soon and cost little.
inline constexpr milliseconds ConnectRetryDelay{100};
/// Idle time after which a connection is closed, so that another daemon can
/// open one. Longer than the pauses within a session.
inline constexpr milliseconds IdleConnectionTimeout{15'000};
/// A target that has answered nothing for this long is not assumed to be merely
/// busy. Longer than one long statement occupies all slots.
inline constexpr milliseconds SilenceThreshold{250};
/// Timeout of a rollback that the proxy sends by itself.
inline constexpr milliseconds RollbackTimeout{500};
/// Of what may run at once, one in this many, rounded up, may be a connection
/// being opened while statements wait for connections that are open. Opening
/// one takes a slot of the target for longer than most statements, so with
/// accounts that come and go the slots would be spent on connections.
inline constexpr std::size_t RunningPerOpening = 4;

} // namespace limits

/// Sends to targets. Events are reported through the pool's opened, openFailed,
/// answered and closed, never from within these calls.
class TargetPort {
public:
  virtual ~TargetPort() = default;
  /// \param account of all statements on the connection; empty: callers without
  /// a key.
  virtual ConnectionId open(const TargetEntry &target,
                            const AccountName &account) = 0;
  virtual void send(ConnectionId connection,
                    const std::vector<Statement> &statements) = 0;
  /// No event of the connection is reported afterwards.
  virtual void close(ConnectionId connection) = 0;
};

struct PoolStats {
  std::size_t Open = 0;
  std::size_t Opening = 0;
  std::size_t Idle = 0;
  std::size_t Waiting = 0;
  std::size_t MostByAccount = 0; ///< Of these, those of one account.

  auto operator<=>(const PoolStats &) const = default;
};

/// Not synchronised.
class TargetPool {
public:
  /// \param lastLease last lease id, shared by all pools of the daemon.
  TargetPool(TargetEntry target, TargetPort &port, const Clock &clock,
             std::uint64_t &lastLease);

  /// Called with the time that each lease has waited for a connection.
  std::function<void(Duration)> OnWaited;
  /// Called for each lease that is refused because of the queue.
  std::function<void(QueueRefusal)> OnRefused;

  LeaseId begin(const LeaseRequest &request, Batch first, OnBatch done);
  void run(LeaseId lease, Batch next, OnBatch done);
  void abandon(LeaseId lease);
  bool owns(LeaseId lease) const;
  bool owns(ConnectionId connection) const {
    return Connections.contains(connection);
  }
  /// \return whether the lease has a connection and runs no batch.
  bool isAwaitingBatch(LeaseId lease) const;

  void opened(ConnectionId connection);
  /// \param why the target's error; nothing: it could not be reached.
  void openFailed(ConnectionId connection,
                  const std::optional<StatementError> &why);
  void answered(ConnectionId connection, Answer answer);
  void closed(ConnectionId connection);
  /// Ends what has waited or run for too long, and opens connections.
  void tick();

  /// \param running statements that new leases may run at once.
  void setCapacity(std::size_t connections, std::size_t running);
  /// \return whether a new lease would start without waiting for another.
  bool isFree(const AccountName &account) const;
  /// \return whether a connection of the account is idle and nothing waits.
  bool hasIdle(const AccountName &account) const;
  void update(const TargetEntry &target) { Target = target; }
  /// Refuses waiting and new leases; open leases continue.
  void retire();
  /// Aborts all leases and closes all connections, as another process now runs
  /// at the address.
  void abortAll();
  /// While writes are held, no statement that writes and no commit of writes is
  /// sent. A transaction that tries to is rolled back.
  void holdWrites(bool held) { WritesHeld = held; }
  /// \return whether a commit is under way.
  bool hasCommitRunning() const;
  /// Closes the connections on which a commit is under way. Its outcome is
  /// unknown, and a late success is not passed on.
  void cutCommits();

  const TargetEntry &target() const { return Target; }
  PoolStats stats() const;
  bool isUnused() const {
    return Connections.empty() && Waiting.empty() && HeldBatches.empty();
  }

private:
  enum class Phase : std::uint8_t { Opening, Idle, Running, Held };

  struct Running {
    Batch Work;
    std::vector<Statement> Setup;    ///< Sent before Work.
    std::size_t AnswersReceived = 0; ///< Those of the set-up included.
    bool IsWorkSent = false;
    std::optional<StatementError> SetupError;
    BatchResult Result;
    OnBatch Done;
    bool BeginsLease = false;
    TimePoint Sent;
    TimePoint AnswerDeadline;
  };
  struct Connection {
    Phase State = Phase::Opening;
    /// All caller statements on the connection are this account's.
    AccountName Account;
    unsigned Priority = 0; ///< Of the lease.
    ConnectionEnvironment Environment;
    /// At the target, by its last answer.
    TransactionState Transaction = TransactionState::Idle;
    LeaseId Lease;
    std::optional<Running> Current;
    bool Abandoned = false;
    bool Wrote = false; ///< The lease has sent a statement that writes.
    TimePoint Since;
  };
  using ConnectionIt = std::map<ConnectionId, Connection>::iterator;

  ConnectionIt findLease(LeaseId lease);
  void assign();
  void start(ConnectionIt it, LeaseId lease, Batch work, OnBatch done,
             TimePoint end);
  std::size_t running() const;
  std::size_t opening() const;
  /// \return what counts towards MaxRunning when leases are started: running
  /// statements, and connections being opened for accounts. If these were not
  /// counted, each statement that ends would be replaced by one that has a
  /// connection, and none would be opened under lasting load.
  std::size_t occupied() const;
  ConnectionIt bestIdle(const Waiter &waiter);
  void startWaiting(ConnectionIt it, LeaseId lease);
  /// \return whether a connection may be opened for the account now.
  bool mayOpen(const AccountName &account) const;
  /// \return whether a lease waits whose account has an open connection.
  bool isConnectionWanted() const;
  /// Opens a connection for the account, in place of one of another account if
  /// there is no room.
  void openFor(const AccountName &account);
  bool closeLeastUsed();
  void sendWork(ConnectionIt it);
  void handleSetupAnswer(ConnectionIt it, const Statement &statement,
                         const Answer &answer);
  void handleWorkAnswer(ConnectionIt it, Answer answer);
  void finish(ConnectionIt it);
  void recordWork(const Connection &connection, const Running &finished);
  void rollBack(ConnectionIt it);
  /// \return whether the batch has nothing to do while writes are held.
  bool isHeld(const Connection &connection, const Batch &work) const;
  /// Refuses the leases and batches that must not be sent now.
  void refuseHeld();
  /// Closes the connection and ends its batch as lost.
  void dropConnection(ConnectionIt it, const char *why);
  void logLost(const Running &running, const char *why) const;
  void logSetupRejected(const Running &running, const Statement &statement,
                        const StatementError &why) const;
  void closeIdle();
  TargetLoad load() const;
  void addUse(const AccountName &account, Duration took);
  /// \return the recent use of the account by each of its connections.
  double useOf(const AccountName &account) const;
  void refuse(Waiter &waiter, const char *why);
  void refuseExpired();
  void reportWait(const Waiter &waiter) const;
  void refuseWaiting(const char *why);

  TargetEntry Target;
  TargetPort &Port;
  const Clock &Time;
  std::uint64_t &LastLease;
  std::size_t Capacity = 1;
  std::size_t MaxRunning = 1;
  bool Retired = false;
  bool WritesHeld = false;
  std::vector<OnBatch> HeldBatches; ///< Of open leases; to be refused.
  std::map<ConnectionId, Connection> Connections;
  std::map<LeaseId, ConnectionId> Leases;
  WaitQueue Waiting;
  /// Time that each account's statements took, with decay.
  std::map<AccountName, DecayingSum> Uses;
  TimePoint LastAnswer{};
  TimePoint OpenAfter{};
  /// The last attempt to reach the target got no answer.
  bool Unreachable = false;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_TARGET_POOL_H
