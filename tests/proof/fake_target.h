/// \file
/// A fake target in virtual time: a durable log with terms, fencing, promotion,
/// asynchronous replication with a lag, connections with transactions, and
/// idempotency keys that are replicated with the log.

#ifndef PERIDOTFALL_PROOF_FAKE_TARGET_H
#define PERIDOTFALL_PROOF_FAKE_TARGET_H

#include "peridotfall/failover.h"
#include "proof/history.h"
#include "proof/network.h"
#include "proof/safeguards.h"
#include "proof/steps.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotfall::proof {

using ConnectionId = ConnectionHandle;

/// Shared by all components of one run.
struct RunContext {
  Simulation &Sim;
  Network &Net;
  History &RunHistory;
  const Safeguards &Guards;
  StepHooks &Hooks;
};

/// A target's answer to a failover step: its report, or a refusal.
struct StepAnswer {
  failover::StepOutcome Outcome = failover::StepOutcome::Refused;
  failover::TargetReport Report;

  auto operator<=>(const StepAnswer &) const = default;
};

class FakeTarget {
public:
  FakeTarget(RunContext context, NodeId node, TargetName name, unsigned limit)
      : Context(context), Node(node), Name(std::move(name)), Limit(limit) {}

  /// Writes the first record, of term 1. Called once for each target of a new
  /// group.
  void initialize(bool primary, FakeTarget *following);
  /// Restarts after a kill: durable state is kept, connections are not.
  void restart();

  NodeId node() const { return Node; }
  const TargetName &name() const { return Name; }
  failover::TargetReport report() const;
  const std::vector<LogRecord> &log() const { return Log; }

  // Calls that need no connection.
  StepAnswer fence(Term term);
  StepAnswer promote(Term term);
  StepAnswer follow(Term term, FakeTarget *primary);
  using OnReport = std::function<void(failover::TargetReport)>;
  void awaitPosition(Term term, Position position, Duration wait,
                     const OnReport &done);

  /// \return nothing if all connections are in use.
  std::optional<ConnectionId> connect();
  void disconnect(ConnectionId it);
  StatementAnswer execute(ConnectionId connection,
                          const StatementRequest &request);

  void setLeaving(bool leaving);
  /// From the primary's commit to this replica's log.
  Duration ShipLag{};

private:
  struct Waiter {
    Term InTerm = 0;
    Position Until;
    OnReport Done;
  };
  struct Shipment {
    /// The primary's log has the replica's last record.
    bool PositionFound = false;
    std::vector<LogRecord> Records;
  };

  Position last() const { return Log.empty() ? Position{} : Log.back().At; }
  StepAnswer accepted() const {
    return {failover::StepOutcome::Done, report()};
  }
  void acceptTerm(Term term);
  void append(LogRecord record);
  void completeWaiters();
  std::optional<Shipment> ship(Term term, Position after) const;
  void pull(std::uint64_t generation);
  void receive(const Shipment &it);
  void dropLastRecord();
  void closeIdle();

  std::optional<StatementAnswer> refuseWrite(const StatementRequest &it) const;
  std::optional<StatementAnswer> replay(const StatementRequest &it) const;
  StatementAnswer commit(const StatementRequest &request,
                         std::vector<Change> changes);
  StatementAnswer read(const StatementRequest &request) const;
  StatementAnswer inTransaction(const StatementRequest &request,
                                ConnectionId connection);
  StatementAnswer done(const StatementRequest &request) const;

  RunContext Context;
  NodeId Node;
  TargetName Name;
  unsigned Limit;
  // Kept across restarts.
  Term CurrentTerm = 1;
  bool IsPrimary = false;
  std::vector<LogRecord> Log;
  std::map<std::string, std::size_t> Keys; ///< Index in the log.
  FakeTarget *Upstream = nullptr;
  // Lost at a restart.
  std::uint64_t Generation = 0; ///< Of the replication; older ones stop.
  std::vector<Waiter> Waiters;
  std::map<ConnectionId, TimePoint> Connected; ///< Value: last use.
  std::map<ConnectionId, std::vector<Change>> Transactions;
  std::uint64_t LastConnection = 0;
  std::optional<TimePoint> LeavingSince;
};

/// Encoding of a change as parameters of a request, and of what an answer
/// returns.
Row paramsOf(const Change &it);
Change changeOf(const StatementRequest &it);
EffectId echoOf(const StatementAnswer &it);
std::set<EffectId> seenIn(const StatementAnswer &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAKE_TARGET_H
