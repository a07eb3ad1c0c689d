#include "proof/callers.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds Deadline{2'500};
constexpr milliseconds CallerLimit{3'000};
constexpr milliseconds PauseBeforeRetry{200};
constexpr milliseconds PauseAfterRefusal{5};
constexpr int Tries = 4;
constexpr int MostRefusals = 20;
// Of a thousand.
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
  auto pause = At.Sim.Rng.between(Options.ShortestPause, Options.LongestPause);
  At.Net.timer(Node, pause, [this, session] {
    if (Stopped)
      return;
    Wish wish;
    wish.Session = session;
    wish.Effect = {++LastEffect};
    wish.TriesLeft = Tries;
    auto dice = At.Sim.Rng.below(1'000);
    if (dice < Reads)
      wish.Kind = RequestKind::FreshRead;
    else if (dice < Reads + Transactions)
      wish.Kind = RequestKind::Transaction;
    if (wish.Kind != RequestKind::FreshRead && At.Sim.Rng.chance(Keyed))
      wish.Key = fmt::format("key-{}", wish.Effect.Value);
    ask(std::move(wish));
  });
}

void Callers::ask(Wish wish) {
  if (Stopped)
    return;
  --wish.TriesLeft;
  wish.Request = At.Past.Requests.size();
  At.Past.Requests.push_back({{++LastRequest},
                              Sessions[wish.Session].Id,
                              wish.Kind,
                              wish.Effect,
                              !wish.Key.empty(),
                              At.Sim.now(),
                              std::nullopt});
  send(wish, requestFor(wish), 0);
}

StatementRequest Callers::requestFor(const Wish &wish) const {
  const auto &past = At.Past.Requests[wish.Request];
  StatementRequest it;
  it.Id = past.Id;
  it.Database = DatabaseName("orders");
  it.Mode =
      wish.Kind == RequestKind::FreshRead ? Access::FreshRead : Access::Write;
  Change change{wish.Effect, past.By, past.Id, "", 0};
  if (wish.Kind == RequestKind::Transaction) {
    constexpr Verb Verbs[] = {Verb::Begin, Verb::Statement, Verb::Statement,
                              Verb::Commit};
    it.What = Verbs[wish.Part];
    it.Transaction = wish.Transaction;
    change.Transaction = fmt::format("t{}", wish.Effect.Value);
    change.Part = wish.Part;
  }
  if (wish.Kind != RequestKind::Transaction || wish.Part == LastPart)
    it.Key = wish.Key;
  it.Params = paramsOf(change);
  it.Budget = Deadline;
  return it;
}

void Callers::send(const Wish &wish, const StatementRequest &request,
                   int refusals) {
  auto *daemon = Pick();
  auto token = Sessions[wish.Session].Token;
  At.Net.call<CallerReply>(
      Node, daemon->node(), CallerLimit,
      [daemon, request, token](auto reply) {
        daemon->Requests.serve(request, token, reply);
      },
      [this, wish, request, refusals](const Result<CallerReply> &it) {
        bool refused = !it && it.error().Code == ErrorCode::Unavailable;
        // Another daemon may have it: nothing was sent.
        if (refused && refusals < MostRefusals) {
          At.Net.timer(Node, PauseAfterRefusal,
                       [this, wish, request, refusals] {
                         send(wish, request, refusals + 1);
                       });
          return;
        }
        replied(wish, it);
      });
}

void Callers::record(const Wish &wish, const CallerReply &reply) {
  const auto &it = reply.Answer;
  At.Past.Requests[wish.Request].Answer = CallerAnswer{
      At.Sim.now(), it.Id, it.Effect, it.Code, it.At, echoOf(it), seenIn(it)};
}

void Callers::replied(Wish wish, const Result<CallerReply> &reply) {
  if (reply)
    Sessions[wish.Session].Token = reply.value().Token;
  if (wish.Kind == RequestKind::Transaction && inTransaction(wish, reply))
    return;
  if (reply)
    record(wish, reply.value());
  after(wish, static_cast<bool>(reply),
        reply ? reply.value().Answer.Effect : Outcome::Unknown);
}

/// Goes one step on. \return false once the answer to the commit is there.
bool Callers::inTransaction(Wish wish, const Result<CallerReply> &reply) {
  if (wish.Part == LastPart)
    return false;
  if (!reply || reply.value().Answer.Effect != Outcome::Done) {
    // Given up before the commit; the owner drops what was open.
    next(wish.Session);
    return true;
  }
  if (wish.Part == 0)
    wish.Transaction = reply.value().Answer.Transaction;
  ++wish.Part;
  send(wish, requestFor(wish), 0);
  return true;
}

/// A caller trusts "not run", whatever its request; after an unknown outcome
/// it asks again only under a key.
void Callers::after(Wish wish, bool known, Outcome outcome) {
  bool again = wish.Kind == RequestKind::Write && wish.TriesLeft > 0 &&
               ((known && outcome == Outcome::NotRun) ||
                (outcome == Outcome::Unknown && !wish.Key.empty()));
  if (!again) {
    next(wish.Session);
    return;
  }
  At.Net.timer(Node, PauseBeforeRetry, [this, wish] { ask(wish); });
}

} // namespace peridotfall::proof
