/// \file
/// The owner side of a daemon on the fakes: queue, connections, transactions
/// and confirmation, by the rules of src/daemon/owner.cpp.

#ifndef PERIDOTFALL_PROOF_OWNER_H
#define PERIDOTFALL_PROOF_OWNER_H

#include "failover/confirmation.h"
#include "proof/fake_target.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace peridotfall::proof {

using OnAnswer = std::function<void(StatementAnswer)>;

/// Detail of the answer to a write that is held back for a handover.
inline constexpr auto HandoverDetail = "hand-over";

class Owner {
public:
  /// \param maxConnections to one target.
  Owner(RunContext context, NodeId self, std::vector<FakeTarget *> targets,
        unsigned maxConnections)
      : Context(context), Self(self), Targets(std::move(targets)),
        MaxConnections(maxConnections) {}

  /// Runs a request on its target; \p done runs once.
  void execute(StatementRequest request, OnAnswer done);
  /// Answers writes "not run" with a retry time until then.
  void holdWrites(TimePoint until) { HeldUntil = until; }
  /// Called when the target's process ended and its connections were reset.
  void targetClosed(const TargetName &target);
  std::size_t inFlight() const { return Running + Open.size(); }
  void reset();

private:
  struct Work {
    StatementRequest Request;
    OnAnswer Done;           ///< Empty once answered.
    ConnectionId Connection; ///< Valid once bytes may have been sent.
  };
  using WorkPtr = std::shared_ptr<Work>;
  struct Pool {
    unsigned Connections = 0; ///< Open or being opened.
    std::vector<ConnectionId> Idle;
    std::deque<WorkPtr> Queue;
    std::map<ConnectionId, WorkPtr> Waiting;
  };
  struct Transaction {
    TargetName Target;
    ConnectionId Connection;
    Term InTerm = 0; ///< The term in which it began.
    bool Busy = false;
  };
  /// An answer that waits for its confirmation.
  struct Unconfirmed {
    StatementRequest Request;
    StatementAnswer Answer;
    OnAnswer Done;
  };
  /// State of the confirmations at one primary (src/failover/confirmation.h).
  struct PrimaryConfirmations {
    failover::ConfirmState State;
    std::map<TicketHandle, Unconfirmed> Waiting;
  };

  FakeTarget *find(const TargetName &name) const;
  void pump(const TargetName &name);
  void connect(const TargetName &name);
  void send(const TargetName &name, const WorkPtr &work,
            ConnectionId connection);
  void received(const TargetName &name, ConnectionId connection,
                StatementAnswer answer);
  void expire(const TargetName &name, const WorkPtr &work);
  void finish(const TargetName &name, const WorkPtr &work,
              StatementAnswer answer);
  void releaseConnection(const TargetName &name, ConnectionId connection,
                         bool usable);
  bool endTransaction(const WorkPtr &work, const StatementAnswer &answer,
                      bool usable);
  void openTransaction(const TargetName &name, const WorkPtr &work,
                       StatementAnswer &answer);
  void executeInTransaction(const WorkPtr &work);
  void confirm(const WorkPtr &work, StatementAnswer answer);
  void confirmTick(const TargetName &name);
  void perform(const TargetName &name, const failover::ConfirmActions &actions);
  void query(const TargetName &name, const failover::QueryReplicas &it);
  void query(const TargetName &name, const failover::QueryPrimary &it);
  void complete(const TargetName &name, const failover::ConfirmResult &it);
  /// A replica's report, changed where a safeguard is disabled.
  failover::TargetReport applySafeguards(failover::TargetReport it,
                                         Position at) const;

  RunContext Context;
  NodeId Self;
  std::vector<FakeTarget *> Targets;
  unsigned MaxConnections;
  TimePoint HeldUntil{};
  std::map<TargetName, Pool> Pools;
  std::map<TargetName, PrimaryConfirmations> Confirmations;
  std::map<std::string, Transaction> Open;
  std::uint64_t LastTransaction = 0;
  std::size_t Running = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_OWNER_H
