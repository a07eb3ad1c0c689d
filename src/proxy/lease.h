/// \file
/// The use of one target connection: for a single statement, or for all of a
/// transaction. A lease runs batches, one at a time; each batch is answered as
/// a whole, so that it can be run here or by another daemon alike.

#ifndef PERIDOTFALL_PROXY_LEASE_H
#define PERIDOTFALL_PROXY_LEASE_H

#include "peridotfall/clock.h"
#include "proxy/environment.h"
#include "proxy/statement.h"

#include <functional>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

using LeaseId = Handle<struct LeaseTag>;

/// Statements that go out in one write. At most one of them is the caller's.
struct Batch {
  Values Session; ///< Must hold on the connection.
  std::vector<Prepared> Needs;
  std::vector<Statement> Statements;
  bool EndsLease = false; ///< Once it is answered.
  Duration Patience{};    ///< Longest wait for the answers once sent.

  auto operator<=>(const Batch &) const = default;
};

struct LeaseRequest {
  TargetName Target;
  unsigned Priority = 0; ///< 0 is served first.
  Duration Wait{};       ///< Longest for a connection.
  Duration Total{};      ///< Longest for connection and answers.
  /// Left until its answer is of little use to the caller, which may be over
  /// already; nothing: it never is.
  std::optional<Duration> GoalLeft;

  auto operator<=>(const LeaseRequest &) const = default;
};

enum class BatchEnd : std::uint8_t {
  Whole,  ///< Every statement was answered.
  NotRun, ///< No byte of it left.
  Lost,   ///< The connection broke or was silent; the answers that came stand.
};

struct BatchResult {
  BatchEnd End = BatchEnd::NotRun;
  std::vector<Answer> Answers; ///< In the order of the statements.
  StatementError Why;          ///< Unless whole.
  bool Kept = false;           ///< The lease goes on.
  /// It was not the target's answer but its silence that ended it, or that of
  /// the daemon which holds its connections.
  bool TargetUnreachable = false;
  /// Not run, because more waits for the target than it runs in the time that
  /// this one could have waited.
  bool QueueFull = false;

  auto operator<=>(const BatchResult &) const = default;
};

/// Called once for each batch, never before the call that began it returned.
using OnBatch = std::function<void(BatchResult)>;

class LeaseHost {
public:
  virtual ~LeaseHost() = default;
  virtual LeaseId begin(const LeaseRequest &request, Batch first,
                        OnBatch done) = 0;
  /// Of a lease that was kept.
  virtual void run(LeaseId lease, Batch next, OnBatch done) = 0;
  /// Nobody waits for it any more: what is open is rolled back.
  virtual void abandon(LeaseId lease) = 0;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_LEASE_H
