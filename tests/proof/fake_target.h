/// \file
/// A target of the group as a fake in virtual time: a durable log with terms,
/// fencing, promotion, asynchronous shipping with a lag, connections with
/// transactions, and idempotency keys that travel with the log.

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

/// What the parts of one run share.
struct Setting {
  Simulation &Sim;
  Network &Net;
  History &Past;
  const Safeguards &Guards;
  Steps &Reached;
};

/// What a target answers to a step: its report, or a refusal.
struct StepAnswer {
  failover::StepOutcome Outcome = failover::StepOutcome::Refused;
  failover::TargetReport Report;

  auto operator<=>(const StepAnswer &) const = default;
};

class FakeTarget {
public:
  FakeTarget(Setting setting, NodeId node, TargetName name, unsigned limit)
      : At(setting), Node(node), Name(std::move(name)), Limit(limit) {}

  /// Lays the log of term 1; done once for each target of a new group.
  void found(bool primary, FakeTarget *following);
  /// After a kill: what is durable is there, connections are gone.
  void restart();

  NodeId node() const { return Node; }
  const TargetName &name() const { return Name; }
  failover::TargetReport report() const;
  const std::vector<LogRecord> &log() const { return Log; }

  // Calls without a connection.
  StepAnswer fence(Term term);
  StepAnswer promote(Term term);
  StepAnswer follow(Term term, FakeTarget *primary);
  using OnReport = std::function<void(failover::TargetReport)>;
  void awaitPosition(Term term, Position position, Duration wait,
                     const OnReport &done);

  /// \return nothing where all connections are taken.
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
    bool Known = false; ///< The replica's last record is the primary's, too.
    std::vector<LogRecord> Records;
  };

  Position last() const { return Log.empty() ? Position{} : Log.back().At; }
  StepAnswer accepted() const {
    return {failover::StepOutcome::Done, report()};
  }
  void acceptTerm(Term term);
  void append(LogRecord record);
  void wakeWaiters();
  std::optional<Shipment> ship(Term term, Position after) const;
  void pull(std::uint64_t generation);
  void receive(const Shipment &it);
  void dropLast();
  void dropIdle();

  std::optional<StatementAnswer> refuseWrite(const StatementRequest &it) const;
  std::optional<StatementAnswer> replay(const StatementRequest &it) const;
  StatementAnswer commit(const StatementRequest &request,
                         std::vector<Change> changes);
  StatementAnswer read(const StatementRequest &request) const;
  StatementAnswer inTransaction(const StatementRequest &request,
                                ConnectionId connection);
  StatementAnswer done(const StatementRequest &request) const;

  Setting At;
  NodeId Node;
  TargetName Name;
  unsigned Limit;
  // Durable.
  Term CurrentTerm = 1;
  bool IsPrimary = false;
  std::vector<LogRecord> Log;
  std::map<std::string, std::size_t> Keys; ///< Place in the log.
  FakeTarget *Upstream = nullptr;
  // Gone with the process.
  std::uint64_t Generation = 0; ///< Of the copying.
  std::vector<Waiter> Waiters;
  std::map<ConnectionId, TimePoint> Connected; ///< And when last used.
  std::map<ConnectionId, std::vector<Change>> Transactions;
  std::uint64_t LastConnection = 0;
  std::optional<TimePoint> LeavingSince;
};

/// How a change travels in a request, and what an answer echoes.
Row paramsOf(const Change &it);
Change changeOf(const StatementRequest &it);
EffectId echoOf(const StatementAnswer &it);
std::set<EffectId> seenIn(const StatementAnswer &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_FAKE_TARGET_H
