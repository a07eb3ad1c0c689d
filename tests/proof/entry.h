/// \file
/// The driver of an entry daemon: session token, choice of target and owner,
/// and repeats, by the rules of src/daemon/router.cpp, on the fakes.

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

struct TargetPlace {
  TargetName Name;
  DomainName Domain;
  RegionName Region;

  auto operator<=>(const TargetPlace &) const = default;
};

/// An owner daemon, as others reach it.
struct OwnerLink {
  NodeId Node;
  Owner *It = nullptr;
};

class Entry {
public:
  Entry(Setting setting, NodeId self, Member member,
        std::vector<TargetPlace> targets, Peers &peers,
        std::function<std::optional<OwnerLink>(const VmName &)> owner)
      : At(setting), Self(self), It(std::move(member)),
        Targets(std::move(targets)), Known(peers), FindOwner(std::move(owner)) {
  }

  /// Serves one request of a caller. The request's id is the caller's.
  void serve(StatementRequest request, const std::string &token,
             const OnReply &done);
  std::size_t inFlight() const { return Running; }
  void reset();
  /// New requests are refused from now on.
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
    int Held = 0; ///< Attempts that an owner refused for a hand-over.
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

  Setting At;
  NodeId Self;
  Member It;
  std::vector<TargetPlace> Targets;
  Peers &Known;
  std::function<std::optional<OwnerLink>(const VmName &)> FindOwner;
  std::size_t Running = 0;
  std::uint64_t LastId = 0;
  bool Draining = false;
};

/// Keys that all daemons of a run share.
const TokenKeys &tokenKeys();

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_ENTRY_H
