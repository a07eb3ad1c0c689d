#include "proof/entry.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds RetryPause{25};
/// Subtracted from the budget, so that the owner's answer arrives in time.
constexpr milliseconds HopTime{20};
constexpr unsigned IdBits = 40;

bool worthRetrying(AnswerCode code) {
  switch (code) {
  case AnswerCode::Behind:
  case AnswerCode::NotPrimary:
  case AnswerCode::Fenced:
  case AnswerCode::NotOwner:
  case AnswerCode::Unavailable:
  case AnswerCode::ConnectionLost:
  case AnswerCode::NotConfirmed:
  case AnswerCode::Draining:
    return true;
  default:
    return false;
  }
}

/// The handle names the VM that opened the transaction: only that VM has it.
std::string joinHandle(const VmName &vm, const std::string &handle) {
  return vm.Value + "/" + handle;
}

std::pair<VmName, std::string> splitHandle(const std::string &handle) {
  auto slash = handle.find('/');
  return {VmName(handle.substr(0, slash)), handle.substr(slash + 1)};
}

} // namespace

const TokenKeys &tokenKeys() {
  static const TokenKeys Keys{"k1", {{"k1", "a secret of sixteen"}}};
  return Keys;
}

void Entry::reset() {
  Running = 0;
  Draining = false;
}

std::vector<Member> Entry::ranked(const TargetName &target) const {
  for (const auto &it : Targets)
    if (it.Name == target)
      return rankOwners(KnownPeers.live(), it.Name, it.Domain, it.Region);
  return {};
}

std::vector<failover::OwnedTarget> Entry::owned() const {
  std::vector<failover::OwnedTarget> out;
  for (const auto &it : Targets) {
    auto owners = ranked(it.Name);
    out.push_back({it.Name, owners.empty() ? VmName() : owners.front().Vm});
  }
  return out;
}

void Entry::serve(StatementRequest request, const std::string &token,
                  const OnReply &done) {
  if (Draining && request.Transaction.empty()) {
    done({notRun(request, AnswerCode::Draining, "shutting down"), token});
    return;
  }
  auto op = std::make_shared<Operation>();
  op->Deadline = Context.Sim.now() + request.Budget;
  if (!token.empty())
    op->Session = verifyToken(token, tokenKeys()).value();
  op->Request = std::move(request);
  op->Done = done;
  ++Running;
  attempt(op);
}

bool Entry::toPrimary(const Operation &op) const {
  if (op.Request.Mode == Access::Write || op.PrimaryNext)
    return true;
  auto it = op.Session.Databases.find(op.Request.Database);
  return Context.Guards.PrimaryOnly && it != op.Session.Databases.end() &&
         it->second.primaryOnly();
}

TargetName Entry::chooseTarget(const Operation &op, bool primary) {
  const auto &view = KnownPeers.view();
  auto n = static_cast<std::size_t>(op.Attempts) % Targets.size();
  if (primary)
    return view.Primary.empty() ? Targets[n].Name : view.Primary;
  std::vector<TargetName> replicas;
  for (const auto &it : Targets)
    if (it.Name != view.Primary && (!Context.Guards.LeavingTargetAvoided ||
                                    view.Leaving.count(it.Name) == 0))
      replicas.push_back(it.Name);
  if (replicas.empty())
    return view.Primary;
  return replicas[Context.Sim.Rng.below(replicas.size())];
}

void Entry::attempt(const OperationPtr &op) {
  auto request = op->Request;
  // Makes ids unique across daemons and their incarnations.
  request.Id = {(std::uint64_t{Self.Index} + 1) << IdBits |
                (Context.Sim.now().time_since_epoch().count() & 0xffff) << 24 |
                (++LastId & 0xffffff)};
  op->SentView = KnownPeers.view();
  request.Budget = op->Deadline - Context.Sim.now() - HopTime;
  ++op->Attempts;
  if (!request.Transaction.empty()) {
    auto [vm, handle] = splitHandle(request.Transaction);
    request.Transaction = handle;
    sendTo(op, vm, request);
    return;
  }
  bool primary = toPrimary(*op);
  request.Target = chooseTarget(*op, primary);
  if (primary)
    request.InTerm = KnownPeers.view().InTerm;
  if (request.Mode == Access::FreshRead)
    request.NotBefore = op->Session.Databases[request.Database].Seen;
  auto owners = ranked(request.Target);
  if (owners.empty()) {
    answered(op, request, notRun(request, AnswerCode::Unavailable, "no owner"));
    return;
  }
  // Tries the next owner after a failure, until the membership is updated.
  // Refusals of an owner that holds writes back for a handover don't count:
  // another owner would send the writes in spite of it.
  auto failed =
      static_cast<std::size_t>(op->Attempts - op->HandoverRefusals - 1) / 2;
  auto rank = failed % owners.size();
  sendTo(op, owners[rank].Vm, request);
}

