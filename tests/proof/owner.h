/// \file
/// The driver of an owner daemon: queue, connections, transactions and
/// confirmation, by the rules of src/daemon/owner.cpp, on the fakes.

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

/// What an owner says of a write that it holds back.
inline constexpr auto HandoverDetail = "hand-over";

class Owner {
public:
  /// \param most connections to one target.
  Owner(Setting setting, NodeId self, std::vector<FakeTarget *> targets,
        unsigned most)
      : At(setting), Self(self), Targets(std::move(targets)), Most(most) {}

  /// Runs a request on the target it names; \p done runs once.
  void execute(StatementRequest request, OnAnswer done);
  /// Writes are answered "not run, try again" until then.
  void holdWrites(TimePoint until) { HeldUntil = until; }
  /// The target's process died, and its connections were reset.
  void targetClosed(const TargetName &target);
  std::size_t inFlight() const { return Running + Open.size(); }
  void reset();

private:
  struct Work {
    StatementRequest Request;
    OnAnswer Done;           ///< Empty once answered.
    ConnectionId Connection; ///< Valid once bytes may have left.
  };
  using WorkPtr = std::shared_ptr<Work>;
  struct Pool {
    unsigned Held = 0; ///< Open or being opened.
    std::vector<ConnectionId> Idle;
    std::deque<WorkPtr> Queue;
    std::map<ConnectionId, WorkPtr> Waiting;
  };
  struct Transaction {
    TargetName Target;
    ConnectionId Connection;
    Term InTerm = 0; ///< In which it began.
    bool Busy = false;
  };
  /// An answer that waits for its confirmation.
  struct Unconfirmed {
    StatementRequest Request;
    StatementAnswer Answer;
    OnAnswer Done;
  };
  /// Confirmation at one primary, by src/failover/confirmation.h.
  struct Confirming {
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
  void giveBack(const TargetName &name, ConnectionId connection, bool usable);
  bool endTransaction(const WorkPtr &work, const StatementAnswer &answer,
                      bool usable);
  void openTransaction(const TargetName &name, const WorkPtr &work,
                       StatementAnswer &answer);
  void executeInTransaction(const WorkPtr &work);
  void confirm(const WorkPtr &work, StatementAnswer answer);
  void confirmTick(const TargetName &name);
  void perform(const TargetName &name, const failover::ConfirmActions &actions);
  void ask(const TargetName &name, const failover::AskReplicas &it);
  void ask(const TargetName &name, const failover::AskPrimary &it);
  void tell(const TargetName &name, const failover::Confirmed &it);
  /// A replica's report as it counts, with the safeguards that are on.
  failover::TargetReport weigh(failover::TargetReport it, Position at) const;

  Setting At;
  NodeId Self;
  std::vector<FakeTarget *> Targets;
  unsigned Most;
  TimePoint HeldUntil{};
  std::map<TargetName, Pool> Pools;
  std::map<TargetName, Confirming> Confirms;
  std::map<std::string, Transaction> Open;
  std::uint64_t LastTransaction = 0;
  std::size_t Running = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_OWNER_H
