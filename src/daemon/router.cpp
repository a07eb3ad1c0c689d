#include "daemon/router.h"

#include "messages/inner.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <utility>

namespace peridotfall {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Pause before a request that was not run is sent again: long enough not to
/// drown a target that is being promoted, short against a failover.
constexpr milliseconds RetryPause{25};
constexpr milliseconds RetryAfterFailure{1'000};

/// \return whether another attempt may run the request a second time.
bool mayRepeat(const StatementRequest &it) {
  return it.Mode != Access::Write || it.Repeatable || !it.Key.empty();
}

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

std::uint64_t randomStart() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

} // namespace

struct Router::Operation {
  RoutedRequest In;
  OnAnswer Done;
  TimePoint Deadline;
  int Attempts = 0;
  bool PrimaryNext = false;    ///< A replica was behind: go to the primary.
  bool OutcomeInDoubt = false; ///< An earlier attempt may have run.
};

Router::Router(http::Loops &loops, const Clock &clock,
               const ConfigurationInForce &config, Fleet &fleet,
               GroupViews &views, Owner &owner)
    : Loops(loops), Time(clock), Config(config), Peers(fleet), Views(views),
      Local(owner), LastRequest(randomStart()) {}

Duration Router::timeLeft(const Operation &op) const {
  return op.Deadline - Time.now();
}

void Router::route(RoutedRequest request, OnAnswer done) {
  auto op = std::make_shared<Operation>();
  op->Deadline = Time.now() + request.Request.Budget;
  op->In = std::move(request);
  op->Done = std::move(done);
  if (op->In.Request.Transaction.empty())
    attempt(op);
  else
    routeTransaction(op);
}

void Router::attempt(const OperationPtr &op) {
  auto request = op->In.Request;
  request.Id = {++LastRequest};
  request.Budget = timeLeft(*op);
  auto config = Config.get();
  const auto *database =
      config ? findDatabase(*config, request.Database) : nullptr;
  if (!database) {
    op->Done(notRun(request, AnswerCode::UnknownDatabase,
                    "no such database: " + request.Database.Value));
    return;
  }
  auto view = Views.get(request.Database);
  bool toPrimary =
      request.Mode == Access::Write || op->PrimaryNext ||
      (op->In.Session.primaryOnly() && request.Mode == Access::FreshRead);
  const auto *target = findTarget(*database, view.Primary);
  if (!toPrimary)
    for (const auto &it : database->Targets)
      if (it.Name != view.Primary && (it.Domain == Peers.self().Domain ||
                                      !target || target->Name == view.Primary))
        target = &it;
  if (!target)
    target = &database->Targets[static_cast<std::size_t>(op->Attempts) %
                                database->Targets.size()];
  if (request.Mode == Access::FreshRead)
    request.NotBefore = op->In.Session.Seen;
  if (toPrimary)
    request.InTerm = view.InTerm;
  request.Target = target->Name;
  ++op->Attempts;
  send(op, *target, std::move(request));
}

void Router::send(const OperationPtr &op, const TargetConfig &target,
                  StatementRequest request) {
  auto config = Config.get();
  auto owners = Peers.ranked(*config, target);
  if (owners.empty()) {
    answered(op, notRun(request, AnswerCode::Unavailable, "no daemon is live"));
    return;
  }
  // A failed owner is passed over at the next attempt, until the membership
  // knows of it.
  auto rank = static_cast<std::size_t>(op->Attempts - 1) / 2 % owners.size();
  const auto &owner = owners[rank];
  if (owner.Vm == Peers.self().Vm) {
    Local.execute(std::move(request), op->In.Gone,
                  [self = shared_from_this(), op](StatementAnswer it) {
                    self->answered(op, std::move(it));
                  });
    return;
  }
  sendRemote(op, owner, request);
}

void Router::sendRemote(const OperationPtr &op, const Member &owner,
                        const StatementRequest &request) {
  http::Request call;
  call.Method = "POST";
  call.Path = messages::StatementPath;
  call.Body = messages::encode(request);
  auto limit =
      std::max(duration_cast<milliseconds>(request.Budget), milliseconds(1));
  Peers.channel(owner.InnerAddress)
      ->call(std::move(call), limit,
             [self = shared_from_this(), op,
              request](const http::CallResult &result) {
               if (!result) {
                 bool sent = result.error().Kind == http::Failure::MaybeRun;
                 auto why = "owner: " + result.error().Message;
                 self->answered(
                     op, sent ? unknownOutcome(request,
                                               AnswerCode::ConnectionLost, why)
                              : notRun(request, AnswerCode::Unavailable, why));
                 return;
               }
               auto answer =
                   messages::decodeStatementAnswer(result.value().Body);
               if (answer && answer.value().Id == request.Id)
                 self->answered(op, std::move(answer.value()));
               else
                 self->answered(op, unknownOutcome(request,
                                                   AnswerCode::ConnectionLost,
                                                   "owner: answer malformed"));
             });
}

void Router::answered(const OperationPtr &op, StatementAnswer answer) {
  if (answer.Effect == Outcome::Unknown)
    op->OutcomeInDoubt = true;
  if (answer.Code == AnswerCode::Behind)
    op->PrimaryNext = true;
  bool safe = answer.Effect == Outcome::NotRun ||
              (answer.Effect == Outcome::Unknown && mayRepeat(op->In.Request));
  bool inTime = timeLeft(*op) > RetryPause;
  if (safe && inTime && op->In.Request.Transaction.empty() &&
      worthRetrying(answer.Code) && !op->In.Gone->load()) {
    tryAgain(op, answer);
    return;
  }
  // "Not run" of the last attempt says nothing of an earlier one in doubt.
  if (op->OutcomeInDoubt && answer.Effect == Outcome::NotRun &&
      op->In.Request.Mode == Access::Write)
    answer.Effect = Outcome::Unknown;
  if (answer.Effect != Outcome::Done && worthRetrying(answer.Code) &&
      !answer.RetryAfter)
    answer.RetryAfter = RetryAfterFailure;
  op->Done(std::move(answer));
}

void Router::tryAgain(const OperationPtr &op, const StatementAnswer &answer) {
  if (answer.Code == AnswerCode::Behind) {
    attempt(op);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(Loops.next(), RetryPause);
  timer->async_wait([self = shared_from_this(), op, timer](std::error_code ec) {
    if (!ec)
      self->attempt(op);
  });
}

void Router::routeTransaction(const OperationPtr &op) {
  auto request = op->In.Request;
  request.Id = {++LastRequest};
  request.Budget = timeLeft(*op);
  auto place = parseTransactionHandle(request.Transaction);
  if (!place) {
    op->Done(notRun(request, AnswerCode::BadRequest,
                    "transaction: not a handle of this service"));
    return;
  }
  request.Target = place->Target;
  if (place->Vm == Peers.self().Vm) {
    Local.execute(std::move(request), op->In.Gone,
                  [self = shared_from_this(), op](StatementAnswer it) {
                    self->answered(op, std::move(it));
                  });
    return;
  }
  auto owner = Peers.find(place->Vm);
  if (!owner) {
    op->Done(notRun(request, AnswerCode::TransactionGone,
                    "the daemon that held the transaction is gone"));
    return;
  }
  sendRemote(op, *owner, request);
}

} // namespace peridotfall