void Entry::sendTo(const OperationPtr &op, const VmName &owner,
                   const StatementRequest &request) {
  auto link = FindOwner(owner);
  if (!link) {
    answered(op, request,
             notRun(request, AnswerCode::TransactionGone, "no such daemon"));
    return;
  }
  Context.Net.call<StatementAnswer>(
      Self, link->Node, request.Budget + HopTime,
      [it = link->Instance, request](auto reply) {
        it->execute(request, reply);
      },
      [this, op, owner, request](const Result<StatementAnswer> &result) {
        if (result && (result.value().Id == request.Id ||
                       !Context.Guards.AnswerIdChecked)) {
          auto answer = result.value();
          if (!answer.Transaction.empty())
            answer.Transaction = joinHandle(owner, answer.Transaction);
          answered(op, request, std::move(answer));
          return;
        }
        bool sent = result || result.error().Code == ErrorCode::Unknown;
        answered(
            op, request,
            sent && Context.Guards.TruthfulNotRun
                ? unknownOutcome(request, AnswerCode::ConnectionLost, "owner")
                : notRun(request, AnswerCode::Unavailable, "owner"));
      });
}

/// A former primary that is back, or is cut off, may have records at its end
/// that no other target has. Read as a replica, it would show a session a write
/// that is later lost. A replica's records of the current term came from the
/// primary, so two targets have them and they are kept.
bool Entry::isFromOldTerm(const Operation &op, const StatementRequest &sent,
                          const StatementAnswer &answer) const {
  return Context.Guards.ReplicaTerm && sent.Mode == Access::FreshRead &&
         sent.InTerm == 0 && answer.Effect == Outcome::Done &&
         (answer.At.InTerm != op.SentView.InTerm ||
          sent.Target == op.SentView.Primary);
}

void Entry::answered(const OperationPtr &op, const StatementRequest &sent,
                     StatementAnswer answer) {
  if (isFromOldTerm(*op, sent, answer))
    answer = notRun(sent, AnswerCode::Behind, "not of the present term");
  if (answer.Effect == Outcome::Unknown)
    op->OutcomeInDoubt = true;
  if (answer.Code == AnswerCode::Behind)
    op->PrimaryNext = true;
  if (answer.Detail == HandoverDetail)
    ++op->HandoverRefusals;
  // Retried only if it cannot run twice.
  bool mayRepeat = op->Request.Mode != Access::Write ||
                   !op->Request.Key.empty() || !Context.Guards.NoBlindRepeat;
  bool safe = answer.Effect == Outcome::NotRun ||
              (answer.Effect == Outcome::Unknown && mayRepeat);
  bool inTime = op->Deadline - Context.Sim.now() > RetryPause + 2 * HopTime;
  if (safe && inTime && sent.Transaction.empty() &&
      worthRetrying(answer.Code)) {
    Context.Net.timer(Self, RetryPause, [this, op] { attempt(op); });
    return;
  }
  // "Not run" from the last attempt doesn't settle an earlier unknown outcome.
  if (op->OutcomeInDoubt && answer.Effect == Outcome::NotRun &&
      op->Request.Mode == Access::Write && Context.Guards.TruthfulNotRun)
    answer.Effect = Outcome::Unknown;
  finish(op, std::move(answer));
}

void Entry::finish(const OperationPtr &op, StatementAnswer answer) {
  const auto &request = op->Request;
  auto session = std::move(op->Session);
  if (answer.Effect == Outcome::Done)
    session =
        withSeen(std::move(session), request.Database, answer.At, request.Key);
  else if (answer.Effect == Outcome::Unknown && request.Mode == Access::Write)
    session = withUnknown(std::move(session), request.Database, request.Key);
  answer.Id = request.Id;
  --Running;
  Context.Hooks.reached(Step::Answered);
  op->Done({std::move(answer), signToken(session, tokenKeys())});
}

} // namespace peridotfall::proof
