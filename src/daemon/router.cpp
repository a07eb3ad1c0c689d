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

/// Pause before a retry, doubled from the first value to the second. When a
/// primary fails, all requests of its group are retried, and must not overload
/// the target being promoted: doubled pauses make about ten attempts in a
/// failover of 2 s, and the longest pause is short compared with it.
constexpr milliseconds MinRetryPause{25};
constexpr milliseconds MaxRetryPause{200};
constexpr milliseconds RetryAfterFailure{1'000};

/// \return whether the request may be run again after a possible first run.
bool isSafeToRepeat(const StatementRequest &it) {
  return it.Mode != Access::Write || it.Repeatable || !it.Key.empty();
}

bool isRetryable(AnswerCode code) {
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

StatementAnswer readOwnerAnswer(const StatementRequest &request,
                                const http::CallResult &result) {
  if (!result) {
    auto why = "owner: " + result.error().Message;
    return result.error().Kind == http::Failure::MaybeRun
               ? unknownOutcome(request, AnswerCode::ConnectionLost, why)
               : notRun(request, AnswerCode::Unavailable, why);
  }
  auto answer = messages::decodeStatementAnswer(result.value().Body);
  if (answer && answer.value().Id == request.Id)
    return std::move(answer.value());
  return unknownOutcome(request, AnswerCode::ConnectionLost,
                        "owner: answer malformed");
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
  std::size_t OwnerRank = 0;     ///< Owners found unreachable so far.
  std::size_t PrimaryMisses = 0; ///< Attempts that reached no working primary.
  milliseconds RetryPause = MinRetryPause;
  TargetName AvoidTarget;      ///< Overloaded in an earlier attempt.
  bool UsePrimary = false;     ///< Set after a replica was behind.
  bool OutcomeInDoubt = false; ///< An earlier attempt may have run.
};

Router::Router(http::Loops &loops, const Clock &clock,
               const ConfigurationInForce &config, Fleet &fleet,
               GroupViews &views, Owner &owner)
    : Loops(loops), Time(clock), Config(config), Peers(fleet), Views(views),
      LocalOwner(owner), Placer(clock, fleet.self()),
      LastRequest(randomStart()) {}

Duration Router::timeLeft(const Operation &op) const {
  return op.Deadline - Time.now();
}

void Router::route(RoutedRequest request, OnAnswer done) {
  auto op = std::make_shared<Operation>();
  op->Deadline = Time.now() + request.Request.Budget;
  op->In = std::move(request);
  op->Done = std::move(done);
  if (!op->In.Request.Transaction.empty()) {
    routeTransaction(op);
    return;
  }
  auto config = Config.get();
  if (config && findDatabase(*config, op->In.Request.Database))
    Placer.earnRetries(op->In.Request.Database);
  attempt(op);
}

void Router::attempt(const OperationPtr &op) {
  auto request = op->In.Request;
  request.Id = {++LastRequest};
  request.Budget = timeLeft(*op);
  auto config = Config.get();
  const auto *database =
      config ? findDatabase(*config, request.Database) : nullptr;
  if (!database) {
    finish(op, notRun(request, AnswerCode::UnknownDatabase,
                      "no such database: " + request.Database.Value));
    return;
  }
  if (request.Mode == Access::FreshRead)
    request.NotBefore = op->In.Session.Seen;
  auto view = Views.get(request.Database);
  ++op->Attempts;
  if (request.Mode == Access::Write) {
    selectPrimary(*op, *database, view, request);
    send(op, std::move(request));
    return;
  }
  ReadDemand demand{request.Mode, request.NotBefore, request.MaxAge,
                    op->UsePrimary || (op->In.Session.primaryOnly() &&
                                       request.Mode == Access::FreshRead),
                    op->AvoidTarget};
  auto choice = Placer.choose(*config, *database, view, demand);
  request.Target = choice.Target;
  if (choice.Target.empty())
    selectPrimary(*op, *database, view, request);
  else if (choice.Target == view.Primary) {
    request.InTerm = view.InTerm;
    request.PrimaryOnly = true;
  }
  if (choice.WaitBefore > Duration{})
    runAfter(choice.WaitBefore, [self = shared_from_this(), op,
                                 request = std::move(request)]() mutable {
      request.Budget = self->timeLeft(*op);
      self->send(op, std::move(request));
    });
  else
    send(op, std::move(request));
}

/// A daemon that probes no target of the group may not know that the primary
/// was replaced, and would send each attempt to the old one until the deadline.
/// So every second attempt after a miss goes to the other targets, in any term;
/// a replaced primary that accepts the write cannot confirm it.
void Router::selectPrimary(const Operation &op, const DatabaseConfig &database,
                           const GroupView &view, StatementRequest &request) {
  request.PrimaryOnly = request.Mode != Access::Write;
  bool known = findTarget(database, view.Primary) != nullptr;
  if (known && op.PrimaryMisses % 2 == 0) {
    request.Target = view.Primary;
    request.InTerm = view.InTerm;
    return;
  }
  auto n = (op.PrimaryMisses + 1) / 2 +
           static_cast<std::size_t>(known ? 0 : op.Attempts);
  request.Target = database.Targets[n % database.Targets.size()].Name;
}

void Router::send(const OperationPtr &op, StatementRequest request) {
  auto config = Config.get();
  const auto *database = findDatabase(*config, request.Database);
  const auto *target =
      database ? findTarget(*database, request.Target) : nullptr;
  if (!target) {
    handleAnswer(op, request,
                 notRun(request, AnswerCode::Unavailable,
                        "target: no longer configured"));
    return;
  }
  auto owners = Peers.membersByRank(*config, *target);
  if (owners.empty()) {
    handleAnswer(op, request,
                 notRun(request, AnswerCode::Unavailable,
                        "no daemon is available to own the target"));
    return;
  }
  Placer.started(request.Database, request.Target);
  // The next attempt skips an owner that is unreachable but still counted as
  // a member. An owner that answers is kept, since each further owner would
  // open connections of its own.
  const auto &owner = owners[op->OwnerRank % owners.size()];
  if (owner.Vm == Peers.self().Vm)
    sendLocal(op, std::move(request));
  else
    sendRemote(op, owner, request);
}

void Router::sendLocal(const OperationPtr &op, StatementRequest request) {
  auto sent = Time.now();
  auto copy = request;
  LocalOwner.execute(std::move(copy), op->In.Gone,
                     [self = shared_from_this(), op, sent,
                      request = std::move(request)](StatementAnswer it) {
                       self->recordAnswer(request, it, self->Time.now() - sent);
                       self->handleAnswer(op, request, std::move(it));
                     });
}

/// Updates the placement of reads and the known primary from an answer.
void Router::recordAnswer(const StatementRequest &request,
                          const StatementAnswer &answer, Duration took) {
  auto config = Config.get();
  const auto *database = findDatabase(*config, request.Database);
  if (!database || !request.Transaction.empty())
    return;
  if (request.Mode == Access::Write && answer.Code == AnswerCode::Ok &&
      request.What == Verb::Statement)
    Views.updatePrimary(request.Database, answer.At.InTerm, request.Target);
  Placer.answered(*config, *database, request, answer, took);
}

void Router::sendRemote(const OperationPtr &op, const Member &owner,
                        const StatementRequest &request) {
  http::Request call;
  call.Method = "POST";
  call.Path = messages::StatementPath;
  call.Body = messages::encode(request);
  auto limit =
      std::max(duration_cast<milliseconds>(request.Budget), milliseconds(1));
  Placer.countBytes(owner.Region, call.Body.size());
  auto sent = Time.now();
  Peers.channel(owner.InnerAddress)
      ->call(std::move(call), limit,
             [self = shared_from_this(), op, request, sent,
              region = owner.Region](const http::CallResult &result) {
               if (result)
                 self->Placer.countBytes(region, result.value().Body.size());
               else
                 ++op->OwnerRank;
               auto answer = readOwnerAnswer(request, result);
               self->recordAnswer(request, answer, self->Time.now() - sent);
               self->handleAnswer(op, request, std::move(answer));
             });
}

bool Router::shouldRetry(const OperationPtr &op,
                         const StatementAnswer &answer) {
  const auto &in = op->In.Request;
  bool safe = answer.Effect == Outcome::NotRun ||
              (answer.Effect == Outcome::Unknown && isSafeToRepeat(in));
  // An overloaded read moves to another target once; a second refusal is
  // returned to the caller.
  bool shifts = answer.Code == AnswerCode::Overloaded &&
                in.Mode != Access::Write && op->AvoidTarget.empty();
  if (!safe || !in.Transaction.empty() || op->In.Gone->load() ||
      timeLeft(*op) <= 2 * op->RetryPause ||
      !(isRetryable(answer.Code) || shifts))
    return false;
  // After the first replica that is behind, the read goes to the primary. It
  // costs no retry budget: the primary's load is that of a read placed there.
  bool behind = answer.Code == AnswerCode::Behind && !op->UsePrimary;
  return behind || Placer.spendRetry(in.Database);
}

void Router::handleAnswer(const OperationPtr &op, const StatementRequest &sent,
                          StatementAnswer answer) {
  if (answer.Effect == Outcome::Unknown)
    op->OutcomeInDoubt = true;
  if (answer.Code == AnswerCode::NotPrimary ||
      answer.Code == AnswerCode::Fenced ||
      answer.Code == AnswerCode::NotConfirmed ||
      answer.Code == AnswerCode::Unavailable)
    ++op->PrimaryMisses;
  if (!shouldRetry(op, answer)) {
    finish(op, std::move(answer));
    return;
  }
  bool atOnce = answer.Code == AnswerCode::Behind && !op->UsePrimary;
  if (answer.Code == AnswerCode::Behind)
    op->UsePrimary = true;
  if (answer.Code == AnswerCode::Overloaded) {
    op->AvoidTarget = sent.Target;
    atOnce = true;
  }
  if (atOnce) {
    attempt(op);
    return;
  }
  auto pause = op->RetryPause;
  op->RetryPause = std::min(2 * op->RetryPause, MaxRetryPause);
  runAfter(pause, [self = shared_from_this(), op] { self->attempt(op); });
}

/// When the answer to a commit is lost, the transaction's connection is closed.
/// If the caller commits again, the owner answers "transaction gone, not run",
/// although the first commit may have run. The record stored under the commit's
/// key decides; without a key or a record the outcome stays unknown.
bool Router::lookUpCommit(const OperationPtr &op,
                          const StatementAnswer &answer) {
  auto &request = op->In.Request;
  if (request.What != Verb::Commit || request.Transaction.empty() ||
      answer.Code != AnswerCode::TransactionGone)
    return false;
  op->OutcomeInDoubt = true;
  if (request.Key.empty() || op->In.Gone->load() || timeLeft(*op) <= Duration{})
    return false;
  request.Transaction.clear();
  attempt(op);
  return true;
}

void Router::finish(const OperationPtr &op, StatementAnswer answer) {
  if (lookUpCommit(op, answer))
    return;
  // "Not run" from the last attempt does not rule out that an earlier attempt
  // with an unknown outcome ran.
  if (op->OutcomeInDoubt && answer.Effect == Outcome::NotRun &&
      op->In.Request.Mode == Access::Write)
    answer.Effect = Outcome::Unknown;
  if (answer.Effect != Outcome::Done && isRetryable(answer.Code) &&
      !answer.RetryAfter)
    answer.RetryAfter = RetryAfterFailure;
  op->Done(std::move(answer));
}

void Router::runAfter(Duration pause, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(Loops.next(), pause);
  timer->async_wait([timer, action = std::move(action)](std::error_code ec) {
    if (!ec)
      action();
  });
}

void Router::routeTransaction(const OperationPtr &op) {
  auto request = op->In.Request;
  request.Id = {++LastRequest};
  request.Budget = timeLeft(*op);
  auto location = parseTransactionHandle(request.Transaction);
  if (!location) {
    op->Done(notRun(request, AnswerCode::BadRequest,
                    "transaction: malformed handle"));
    return;
  }
  request.Target = location->Target;
  if (location->Vm == Peers.self().Vm) {
    sendLocal(op, std::move(request));
    return;
  }
  auto owner = Peers.find(location->Vm);
  if (!owner) {
    finish(op,
           notRun(request, AnswerCode::TransactionGone,
                  "the daemon that owned the transaction is not available"));
    return;
  }
  sendRemote(op, *owner, request);
}

} // namespace peridotfall
