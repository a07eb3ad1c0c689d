#include "proof/fake_target.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr milliseconds PullInterval{10};
constexpr milliseconds PullLimit{200};
constexpr milliseconds IdleLimit{2'000};
constexpr std::size_t ParamCount = 5;

std::int64_t number(std::uint64_t it) { return static_cast<std::int64_t>(it); }

std::uint64_t numberIn(const Value &it) {
  return static_cast<std::uint64_t>(std::get<std::int64_t>(it));
}

} // namespace

Row paramsOf(const Change &it) {
  return {number(it.Effect.Value), number(it.By.Value),
          number(it.Request.Value), it.Transaction, std::int64_t{it.Part}};
}

Change changeOf(const StatementRequest &it) {
  if (it.Params.size() != ParamCount)
    return {};
  return {{numberIn(it.Params[0])},
          {numberIn(it.Params[1])},
          {numberIn(it.Params[2])},
          std::get<std::string>(it.Params[3]),
          static_cast<int>(numberIn(it.Params[4]))};
}

EffectId echoOf(const StatementAnswer &it) {
  return it.Rows.empty() ? EffectId{} : EffectId{numberIn(it.Rows[0][0])};
}

std::set<EffectId> seenIn(const StatementAnswer &it) {
  std::set<EffectId> out;
  for (std::size_t n = 1; n < it.Rows.size(); ++n)
    out.insert({numberIn(it.Rows[n][0])});
  return out;
}

void FakeTarget::initialize(bool primary, FakeTarget *following) {
  Log.push_back({{1, 1}, {}, "", {}});
  IsPrimary = primary;
  Upstream = primary ? nullptr : following;
  if (primary)
    Context.RunHistory.Promotions.push_back({Context.Sim.now(), 1, Name});
  restart();
}

void FakeTarget::restart() {
  Waiters.clear();
  Connected.clear();
  Transactions.clear();
  pull(++Generation);
}

failover::TargetReport FakeTarget::report() const {
  return {CurrentTerm, IsPrimary, last(),
          IsPrimary || !Upstream ? TargetName() : Upstream->name(),
          LeavingSince.has_value()};
}

void FakeTarget::acceptTerm(Term term) {
  CurrentTerm = term;
  IsPrimary = false;
  Upstream = nullptr;
  ++Generation;
  Transactions.clear();
  completeWaiters();
}

StepAnswer FakeTarget::fence(Term term) {
  if (term < CurrentTerm)
    return {};
  if (term > CurrentTerm && Context.Guards.Fencing)
    acceptTerm(term);
  auto it = accepted();
  if (!Context.Guards.PositionsWithTerms)
    it.Report.Last.InTerm = 0;
  if (!Context.Guards.Fencing)
    it.Report.CurrentTerm = term;
  return it;
}

StepAnswer FakeTarget::promote(Term term) {
  if (!Context.Guards.Fencing && term > CurrentTerm)
    acceptTerm(term);
  if (term != CurrentTerm)
    return {};
  if (!IsPrimary) {
    ++Generation;
    Upstream = nullptr;
    IsPrimary = true;
    Context.RunHistory.Promotions.push_back({Context.Sim.now(), term, Name});
    if (Context.Guards.StartOfTermRecord)
      append({{term, last().Index + 1}, {}, "", {}});
    Context.Hooks.reached(Step::Promoted);
  }
  return accepted();
}

StepAnswer FakeTarget::follow(Term term, FakeTarget *primary) {
  if (term < CurrentTerm || (term == CurrentTerm && IsPrimary))
    return {};
  if (term > CurrentTerm || Upstream != primary) {
    acceptTerm(term);
    Upstream = primary;
    pull(++Generation);
  }
  return accepted();
}

void FakeTarget::awaitPosition(Term term, Position position, Duration wait,
                               const OnReport &done) {
  Waiters.push_back({term, position, done});
  completeWaiters();
  Context.Net.timer(Node, wait, [this, done] { done(report()); });
}

void FakeTarget::completeWaiters() {
  auto reached = [&](const Waiter &it) {
    return CurrentTerm > it.InTerm ||
           (Context.Guards.LastRecordTerm ? last() >= it.Until
                                          : last().Index >= it.Until.Index);
  };
  std::vector<Waiter> ready;
  for (const auto &it : Waiters)
    if (reached(it))
      ready.push_back(it);
  std::erase_if(Waiters, reached);
  for (const auto &it : ready)
    it.Done(report());
}

void FakeTarget::append(LogRecord record) {
  if (!record.Key.empty())
    Keys[record.Key] = Log.size();
  Log.push_back(std::move(record));
  completeWaiters();
}

std::optional<FakeTarget::Shipment> FakeTarget::ship(Term term,
                                                     Position after) const {
  if (!IsPrimary || term != CurrentTerm)
    return std::nullopt;
  Shipment out;
  out.PositionFound = after.Index <= Log.size() &&
                      (after.Index == 0 || Log[after.Index - 1].At == after);
  if (out.PositionFound)
    out.Records.assign(Log.begin() + static_cast<std::ptrdiff_t>(after.Index),
                       Log.end());
  return out;
}

void FakeTarget::pull(std::uint64_t generation) {
  if (generation != Generation || !Upstream || IsPrimary)
    return;
  auto *upstream = Upstream;
  Context.Net.call<std::optional<Shipment>>(
      Node, upstream->node(), PullLimit,
      [upstream, term = CurrentTerm, after = last()](auto answer) {
        answer(upstream->ship(term, after));
      },
      [this, generation](const Result<std::optional<Shipment>> &it) {
        if (generation != Generation)
          return;
        auto pause = Duration(PullInterval);
        if (it && it.value()) {
          pause =
              it.value()->PositionFound ? Duration(PullInterval) : Duration(0);
          Context.Net.timer(
              Node, ShipLag, [this, generation, pause, shipment = *it.value()] {
                if (generation != Generation)
                  return;
                receive(shipment);
                Context.Net.timer(Node, pause,
                                  [this, generation] { pull(generation); });
              });
          return;
        }
        Context.Net.timer(Node, pause,
                          [this, generation] { pull(generation); });
      });
}

