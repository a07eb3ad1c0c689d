/// \file
/// The connections of this daemon to one target, and what waits for them.
/// Decisions only; bytes are moved by the port.

#ifndef PERIDOTFALL_PROXY_TARGET_POOL_H
#define PERIDOTFALL_PROXY_TARGET_POOL_H

#include "proxy/directory.h"
#include "proxy/lease.h"
#include "proxy/wait_queue.h"

#include <functional>
#include <map>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

using std::chrono::milliseconds;

/// Longest wait for a target's greeting, which takes a slot for a while and
/// waits in the target's queue before.
inline constexpr milliseconds GreetingLimit{500};
/// Pause after a target refused a connection because all of its were taken.
/// Reason: those that hold them need about a statement's time to give one up.
inline constexpr milliseconds FullPause{100};
/// Pause after a connection could not be made. A target that crashed is back
/// in seconds; ten tries a second notice it soon and cost little.
inline constexpr milliseconds RefusedPause{100};
/// An idle connection is closed after this long, so that another daemon can
/// have its place; longer than the pauses of one session.
inline constexpr milliseconds IdleConnection{15'000};
/// A target that has answered nothing for so long is not taken for one that is
/// merely busy: longer than one long statement keeps all its slots.
inline constexpr milliseconds SilentAfter{250};
/// Longest wait for the proxy's own rollback.
inline constexpr milliseconds RollbackLimit{500};

} // namespace limits

/// Moves bytes to and from targets. Events come back through the pool's
/// opened, answered and closed; never from within these calls.
class TargetPort {
public:
  virtual ~TargetPort() = default;
  virtual ConnectionId open(const TargetEntry &target) = 0;
  virtual void send(ConnectionId connection,
                    const std::vector<Statement> &statements) = 0;
  /// Nothing more is reported of it.
  virtual void close(ConnectionId connection) = 0;
};

struct PoolStats {
  std::size_t Open = 0;
  std::size_t Opening = 0;
  std::size_t Idle = 0;
  std::size_t Waiting = 0;

  auto operator<=>(const PoolStats &) const = default;
};

/// Not synchronised.
class TargetPool {
public:
  /// \param lastLease counts the leases of all pools of the daemon.
  TargetPool(TargetEntry target, TargetPort &port, const Clock &clock,
             std::uint64_t &lastLease);

  /// Called with how long each lease has waited for its connection.
  std::function<void(Duration)> OnWaited;

  LeaseId begin(const LeaseRequest &request, Batch first, OnBatch done);
  void run(LeaseId lease, Batch next, OnBatch done);
  void abandon(LeaseId lease);
  bool owns(LeaseId lease) const;
  /// \return whether it waits for its next batch.
  bool isHeld(LeaseId lease) const;

  void opened(ConnectionId connection);
  /// \param why the target's word; nothing: it could not be reached.
  void openFailed(ConnectionId connection,
                  const std::optional<StatementError> &why);
  void answered(ConnectionId connection, Answer answer);
  void closed(ConnectionId connection);
  /// Lets go of what waited or ran too long.
  void tick();

  /// \param running statements of new leases that may run at once.
  void setCapacity(std::size_t connections, std::size_t running);
  /// \return whether a lease would start without waiting for another.
  bool isFree() const;
  void update(const TargetEntry &target) { Target = target; }
  /// Refuses what waits and takes nothing new; leases that are open go on.
  void retire();
  /// Breaks everything: the process at the address is another one.
  void breakAll();

  const TargetEntry &target() const { return Target; }
  PoolStats stats() const;
  bool isUnused() const { return Connections.empty() && Waiting.empty(); }

private:
  enum class Phase : std::uint8_t { Opening, Idle, Running, Held };

  struct Running {
    Batch Work;
    std::size_t Setup = 0; ///< Statements before it that are the proxy's.
    std::size_t Came = 0;  ///< Answers, those of the set-up included.
    BatchResult Result;
    OnBatch Done;
    TimePoint Sent;
    TimePoint Until;
  };
  struct Connection {
    Phase State = Phase::Opening;
    ConnectionEnvironment Environment;
    LeaseId Lease;
    std::optional<Running> Current;
    bool Abandoned = false;
    TimePoint Since;
  };
  using ConnectionIt = std::map<ConnectionId, Connection>::iterator;

  ConnectionIt findLease(LeaseId lease);
  void assign();
  void start(ConnectionIt it, LeaseId lease, Batch work, OnBatch done,
             TimePoint end);
  std::size_t running() const;
  ConnectionIt bestIdle(const Values &session);
  void openMore();
  void finish(ConnectionIt it);
  void rollBack(ConnectionIt it);
  /// Ends the batch as lost and forgets the connection.
  void lose(ConnectionIt it, const char *why);
  void logLost(const Running &running, const char *why) const;
  void closeIdle();
  void refuse(Waiter &waiter, const char *why);
  void noteWait(const Waiter &waiter) const;
  void refuseWaiting(const char *why);

  TargetEntry Target;
  TargetPort &Port;
  const Clock &Time;
  std::uint64_t &LastLease;
  std::size_t Capacity = 1;
  std::size_t MostRunning = 1;
  bool Retired = false;
  std::map<ConnectionId, Connection> Connections;
  std::map<LeaseId, ConnectionId> Leases;
  WaitQueue Waiting;
  TimePoint LastAnswer{};
  TimePoint OpenAfter{};
  bool Failing = false; ///< The last try to reach it got no answer.
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_TARGET_POOL_H
