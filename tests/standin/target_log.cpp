// Terms, fencing and log shipping of the stand-in target.

#include "http/status.h"
#include "standin/platform.h"
#include "standin/target.h"
#include "target/wire.h"

#include <algorithm>
#include <utility>

namespace peridotfall::standin {

namespace {

constexpr std::chrono::milliseconds LogPollWait{200};
constexpr std::chrono::milliseconds LogRequestTimeout{400};
constexpr std::chrono::milliseconds LogRetryDelay{20};
constexpr std::size_t MaxRecordsPerResponse = 1'000;

Json toJson(const Record &record) {
  Json statements = Json::array();
  for (const auto &it : record.Statements)
    statements.push_back(
        {{"sql", it.Sql}, {"params", target::toJson(it.Params)}});
  return {{"at", target::toJson(record.At)}, {"statements", statements}};
}

Record recordFromJson(const Json &json) {
  Record out;
  out.At = target::positionFromJson(json.at("at"));
  for (const auto &it : json.at("statements")) {
    LoggedStatement statement{it.at("sql"), {}};
    for (const auto &value : it.at("params"))
      statement.Params.push_back(target::valueFromJson(value).value_or(Null{}));
    out.Statements.push_back(std::move(statement));
  }
  return out;
}

} // namespace

Position Target::lastPosition() const {
  return Log.empty() ? Position{} : Log.back().At;
}

target::Status Target::status() const {
  target::Status it;
  it.CurrentTerm = CurrentTerm;
  it.IsPrimary = IsPrimary;
  it.Last = lastPosition();
  it.Applied = Applied == 0 ? Position{} : Log[Applied - 1].At;
  it.Following = IsPrimary || !Upstream ? "" : Upstream->address();
  it.Leaving = Leaving;
  if (!IsPrimary)
    it.Age = std::chrono::steady_clock::now() - CaughtUpAt;
  return it;
}

/// Ends what a lower term began: its transactions are rolled back, its log is
/// no longer fetched, and requests that wait for its records are answered.
void Target::acceptTerm(Term term) {
  CurrentTerm = term;
  IsPrimary = false;
  ++Generation;
  if (Upstream)
    Upstream->close();
  Upstream.reset();
  dropTransactions();
  wakeWaiters();
}

http::Response Target::fence(Term term) {
  if (term < CurrentTerm)
    return jsonResponse(http::StatusConflict, target::toJson(status()));
  if (term > CurrentTerm)
    acceptTerm(term);
  return jsonResponse(http::StatusOk, target::toJson(status()));
}

http::Response Target::promote(Term term) {
  if (term != CurrentTerm)
    return jsonResponse(http::StatusConflict, target::toJson(status()));
  if (!IsPrimary) {
    ++Generation;
    applyUpTo(Log.size());
    IsPrimary = true;
    append({{term, lastPosition().Index + 1}, {}});
  }
  return jsonResponse(http::StatusOk, target::toJson(status()));
}

http::Response Target::follow(Term term, const std::string &address) {
  if (term < CurrentTerm || (term == CurrentTerm && IsPrimary))
    return jsonResponse(http::StatusConflict, target::toJson(status()));
  bool already = Upstream && Upstream->address() == address;
  if (term > CurrentTerm || !already) {
    acceptTerm(term);
    Upstream = std::make_shared<http::Channel>(Pool.at(0), address,
                                               http::ChannelOptions{});
    Received = lastPosition();
    requestLog();
  }
  return jsonResponse(http::StatusOk, target::toJson(status()));
}

void Target::await(const Json &body, const http::Respond &respond) {
  AwaitWaiter it{body.at("term"), target::positionFromJson(body.at("position")),
                 respond};
  std::chrono::milliseconds wait(body.at("waitMs").get<int>());
  AwaitWaiters.push_back(it);
  wakeWaiters();
  // The request may be answered twice; the second answer is dropped.
  runAfter(wait, [self = shared_from_this(), respond] {
    respond(jsonResponse(http::StatusOk, target::toJson(self->status())));
  });
}

void Target::wakeWaiters() {
  auto isReached = [&](const AwaitWaiter &it) {
    return CurrentTerm > it.InTerm ||
           (lastPosition().InTerm == it.InTerm && lastPosition() >= it.At);
  };
  auto response = jsonResponse(http::StatusOk, target::toJson(status()));
  for (const auto &it : AwaitWaiters)
    if (isReached(it))
      it.Respond(response);
  std::erase_if(AwaitWaiters, isReached);
  auto readers = std::exchange(LogWaiters, {});
  for (const auto &it : readers) {
    if (IsPrimary && it.After == lastPosition())
      LogWaiters.push_back(it);
    else
      it.Respond(logResponse(it.After));
  }
}

void Target::append(Record record) {
  Log.push_back(std::move(record));
  Applied = Log.size();
  wakeWaiters();
}

void Target::serveLog(const Json &body, const http::Respond &respond) {
  auto after = target::positionFromJson(body.at("after"));
  Term term = body.at("term");
  if (term != CurrentTerm || !IsPrimary) {
    respond(jsonResponse(http::StatusConflict, target::toJson(status())));
    return;
  }
  bool known = after.Index <= Log.size() &&
               (after.Index == 0 || Log[after.Index - 1].At == after);
  if (known && after == lastPosition()) {
    LogWaiters.push_back({after, respond});
    runAfter(LogPollWait, [self = shared_from_this(), after, respond] {
      respond(self->logResponse(after));
    });
    return;
  }
  respond(logResponse(after));
}

http::Response Target::logResponse(Position after) const {
  if (!IsPrimary)
    return jsonResponse(http::StatusConflict, target::toJson(status()));
  bool known = after.Index <= Log.size() &&
               (after.Index == 0 || Log[after.Index - 1].At == after);
  Json records = Json::array();
  if (known) {
    auto end =
        std::min<std::size_t>(Log.size(), after.Index + MaxRecordsPerResponse);
    for (auto n = after.Index; n < end; ++n)
      records.push_back(toJson(Log[n]));
  }
  return jsonResponse(http::StatusOk,
                      {{"known", known},
                       {"records", records},
                       {"last", target::toJson(lastPosition())}});
}

void Target::requestLog() {
  http::Request request;
  request.Method = "POST";
  request.Path = "/log";
  request.Body =
      Json{{"term", CurrentTerm}, {"after", target::toJson(Received)}}.dump();
  Upstream->call(std::move(request), LogRequestTimeout,
                 [weak = weak_from_this(), generation = Generation,
                  requestedAt = std::chrono::steady_clock::now()](
                     const http::CallResult &it) {
                   if (auto self = weak.lock())
                     self->handleLogResponse(generation, requestedAt, it);
                 });
}

void Target::handleLogResponse(std::uint64_t generation, TimePoint requestedAt,
                               const http::CallResult &result) {
  if (generation != Generation)
    return;
  auto requestAgain = [self = shared_from_this(), generation] {
    if (generation == self->Generation)
      self->requestLog();
  };
  auto json =
      result ? parseJson(result.value().Body) : Parsed<Json>(Findings{});
  if (!result || result.value().Status != http::StatusOk || !json || IsCut) {
    runAfter(LogRetryDelay, requestAgain);
    return;
  }
  if (!json.value().at("known").get<bool>()) {
    // The primary does not have the last record here: it was never confirmed.
    dropLastRecord();
    Received = lastPosition();
    requestAgain();
    return;
  }
  std::vector<Record> records;
  for (const auto &it : json.value().at("records"))
    records.push_back(recordFromJson(it));
  bool isComplete =
      records.empty() ||
      records.back().At == target::positionFromJson(json.value().at("last"));
  if (!records.empty())
    Received = records.back().At;
  runAfter(Options.ShipLag, [self = shared_from_this(), generation, records,
                             isComplete, requestedAt] {
    if (generation != self->Generation)
      return;
    self->appendReceived(records);
    auto upTo = self->Log.size();
    self->runAfter(self->Options.ApplyLag, [self, generation, upTo, isComplete,
                                            requestedAt] {
      if (generation != self->Generation)
        return;
      self->applyUpTo(upTo);
      if (isComplete)
        self->CaughtUpAt = std::max(self->CaughtUpAt, requestedAt);
    });
  });
  requestAgain();
}

void Target::appendReceived(const std::vector<Record> &records) {
  Log.insert(Log.end(), records.begin(), records.end());
  wakeWaiters();
}

void Target::applyUpTo(std::uint64_t index) {
  for (; Applied < index; ++Applied)
    Store.apply(Log[Applied]);
}

void Target::dropLastRecord() {
  if (Log.empty())
    return;
  Log.pop_back();
  if (Applied > Log.size()) {
    Applied = Log.size();
    Store.rebuild(Log);
  }
}

} // namespace peridotfall::standin