void FakeTarget::receive(const Shipment &it) {
  if (!it.PositionFound)
    dropLastRecord();
  for (const auto &record : it.Records)
    append(record);
}

void FakeTarget::dropLastRecord() {
  if (Log.empty())
    return;
  auto gone = Log.size() - 1;
  std::erase_if(Keys, [&](const auto &it) { return it.second == gone; });
  Log.pop_back();
}

std::optional<ConnectionId> FakeTarget::connect() {
  if (Connected.size() >= Limit)
    closeIdle();
  if (Connected.size() >= Limit)
    return std::nullopt;
  ConnectionId it{++LastConnection};
  Connected[it] = Context.Sim.now();
  return it;
}

/// An owner that was killed or cut off never closes its connections; without
/// this they would stay in use forever.
void FakeTarget::closeIdle() {
  std::vector<ConnectionId> idle;
  for (const auto &[it, used] : Connected)
    if (Context.Sim.now() - used > IdleLimit)
      idle.push_back(it);
  for (auto it : idle)
    disconnect(it);
}

void FakeTarget::disconnect(ConnectionId it) {
  Connected.erase(it);
  Transactions.erase(it);
}

StatementAnswer FakeTarget::done(const StatementRequest &request) const {
  auto it = notRun(request, AnswerCode::Ok, "");
  it.Effect = Outcome::Done;
  it.At = last();
  it.Rows.push_back({number(changeOf(request).Effect.Value)});
  return it;
}

std::optional<StatementAnswer>
FakeTarget::refuseWrite(const StatementRequest &request) const {
  if (request.InTerm != 0 && request.InTerm < CurrentTerm)
    return notRun(request, AnswerCode::Fenced, "a higher term is accepted");
  if (!IsPrimary || (request.InTerm != 0 && request.InTerm != CurrentTerm))
    return notRun(request, AnswerCode::NotPrimary, "not primary of this term");
  return std::nullopt;
}

std::optional<StatementAnswer>
FakeTarget::replay(const StatementRequest &request) const {
  auto it = Keys.find(request.Key);
  if (request.Key.empty() || it == Keys.end() ||
      !Context.Guards.IdempotencyCheck)
    return std::nullopt;
  auto answer = Log[it->second].Stored;
  answer.Id = request.Id;
  answer.Replayed = true;
  // The end of the log, not the stored position: the confirmation of this
  // answer must be valid in the current term.
  answer.At = last();
  return answer;
}

StatementAnswer FakeTarget::execute(ConnectionId connection,
                                    const StatementRequest &request) {
  auto found = Connected.find(connection);
  if (found == Connected.end())
    return notRun(request, AnswerCode::Unavailable, "connection is closed");
  found->second = Context.Sim.now();
  if (LeavingSince && request.Transaction.empty())
    Context.RunHistory.AtLeaving.push_back(
        {Name, Context.Sim.now() - *LeavingSince});
  if (Transactions.count(connection) != 0)
    return inTransaction(request, connection);
  if (request.What == Verb::Commit || request.What == Verb::Rollback)
    return notRun(request, AnswerCode::TransactionGone, "no transaction");
  if (request.Mode != Access::Write)
    return read(request);
  if (auto refused = refuseWrite(request))
    return *refused;
  if (request.What == Verb::Begin) {
    Transactions[connection];
    return done(request);
  }
  if (auto replayed = replay(request))
    return *replayed;
  return commit(request, {changeOf(request)});
}

StatementAnswer FakeTarget::inTransaction(const StatementRequest &request,
                                          ConnectionId connection) {
  auto &changes = Transactions[connection];
  switch (request.What) {
  case Verb::Begin:
    return notRun(request, AnswerCode::BadRequest, "already in a transaction");
  case Verb::Statement:
    changes.push_back(changeOf(request));
    return done(request);
  case Verb::Rollback:
    Transactions.erase(connection);
    return done(request);
  case Verb::Commit:
    break;
  }
  auto written = std::exchange(changes, {});
  Transactions.erase(connection);
  if (auto replayed = replay(request))
    return *replayed;
  return commit(request, std::move(written));
}

StatementAnswer FakeTarget::commit(const StatementRequest &request,
                                   std::vector<Change> changes) {
  auto it = done(request);
  it.At = {CurrentTerm, last().Index + 1};
  Context.RunHistory.Commits.push_back(
      {Context.Sim.now(), it.At, changeOf(request).Effect});
  append({it.At, std::move(changes), request.Key, it});
  Context.Hooks.reached(Step::Committed);
  return it;
}

StatementAnswer FakeTarget::read(const StatementRequest &request) const {
  if (request.InTerm != 0 && request.InTerm < CurrentTerm)
    return notRun(request, AnswerCode::Fenced, "a higher term is accepted");
  if (Context.Guards.NotBefore && last() < request.NotBefore) {
    auto it =
        notRun(request, AnswerCode::Behind, "has not reached the position");
    it.At = last();
    return it;
  }
  auto it = done(request);
  auto session = changeOf(request).By;
  for (const auto &record : Log)
    for (const auto &change : record.Changes)
      if (change.By == session)
        it.Rows.push_back({number(change.Effect.Value)});
  return it;
}

void FakeTarget::setLeaving(bool leaving) {
  LeavingSince = leaving ? std::optional(Context.Sim.now()) : std::nullopt;
}

} // namespace peridotfall::proof
