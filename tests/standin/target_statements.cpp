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

/// Delay before a statement that was blocked by a lock is retried.
constexpr std::chrono::milliseconds LockRetryDelay{1};

std::string computeDigest(const StatementRequest &request) {
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
  runAfter(Options.ConnectTime, [respond] {
    respond(jsonResponse(http::StatusOk, Json::object()));
  });
}

void Target::enqueue(const http::Request &request, const Json &body,
                     const http::Respond &respond) {
  auto parsed = target::requestFromJson(body);
  if (!parsed || Connected.count(request.Connection) == 0) {
    respond({http::StatusBadRequest, {}, ""});
    return;
  }
  auto expires = std::chrono::steady_clock::now() + parsed->Budget;
  Queue.push_back({std::move(*parsed), request.Connection, respond,
                   request.Cancelled, expires});
  runNext();
}

void Target::runNext() {
  while (BusySlots < Options.Slots && !Queue.empty()) {
    auto work = std::move(Queue.front());
    Queue.pop_front();
    if (work.Gone->load())
      continue;
    ++BusySlots;
    runAfter(Options.ServiceTime, [self = shared_from_this(), work] {
      --self->BusySlots;
      self->run(work);
      self->runNext();
    });
  }
}

void Target::run(const Work &work) {
  auto it = execute(work);
  // A statement blocked by a lock is retried until its deadline.
  if (it.Code == AnswerCode::Busy &&
      std::chrono::steady_clock::now() < work.Expires && !work.Gone->load()) {
    runAfter(LockRetryDelay, [self = shared_from_this(), work] {
      self->Queue.push_front(work);
      self->runNext();
    });
    return;
  }
  it.At = std::max(it.At, status().Applied);
  work.Respond(jsonResponse(http::StatusOk, target::toJson(it)));
}

StatementAnswer Target::execute(const Work &work) {
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
Target::rejectWrite(const StatementRequest &request) {
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
  if (stored->Digest != computeDigest(request))
    return notRun(request, AnswerCode::KeyMismatch,
                  "the key was used for another statement");
  auto it = target::answerFromJson(Json::parse(stored->Answer));
  if (!it)
    return unknownOutcome(request, AnswerCode::KeyMismatch,
                          "the stored answer cannot be read");
  it->Id = request.Id;
  it->Replayed = true;
  // The log's end, not the original position: the position that is confirmed
  // for this answer has to be of the current term.
  it->At = lastPosition();
  return it;
}

StatementAnswer Target::makeAnswer(const StatementRequest &request,
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
  if (auto rejected = rejectWrite(request))
    return *rejected;
  auto &session = Store.writer();
  if (auto replayed = replay(request, session))
    return *replayed;
  if (session.runUnrestricted("BEGIN IMMEDIATE").Busy)
    return notRun(request, AnswerCode::Busy, "another transaction writes");
  LoggedStatement statement{request.Sql, request.Params};
  auto result = session.run(statement, true);
  if (!result.Error.empty()) {
    session.runUnrestricted("ROLLBACK");
    return makeAnswer(request, result);
  }
  return commitAndLog(request, session, {statement}, result);
}

StatementAnswer Target::commitAndLog(const StatementRequest &request,
                                     SqlSession &session,
                                     std::vector<LoggedStatement> writes,
                                     const SqlResult &result) {
  auto it = makeAnswer(request, result);
  it.At = {CurrentTerm, lastPosition().Index + 1};
  if (!request.Key.empty()) {
    auto key = makeKeyInsert(
        request.Key, {computeDigest(request), target::toJson(it).dump()});
    session.run(key, true);
    writes.push_back(std::move(key));
  }
  auto committed = session.runUnrestricted("COMMIT");
  if (!committed.Error.empty()) {
    session.runUnrestricted("ROLLBACK");
    return makeAnswer(request, committed);
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
  auto it = makeAnswer(
      request, Store.writer().run({request.Sql, request.Params}, false));
  it.Age = now.Age;
  return it;
}

StatementAnswer Target::begin(const Work &work) {
  if (auto rejected = rejectWrite(work.Request))
    return *rejected;
  auto session = Store.open();
  if (session->runUnrestricted("BEGIN IMMEDIATE").Busy)
    return notRun(work.Request, AnswerCode::Busy, "another transaction writes");
  Transactions[work.Connection] = {std::move(session), {}};
  return makeAnswer(work.Request, {});
}

StatementAnswer Target::runInTransaction(const Work &work, Transaction &it) {
  const auto &request = work.Request;
  switch (request.What) {
  case Verb::Begin:
    return notRun(request, AnswerCode::BadRequest, "already in a transaction");
  case Verb::Rollback:
    Transactions.erase(work.Connection);
    return makeAnswer(request, {});
  case Verb::Commit:
    return commit(work, it);
  case Verb::Statement:
    break;
  }
  LoggedStatement statement{request.Sql, request.Params};
  auto result = it.Session->run(statement, true);
  if (result.Error.empty() && result.Writes)
    it.Writes.push_back(std::move(statement));
  return makeAnswer(request, result);
}

/// Finds the answer of a commit under its key, for a caller that did not get
/// it.
StatementAnswer Target::findCommit(const StatementRequest &request) {
  if (auto rejected = rejectWrite(request))
    return *rejected;
  if (auto replayed = replay(request, Store.writer()))
    return *replayed;
  return notRun(request, AnswerCode::TransactionGone, "no transaction");
}

StatementAnswer Target::commit(const Work &work, Transaction &it) {
  StatementAnswer out;
  if (auto replayed = replay(work.Request, *it.Session))
    out = *replayed;
  else
    out = commitAndLog(work.Request, *it.Session, std::move(it.Writes), {});
  Transactions.erase(work.Connection);
  return out;
}

void Target::dropTransactions() { Transactions.clear(); }

} // namespace peridotfall::standin
