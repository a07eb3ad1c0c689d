// Statements and transactions of the stand-in target.

#include "base/encoding.h"
#include "http/status.h"
#include "standin/platform.h"
#include "standin/target.h"
#include "target/wire.h"

#include <openssl/evp.h>
#include <utility>

namespace peridotfall::standin {

namespace {

/// How soon a statement that met a lock tries again.
constexpr std::chrono::milliseconds LockRetry{1};

std::string digestOf(const StatementRequest &request) {
  auto text = request.Sql + "\n" + target::toJson(request.Params).dump();
  unsigned char buf[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  EVP_Digest(text.data(), text.size(), buf, &n, EVP_sha256(), nullptr);
  return encodeBase64Url({reinterpret_cast<const char *>(buf), n});
}

} // namespace

void Target::connect(ConnectionHandle connection,
                     const http::Respond &respond) {
  if (Connected.size() >= Options.Connections) {
    respond({http::StatusUnavailable, {}, ""});
    return;
  }
  Connected.insert(connection);
  later(Options.ConnectTime,
        [respond] { respond(jsonResponse(http::StatusOk, Json::object())); });
}

void Target::enqueue(const http::Request &request, const Json &body,
                     const http::Respond &respond) {
  auto parsed = target::requestFromJson(body);
  if (!parsed || Connected.count(request.Connection) == 0) {
    respond({http::StatusBad, {}, ""});
    return;
  }
  auto expires = std::chrono::steady_clock::now() + parsed->Budget;
  Queue.push_back(
      {std::move(*parsed), request.Connection, respond, request.Gone, expires});
  runNext();
}

void Target::runNext() {
  while (BusySlots < Options.Slots && !Queue.empty()) {
    auto work = std::move(Queue.front());
    Queue.pop_front();
    if (work.Gone->load())
      continue;
    ++BusySlots;
    later(Options.ServiceTime, [self = shared_from_this(), work] {
      --self->BusySlots;
      self->run(work);
      self->runNext();
    });
  }
}

void Target::run(const Work &work) {
  auto it = answer(work);
  // A statement that met another's lock waits for it, within its time.
  if (it.Code == AnswerCode::Busy &&
      std::chrono::steady_clock::now() < work.Expires && !work.Gone->load()) {
    later(LockRetry, [self = shared_from_this(), work] {
      self->Queue.push_front(work);
      self->runNext();
    });
    return;
  }
  it.At = std::max(it.At, status().Applied);
  work.Respond(jsonResponse(http::StatusOk, target::toJson(it)));
}

StatementAnswer Target::answer(const Work &work) {
  const auto &request = work.Request;
  if (std::chrono::steady_clock::now() >= work.Expires)
    return notRun(request, AnswerCode::DeadlinePassed, "deadline passed");
  auto it = Transactions.find(work.Connection);
  if (it != Transactions.end())
    return runInTransaction(work, it->second);
  switch (request.What) {
  case Verb::Begin:
    return begin(work);
  case Verb::Commit:
    return findCommit(request);
  case Verb::Rollback:
    return notRun(request, AnswerCode::TransactionGone, "no transaction");
  case Verb::Statement:
    break;
  }
  return request.Mode == Access::Write ? write(request) : read(request);
}

std::optional<StatementAnswer>
Target::refuseWrite(const StatementRequest &request) {
  if (request.InTerm != 0 && request.InTerm < CurrentTerm)
    return notRun(request, AnswerCode::Fenced, "a higher term is accepted");
  if (!IsPrimary || (request.InTerm != 0 && request.InTerm != CurrentTerm))
    return notRun(request, AnswerCode::NotPrimary, "not primary of this term");
  return std::nullopt;
}

std::optional<StatementAnswer> Target::replay(const StatementRequest &request,
                                              SqlSession &session) {
  if (request.Key.empty())
    return std::nullopt;
  auto stored = findKey(session, request.Key);
  if (!stored)
    return std::nullopt;
  if (stored->Digest != digestOf(request))
    return notRun(request, AnswerCode::KeyMismatch,
                  "the key was used for another statement");
  auto it = target::answerFromJson(Json::parse(stored->Answer));
  if (!it)
    return unknownOutcome(request, AnswerCode::KeyMismatch,
                          "the stored answer cannot be read");
  it->Id = request.Id;
  it->Replayed = true;
  // The log's end, not the old position: what is confirmed for this answer
  // must hold in the present term.
  it->At = last();
  return it;
}

StatementAnswer Target::done(const StatementRequest &request,
                             const SqlResult &result) const {
  auto it = notRun(request, AnswerCode::Ok, "");
  if (result.Busy) {
    it.Code = AnswerCode::Busy;
    it.Detail = result.Error;
  } else if (!result.Error.empty()) {
    it.Code = AnswerCode::SqlError;
    it.Detail = result.Error;
  } else {
    it.Effect = Outcome::Done;
    it.Columns = result.Columns;
    it.Rows = result.Rows;
    it.Changes = result.Changes;
  }
  return it;
}

StatementAnswer Target::write(const StatementRequest &request) {
  if (auto refused = refuseWrite(request))
    return *refused;
  auto &session = Store.writer();
  if (auto replayed = replay(request, session))
    return *replayed;
  if (session.control("BEGIN IMMEDIATE").Busy)
    return notRun(request, AnswerCode::Busy, "another transaction writes");
  LoggedStatement statement{request.Sql, request.Params};
  auto result = session.run(statement, true);
  if (!result.Error.empty()) {
    session.control("ROLLBACK");
    return done(request, result);
  }
  return finish(request, session, {statement}, result);
}

StatementAnswer Target::finish(const StatementRequest &request,
                               SqlSession &session,
                               std::vector<LoggedStatement> writes,
                               const SqlResult &result) {
  auto it = done(request, result);
  it.At = {CurrentTerm, last().Index + 1};
  if (!request.Key.empty()) {
    auto key =
        storeKey(request.Key, {digestOf(request), target::toJson(it).dump()});
    session.run(key, true);
    writes.push_back(std::move(key));
  }
  auto committed = session.control("COMMIT");
  if (!committed.Error.empty()) {
    session.control("ROLLBACK");
    return done(request, committed);
  }
  append({it.At, std::move(writes)});
  return it;
}

StatementAnswer Target::read(const StatementRequest &request) {
  if (request.InTerm != 0 && request.InTerm < CurrentTerm)
    return notRun(request, AnswerCode::Fenced, "a higher term is accepted");
  auto now = status();
  if (now.Applied < request.NotBefore) {
    auto it =
        notRun(request, AnswerCode::Behind, "has not reached the position");
    it.At = now.Applied;
    return it;
  }
  if (request.Mode == Access::StaleRead && now.Age > request.MaxAge)
    return notRun(request, AnswerCode::Behind, "older than the tolerance");
  auto it =
      done(request, Store.writer().run({request.Sql, request.Params}, false));
  it.Age = now.Age;
  return it;
}

StatementAnswer Target::begin(const Work &work) {
  if (auto refused = refuseWrite(work.Request))
    return *refused;
  auto session = Store.open();
  if (session->control("BEGIN IMMEDIATE").Busy)
    return notRun(work.Request, AnswerCode::Busy, "another transaction writes");
  Transactions[work.Connection] = {std::move(session), {}};
  return done(work.Request, {});
}

StatementAnswer Target::runInTransaction(const Work &work, Transaction &it) {
  const auto &request = work.Request;
  switch (request.What) {
  case Verb::Begin:
    return notRun(request, AnswerCode::BadRequest, "already in a transaction");
  case Verb::Rollback:
    Transactions.erase(work.Connection);
    return done(request, {});
  case Verb::Commit:
    return commit(work, it);
  case Verb::Statement:
    break;
  }
  LoggedStatement statement{request.Sql, request.Params};
  auto result = it.Session->run(statement, true);
  if (result.Error.empty() && result.Writes)
    it.Writes.push_back(std::move(statement));
  return done(request, result);
}

/// A commit whose answer was lost is found under its key.
StatementAnswer Target::findCommit(const StatementRequest &request) {
  if (auto refused = refuseWrite(request))
    return *refused;
  if (auto replayed = replay(request, Store.writer()))
    return *replayed;
  return notRun(request, AnswerCode::TransactionGone, "no transaction");
}

StatementAnswer Target::commit(const Work &work, Transaction &it) {
  StatementAnswer out;
  if (auto replayed = replay(work.Request, *it.Session))
    out = *replayed;
  else
    out = finish(work.Request, *it.Session, std::move(it.Writes), {});
  Transactions.erase(work.Connection);
  return out;
}

void Target::dropTransactions() { Transactions.clear(); }

} // namespace peridotfall::standin
