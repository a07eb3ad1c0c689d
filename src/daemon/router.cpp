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

/// Pauses before a request that was not run is sent again, from the first to
/// the longest. Load: all requests of a group whose primary failed. Harm: the
/// target being promoted is drowned by attempts. Reason: doubled pauses send
/// about ten attempts in a failover of 2 s, and the longest is short against
/// it.
constexpr milliseconds FirstPause{25};
constexpr milliseconds LongestPause{200};
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
  std::size_t OwnerRank = 0; ///< Owners that could not be reached.
  std::size_t Misses = 0;    ///< Targets that were not the primary.
  milliseconds Pause = FirstPause;
  TargetName Avoid;            ///< Refused it for load.
  bool PrimaryNext = false;    ///< A replica was behind: go to the primary.
  bool OutcomeInDoubt = false; ///< An earlier attempt may have run.
};

Router::Router(http::Loops &loops, const Clock &clock,
               const ConfigurationInForce &config, Fleet &fleet,
               GroupViews &views, Owner &owner)
    : Loops(loops), Time(clock), Config(config), Peers(fleet), Views(views),
      Local(owner), Places(clock, fleet.self()), LastRequest(randomStart()) {}

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
    Places.earnRetries(op->In.Request.Database);
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
    end(op, notRun(request, AnswerCode::UnknownDatabase,
                   "no such database: " + request.Database.Value));
    return;
  }
  if (request.Mode == Access::FreshRead)
    request.NotBefore = op->In.Session.Seen;
  auto view = Views.get(request.Database);
  ++op->Attempts;
  if (request.Mode == Access::Write) {
    aimAtPrimary(*op, *database, view, request);
    send(op, std::move(request));
    return;
  }
  ReadDemand demand{request.Mode, request.NotBefore, request.MaxAge,
                    op->PrimaryNext || (op->In.Session.primaryOnly() &&
                                        request.Mode == Access::FreshRead),
                    op->Avoid};
  auto choice = Places.choose(*config, *database, view, demand);
  request.Target = choice.Target;
  if (choice.Target.empty())
    aimAtPrimary(*op, *database, view, request);
  else if (choice.Target == view.Primary) {
    request.InTerm = view.InTerm;
    request.PrimaryOnly = true;
  }
  if (choice.WaitBefore > Duration{})
    later(choice.WaitBefore, [self = shared_from_this(), op,
                              request = std::move(request)]() mutable {
      request.Budget = self->timeLeft(*op);
      self->send(op, std::move(request));
    });
  else
    send(op, std::move(request));
}

/// Failure: this daemon probes no target of the group, and the primary that it
/// knows was replaced. Symptom: each attempt meets the old one until the
/// deadline. Every second attempt after a miss tries the other targets, in any
/// term; a replaced primary that takes the write cannot confirm it.
void Router::aimAtPrimary(const Operation &op, const DatabaseConfig &database,
                          const GroupView &view, StatementRequest &request) {
  request.PrimaryOnly = request.Mode != Access::Write;
  bool known = findTarget(database, view.Primary) != nullptr;
  if (known && op.Misses % 2 == 0) {
    request.Target = view.Primary;
    request.InTerm = view.InTerm;
    return;
  }
  auto n =
      (op.Misses + 1) / 2 + static_cast<std::size_t>(known ? 0 : op.Attempts);
  request.Target = database.Targets[n % database.Targets.size()].Name;
}

void Router::send(const OperationPtr &op, StatementRequest request) {
  auto config = Config.get();
  const auto *database = findDatabase(*config, request.Database);
  const auto *target =
      database ? findTarget(*database, request.Target) : nullptr;
  if (!target) {
    answered(op, request,
             notRun(request, AnswerCode::Unavailable, "target: removed"));
    return;
  }
  auto owners = Peers.ranked(*config, *target);
  if (owners.empty()) {
    answered(op, request,
             notRun(request, AnswerCode::Unavailable, "no daemon is live"));
    return;
  }
  Places.started(request.Database, request.Target);
  // An owner that cannot be reached is passed over at the next attempt, until
  // the membership knows of it; one that answers stays, since each further
  // owner would open connections of its own.
  const auto &owner = owners[op->OwnerRank % owners.size()];
  if (owner.Vm == Peers.self().Vm)
    sendLocal(op, std::move(request));
  else
    sendRemote(op, owner, request);
}

void Router::sendLocal(const OperationPtr &op, StatementRequest request) {
  auto sent = Time.now();
  auto copy = request;
  Local.execute(std::move(copy), op->In.Gone,
                [self = shared_from_this(), op, sent,
                 request = std::move(request)](StatementAnswer it) {
                  self->learn(request, it, self->Time.now() - sent);
                  self->answered(op, request, std::move(it));
                });
}

