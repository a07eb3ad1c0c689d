/// \file
/// Exclusive use of one target connection, for a single statement or for a
/// whole transaction. A lease runs one batch at a time. Each batch is answered
/// as a whole, so that this daemon or another one can run it.

#ifndef PERIDOTFALL_PROXY_LEASE_H
#define PERIDOTFALL_PROXY_LEASE_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"
#include "proxy/environment.h"
#include "proxy/statement.h"

#include <functional>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

using LeaseId = Handle<struct LeaseTag>;
/// One run of a daemon; a restart on the same VM is another one.
using ProcessId = Handle<struct ProcessTag>;

/// A lease as other daemons name it. Lease numbers begin anew with each process
/// of the holder.
struct RemoteLeaseId {
  ProcessId Holder;
  LeaseId Lease;

  bool valid() const { return Lease.valid(); }
  auto operator<=>(const RemoteLeaseId &) const = default;
};

/// Statements sent in one write. At most one of them is the caller's.
struct Batch {
  SessionValues Session; ///< Session values to be set on the connection.
  std::vector<PreparedStatement>
      RequiredPrepared; ///< To be prepared on the connection.
  std::vector<Statement> Statements;
  bool EndsLease = false; ///< Once the batch is answered.
  Duration Timeout{};     ///< For the answers, once the batch is sent.

  auto operator<=>(const Batch &) const = default;
};

struct LeaseRequest {
  TargetName Target;
  unsigned Priority = 0; ///< 0 is served first.
  Duration Wait{};       ///< Longest wait for a connection.
  Duration Total{};      ///< Longest wait for connection and answers.
  /// Time left until an answer is of little use to the caller; zero or less if
  /// that is over, empty if there is no such limit.
  std::optional<Duration> GoalLeft;
  /// The connection's account; empty: that of callers without a key.
  AccountName Account{};

  auto operator<=>(const LeaseRequest &) const = default;
};

enum class BatchEnd : std::uint8_t {
  Complete, ///< Every statement was answered.
  NotRun,   ///< Nothing was sent.
  Lost,     ///< The connection broke or timed out; answers so far are valid.
};

/// The load on a target as its connection holder sees it.
struct TargetLoad {
  std::uint32_t Queued = 0; ///< Leases that wait at the holder.
  Duration AnswerTime{};    ///< Median of recent statements.

  auto operator<=>(const TargetLoad &) const = default;
};

struct BatchResult {
  BatchEnd End = BatchEnd::NotRun;
  std::vector<Answer> Answers; ///< In the order of the statements.
  StatementError Error;        ///< Unless every statement was answered.
  bool LeaseKept = false;      ///< The lease continues.
  /// The batch failed because the target or its connection holder did not
  /// answer.
  bool TargetUnreachable = false;
  /// Not run, because the queue for the target is longer than it can process
  /// within this request's wait.
  bool QueueFull = false;
  /// Empty: the holder is of an earlier version, or did not answer.
  std::optional<TargetLoad> Load{};
  /// When a refused batch may fit again; empty: not known.
  std::optional<Duration> RetryAfter{};

  auto operator<=>(const BatchResult &) const = default;
};

/// \return whether the target refuses the session's own values or prepared
/// statements as malformed, as any other target would.
bool isSetupMalformed(const BatchResult &it);

/// Called once for each batch, after the call that starts it has returned.
using OnBatch = std::function<void(BatchResult)>;

class LeaseHost {
public:
  virtual ~LeaseHost() = default;
  virtual LeaseId begin(const LeaseRequest &request, Batch first,
                        OnBatch done) = 0;
  /// Runs the next batch of a lease that was kept.
  virtual void run(LeaseId lease, Batch next, OnBatch done) = 0;
  /// Ends a lease whose answers are no longer needed; an open transaction is
  /// rolled back.
  virtual void abandon(LeaseId lease) = 0;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_LEASE_H
