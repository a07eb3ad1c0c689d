/// \file
/// An owner's state for one target: its queue, its connections and the
/// transactions open on them.

#ifndef PERIDOTFALL_DAEMON_OWNER_POOL_H
#define PERIDOTFALL_DAEMON_OWNER_POOL_H

#include "daemon/targets.h"
#include "peridotfall/admission.h"
#include "peridotfall/configuration.h"
#include "peridotfall/statement.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall {

using OnAnswer = std::function<void(StatementAnswer)>;
/// Set when the caller no longer waits for its answer.
using CallerGoneFlag = std::shared_ptr<std::atomic<bool>>;

/// A request in progress at the owner of its target.
struct OwnedWork {
  StatementRequest Request;
  CallerGoneFlag Gone;
  OnAnswer Done;
  TimePoint Deadline;
  DatabaseConfig Database;
  TicketHandle Ticket;
  /// Assigned when the work starts; a statement of a transaction gets the
  /// transaction's connection when it is queued.
  target::ConnectionPtr Connection;
  TimePoint StartedAt;

  bool inTransaction() const { return !Request.Transaction.empty(); }
};

struct OpenTransaction {
  target::ConnectionPtr Connection;
  Term InTerm = 0; ///< Term in which it began.
  bool Busy = false;
  TimePoint IdleSince;
};

struct OwnerPool {
  TargetConfig Target;
  TargetPtr Api;
  std::uint32_t MaxConnections = 0;  ///< Limit for this daemon.
  std::uint32_t ConnectionCount = 0; ///< Open or being opened.
  std::uint32_t OpeningConnections = 0;
  std::uint32_t OpeningTransactions = 0;
  bool Owned = true; ///< Result of the last ownership check.
  std::optional<Admission> Queue;
  WorkEstimator Estimates;
  std::map<TicketHandle, OwnedWork> Queued;
  std::deque<OwnedWork> AwaitingConnection; ///< Work that has a slot.
  std::vector<target::ConnectionPtr> IdleConnections;
  std::map<std::string, OpenTransaction> Transactions;
};

/// The number of transactions that may be open at once. One connection for each
/// slot stays free of transactions: otherwise callers that pause between their
/// statements could occupy all connections, and nothing else would run.
std::uint32_t maxOpenTransactions(const OwnerPool &pool);

/// Describes the request for admission.
WorkItem workItemOf(const OwnedWork &work, const OwnerPool &pool);

/// \return whether the connection may be reused for another caller's statement.
/// If the last answer was lost, it may still arrive, or a transaction may be
/// open: a reused connection could return one caller's rows to another.
bool leavesConnectionUsable(const StatementAnswer &answer);

/// \return whether the answer ends the transaction of its request.
bool endsTransaction(const StatementRequest &request,
                     const StatementAnswer &answer);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_OWNER_POOL_H
