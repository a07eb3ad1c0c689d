#include "proof/callers.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds Deadline{2'500};
constexpr milliseconds CallerLimit{3'000};
constexpr milliseconds PauseBeforeRetry{200};
constexpr milliseconds PauseAfterRefusal{5};
constexpr int MaxAttempts = 4;
constexpr int MaxRefusals = 20;
// Shares per thousand.
constexpr unsigned Reads = 500;
constexpr unsigned Transactions = 120;
constexpr unsigned Keyed = 700;
/// Begin, two statements, commit.
constexpr int LastPart = 3;

} // namespace

void Callers::start() {
  for (std::size_t n = 0; n < Options.Sessions; ++n) {
    Sessions.push_back({{n + 1}, ""});
    next(n);
  }
}

void Callers::next(std::size_t session) {
  auto pause =
      Context.Sim.Rng.between(Options.ShortestPause, Options.LongestPause);
  Context.Net.timer(Node, pause, [this, session] {
    if (Stopped)
      return;
    Task task;
    task.Session = session;
    task.Effect = {++LastEffect};
    task.AttemptsLeft = MaxAttempts;
    auto dice = Context.Sim.Rng.below(1'000);
    if (dice < Reads)
      task.Kind = RequestKind::FreshRead;
    else if (dice < Reads + Transactions)
      task.Kind = RequestKind::Transaction;
    if (task.Kind != RequestKind::FreshRead && Context.Sim.Rng.chance(Keyed))
      task.Key = fmt::format("key-{}", task.Effect.Value);
    beginRequest(std::move(task));
  });
}

void Callers::beginRequest(Task task) {
  if (Stopped)
    return;
  --task.AttemptsLeft;
  task.Request = Context.RunHistory.Requests.size();
  Context.RunHistory.Requests.push_back({{++LastRequest},
                                         Sessions[task.Session].Id,
                                         task.Kind,
                                         task.Effect,
                                         !task.Key.empty(),
                                         Context.Sim.now(),
                                         std::nullopt});
  send(task, requestFor(task), 0);
}

StatementRequest Callers::requestFor(const Task &task) const {
  const auto &recorded = Context.RunHistory.Requests[task.Request];
  StatementRequest it;
  it.Id = recorded.Id;
  it.Database = DatabaseName("orders");
  it.Mode =
      task.Kind == RequestKind::FreshRead ? Access::FreshRead : Access::Write;
  Change change{task.Effect, recorded.By, recorded.Id, "", 0};
  if (task.Kind == RequestKind::Transaction) {
    constexpr Verb Verbs[] = {Verb::Begin, Verb::Statement, Verb::Statement,
                              Verb::Commit};
    it.What = Verbs[task.Part];
    it.Transaction = task.Transaction;
    change.Transaction = fmt::format("t{}", task.Effect.Value);
    change.Part = task.Part;
  }
  if (task.Kind != RequestKind::Transaction || task.Part == LastPart)
    it.Key = task.Key;
  it.Params = paramsOf(change);
  it.Budget = Deadline;
  return it;
}

void Callers::send(const Task &task, const StatementRequest &request,
                   int refusals) {
  auto *daemon = Pick();
  auto token = Sessions[task.Session].Token;
  Context.Net.call<CallerReply>(
      Node, daemon->node(), CallerLimit,
      [daemon, request, token](auto reply) {
        daemon->Requests.serve(request, token, reply);
      },
      [this, task, request, refusals](const Result<CallerReply> &it) {
        bool refused = !it && it.error().Code == ErrorCode::Unavailable;
        // Nothing was sent, so the request may go to another daemon.
        if (refused && refusals < MaxRefusals) {
          Context.Net.timer(Node, PauseAfterRefusal,
                            [this, task, request, refusals] {
                              send(task, request, refusals + 1);
                            });
          return;
        }
        replied(task, it);
      });
}

void Callers::record(const Task &task, const CallerReply &reply) {
  const auto &it = reply.Answer;
  Context.RunHistory.Requests[task.Request].Answer =
      CallerAnswer{Context.Sim.now(), it.Id,     it.Effect, it.Code, it.At,
                   echoOf(it),        seenIn(it)};
}

void Callers::replied(Task task, const Result<CallerReply> &reply) {
  if (reply)
    Sessions[task.Session].Token = reply.value().Token;
  if (task.Kind == RequestKind::Transaction && inTransaction(task, reply))
    return;
  if (reply)
    record(task, reply.value());
  after(task, static_cast<bool>(reply),
        reply ? reply.value().Answer.Effect : Outcome::Unknown);
}

/// Sends the next step. \return false if the reply is the commit's.
bool Callers::inTransaction(Task task, const Result<CallerReply> &reply) {
  if (task.Part == LastPart)
    return false;
  if (!reply || reply.value().Answer.Effect != Outcome::Done) {
    // Abandoned before the commit; the owner drops the open transaction.
    next(task.Session);
    return true;
  }
  if (task.Part == 0)
    task.Transaction = reply.value().Answer.Transaction;
  ++task.Part;
  send(task, requestFor(task), 0);
  return true;
}

/// A caller retries any write that was "not run"; after an unknown outcome it
/// retries only with a key.
void Callers::after(Task task, bool known, Outcome outcome) {
  bool again = task.Kind == RequestKind::Write && task.AttemptsLeft > 0 &&
               ((known && outcome == Outcome::NotRun) ||
                (outcome == Outcome::Unknown && !task.Key.empty()));
  if (!again) {
    next(task.Session);
    return;
  }
  Context.Net.timer(Node, PauseBeforeRetry,
                    [this, task] { beginRequest(task); });
}

} // namespace peridotfall::proof
