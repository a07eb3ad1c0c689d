/// \file
/// The entry side of a daemon on the fakes: session tokens, choice of target
/// and owner, and retries, by the rules of src/daemon/router.cpp.

#ifndef PERIDOTFALL_PROOF_ENTRY_H
#define PERIDOTFALL_PROOF_ENTRY_H

#include "peridotfall/session_token.h"
#include "proof/owner.h"
#include "proof/peers.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::proof {

struct CallerReply {
  StatementAnswer Answer;
  std::string Token;

  bool operator==(const CallerReply &) const = default;
};
using OnReply = std::function<void(CallerReply)>;

struct TargetLocality {
  TargetName Name;
  DomainName Domain;
  RegionName Region;

  auto operator<=>(const TargetLocality &) const = default;
};

/// An owner daemon and the node it runs on.
struct OwnerLink {
  NodeId Node;
  Owner *Instance = nullptr;
};

class Entry {
public:
  Entry(RunContext context, NodeId self, Member member,
        std::vector<TargetLocality> targets, Peers &peers,
        std::function<std::optional<OwnerLink>(const VmName &)> owner)
      : Context(context), Self(self), OwnMember(std::move(member)),
        Targets(std::move(targets)), KnownPeers(peers),
        FindOwner(std::move(owner)) {}

  /// Serves one request of a caller. The request has the caller's id.
  void serve(StatementRequest request, const std::string &token,
             const OnReply &done);
  std::size_t inFlight() const { return Running; }
  void reset();
  /// Refuses new requests from now on.
  void drain() { Draining = true; }
  /// The owners of all targets, by this daemon's view of the members.
  std::vector<failover::OwnedTarget> owned() const;

private:
  struct Operation {
    StatementRequest Request;
    SessionToken Session;
    OnReply Done;
    TimePoint Deadline;
    int Attempts = 0;
    /// Attempts that an owner refused for a handover.
    int HandoverRefusals = 0;
    bool PrimaryNext = false;
    bool OutcomeInDoubt = false;
    GroupView SentView; ///< Of the last attempt.
  };
  using OperationPtr = std::shared_ptr<Operation>;

  bool toPrimary(const Operation &op) const;
  TargetName chooseTarget(const Operation &op, bool primary);
  std::vector<Member> ranked(const TargetName &target) const;
  void attempt(const OperationPtr &op);
  void sendTo(const OperationPtr &op, const VmName &owner,
              const StatementRequest &request);
  void answered(const OperationPtr &op, const StatementRequest &sent,
                StatementAnswer answer);
  bool isFromOldTerm(const Operation &op, const StatementRequest &sent,
                     const StatementAnswer &answer) const;
  void finish(const OperationPtr &op, StatementAnswer answer);

  RunContext Context;
  NodeId Self;
  Member OwnMember;
  std::vector<TargetLocality> Targets;
  Peers &KnownPeers;
  std::function<std::optional<OwnerLink>(const VmName &)> FindOwner;
  std::size_t Running = 0;
  std::uint64_t LastId = 0;
  bool Draining = false;
};

/// Keys that all daemons of a run share.
const TokenKeys &tokenKeys();

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_ENTRY_H