/// Takes from an answer what placement and later requests go by.
void Router::learn(const StatementRequest &request,
                   const StatementAnswer &answer, Duration took) {
  auto config = Config.get();
  const auto *database = findDatabase(*config, request.Database);
  if (!database || !request.Transaction.empty())
    return;
  if (request.Mode == Access::Write && answer.Code == AnswerCode::Ok &&
      request.What == Verb::Statement)
    Views.learnPrimary(request.Database, answer.At.InTerm, request.Target);
  Places.answered(*config, *database, request, answer, took);
}

void Router::sendRemote(const OperationPtr &op, const Member &owner,
                        const StatementRequest &request) {
  http::Request call;
  call.Method = "POST";
  call.Path = messages::StatementPath;
  call.Body = messages::encode(request);
  auto limit =
      std::max(duration_cast<milliseconds>(request.Budget), milliseconds(1));
  Places.countBytes(owner.Region, call.Body.size());
  auto sent = Time.now();
  Peers.channel(owner.InnerAddress)
      ->call(std::move(call), limit,
             [self = shared_from_this(), op, request, sent,
              region = owner.Region](const http::CallResult &result) {
               if (result)
                 self->Places.countBytes(region, result.value().Body.size());
               else
                 ++op->OwnerRank;
               auto answer = readOwnerAnswer(request, result);
               self->learn(request, answer, self->Time.now() - sent);
               self->answered(op, request, std::move(answer));
             });
}

/// \return whether the request goes on, after a pause or at once.
bool Router::goOn(const OperationPtr &op, const StatementAnswer &answer) {
  const auto &in = op->In.Request;
  bool safe = answer.Effect == Outcome::NotRun ||
              (answer.Effect == Outcome::Unknown && mayRepeat(in));
  // Shifted once to another target; a second refusal is the answer.
  bool shifts = answer.Code == AnswerCode::Overloaded &&
                in.Mode != Access::Write && op->Avoid.empty();
  if (!safe || !in.Transaction.empty() || op->In.Gone->load() ||
      timeLeft(*op) <= 2 * op->Pause || !(worthRetrying(answer.Code) || shifts))
    return false;
  // A replica that was behind is asked once, and the primary then: no more
  // load than a read placed there at once.
  bool behind = answer.Code == AnswerCode::Behind && !op->PrimaryNext;
  return behind || Places.spendRetry(in.Database);
}

void Router::answered(const OperationPtr &op, const StatementRequest &sent,
                      StatementAnswer answer) {
  if (answer.Effect == Outcome::Unknown)
    op->OutcomeInDoubt = true;
  if (answer.Code == AnswerCode::NotPrimary ||
      answer.Code == AnswerCode::Fenced ||
      answer.Code == AnswerCode::NotConfirmed ||
      answer.Code == AnswerCode::Unavailable)
    ++op->Misses;
  if (!goOn(op, answer)) {
    end(op, std::move(answer));
    return;
  }
  bool atOnce = answer.Code == AnswerCode::Behind && !op->PrimaryNext;
  if (answer.Code == AnswerCode::Behind)
    op->PrimaryNext = true;
  if (answer.Code == AnswerCode::Overloaded) {
    op->Avoid = sent.Target;
    atOnce = true;
  }
  if (atOnce) {
    attempt(op);
    return;
  }
  auto pause = op->Pause;
  op->Pause = std::min(2 * op->Pause, LongestPause);
  later(pause, [self = shared_from_this(), op] { self->attempt(op); });
}

/// Failure: the answer to a commit was lost, the transaction's connection
/// closed, and the caller commits again. Symptom: "the transaction is gone,
/// not run", though the first commit ran. What is stored under its key tells;
/// without one, or with nothing stored, the outcome stays unknown.
bool Router::asksForCommit(const OperationPtr &op,
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

void Router::end(const OperationPtr &op, StatementAnswer answer) {
  if (asksForCommit(op, answer))
    return;
  // "Not run" of the last attempt says nothing of an earlier one in doubt.
  if (op->OutcomeInDoubt && answer.Effect == Outcome::NotRun &&
      op->In.Request.Mode == Access::Write)
    answer.Effect = Outcome::Unknown;
  if (answer.Effect != Outcome::Done && worthRetrying(answer.Code) &&
      !answer.RetryAfter)
    answer.RetryAfter = RetryAfterFailure;
  op->Done(std::move(answer));
}

void Router::later(Duration pause, std::function<void()> action) {
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
  auto place = parseTransactionHandle(request.Transaction);
  if (!place) {
    op->Done(notRun(request, AnswerCode::BadRequest,
                    "transaction: not a handle of this service"));
    return;
  }
  request.Target = place->Target;
  if (place->Vm == Peers.self().Vm) {
    sendLocal(op, std::move(request));
    return;
  }
  auto owner = Peers.find(place->Vm);
  if (!owner) {
    end(op, notRun(request, AnswerCode::TransactionGone,
                   "the daemon that held the transaction is gone"));
    return;
  }
  sendRemote(op, *owner, request);
}

} // namespace peridotfall
