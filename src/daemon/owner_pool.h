/// \file
/// What an owner holds for one target: its queue, its connections and the
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
using GoneFlag = std::shared_ptr<std::atomic<bool>>;

/// A request at its owner.
struct OwnedWork {
  StatementRequest Request;
  GoneFlag Gone;
  OnAnswer Done;
  TimePoint Deadline;
  DatabaseConfig Database;
  TicketHandle Ticket;
  /// Given when it starts; a statement of a transaction has it from before.
  target::ConnectionPtr Connection;
  TimePoint StartedAt;

  bool inTransaction() const { return !Request.Transaction.empty(); }
};

struct OpenTransaction {
  target::ConnectionPtr Connection;
  bool Busy = false;
  TimePoint IdleSince;
};

struct OwnerPool {
  TargetConfig Target;
  TargetPtr Api;
  std::uint32_t Most = 0; ///< Connections we may hold.
  std::uint32_t Held = 0; ///< Open or being opened.
  std::uint32_t Opening = 0;
  std::uint32_t Beginning = 0; ///< Transactions being opened.
  bool Owned = true;           ///< As last heard.
  std::optional<Admission> Queue;
  WorkEstimator Estimates;
  std::map<TicketHandle, OwnedWork> Waiting;
  std::deque<OwnedWork> Started; ///< With a slot, and no connection yet.
  std::vector<target::ConnectionPtr> Idle;
  std::map<std::string, OpenTransaction> Transactions;
};

/// Transactions that may be open at once. Load: callers that think between
/// statements. Harm: all connections idle in transactions, and nothing else
/// runs. Reason: a connection for each slot stays.
std::uint32_t mostTransactions(const OwnerPool &pool);

/// What admission is to know of a request.
WorkItem workItemOf(const OwnedWork &work, const OwnerPool &pool);

/// \return whether the connection may carry another caller's statement. One
/// whose last answer was lost may still carry it, or hold an open transaction:
/// handed on, it would give one caller another's rows.
bool leavesConnectionUsable(const StatementAnswer &answer);

/// \return whether the answer ends the transaction of its request.
bool endsTransaction(const StatementRequest &request,
                     const StatementAnswer &answer);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_OWNER_POOL_H
