#include "daemon/caller_api.h"

#include "base/document.h"
#include "base/encoding.h"
#include "http/status.h"
#include "peridotfall/limits.h"
#include "target/wire.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <optional>
#include <utility>
#include <vector>

namespace peridotfall {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> splitPath(const std::string &path) {
  std::vector<std::string> out;
  std::string part;
  for (char c : path.substr(0, path.find('?')) + "/") {
    if (c != '/')
      part += c;
    else if (!part.empty())
      out.push_back(std::exchange(part, {}));
  }
  return out;
}

/// Operation named by a path such as v1/databases/DB/statements.
struct Operation {
  Verb What = Verb::Statement;
  DatabaseName Database;
  std::string Transaction;
};

/// The names are sent to other daemons and to targets as UTF-8.
std::optional<Operation> parsePath(const std::string &path) {
  if (!isUtf8(path))
    return std::nullopt;
  auto parts = splitPath(path);
  if (parts.size() < 4 || parts[0] != "v1" || parts[1] != "databases")
    return std::nullopt;
  Operation it;
  it.Database = DatabaseName(parts[2]);
  if (parts.size() == 4 && parts[3] == "statements")
    return it;
  if (parts[3] != "transactions")
    return std::nullopt;
  if (parts.size() == 4) {
    it.What = Verb::Begin;
    return it;
  }
  if (parts.size() != 6)
    return std::nullopt;
  it.Transaction = parts[4];
  if (parts[5] == "commit")
    it.What = Verb::Commit;
  else if (parts[5] == "rollback")
    it.What = Verb::Rollback;
  else if (parts[5] != "statements")
    return std::nullopt;
  return it;
}

void readDeadline(const http::Request &request, StatementRequest &out,
                  Findings &findings) {
  auto text = http::findHeader(request.Fields, DeadlineHeader);
  out.Budget = limits::DefaultDeadline;
  if (text.empty())
    return;
  std::int64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || n < 1 ||
      n > limits::MaxDeadline.count()) {
    findings.push_back(
        {DeadlineHeader,
         fmt::format("milliseconds from 1 to {}", limits::MaxDeadline.count()),
         std::string(text)});
    return;
  }
  out.Budget = milliseconds(n);
}

void readIdempotencyKey(const http::Request &request, StatementRequest &out,
                        Findings &findings) {
  out.Key = std::string(http::findHeader(request.Fields, KeyHeader));
  if (out.Key.size() > limits::MaxKeyLength)
    findings.push_back(
        {KeyHeader, fmt::format("at most {} characters", limits::MaxKeyLength),
         std::to_string(out.Key.size())});
  // JSON has no other bytes: different keys would become the same one.
  if (!isUtf8(out.Key))
    findings.push_back({KeyHeader, "UTF-8", "other bytes"});
}

void readParameters(const Json &list, StatementRequest &out,
                    Findings &findings) {
  if (list.size() > limits::MaxParameters) {
    findings.push_back({"/params",
                        fmt::format("at most {} values", limits::MaxParameters),
                        std::to_string(list.size())});
    return;
  }
  std::size_t n = 0;
  for (const auto &it : list) {
    auto value = target::valueFromJson(it);
    if (!value)
      findings.push_back({fmt::format("/params/{}", n),
                          "null, a 64-bit number, text or "
                          "{\"base64\": text}",
                          excerpt(it)});
    out.Params.push_back(value.value_or(Null{}));
    ++n;
  }
}

void readBody(const http::Request &request, const DatabaseConfig &database,
              StatementRequest &out, Findings &findings) {
  auto json = parseJson(request.Body);
  if (!json) {
    findings.insert(findings.end(), json.error().begin(), json.error().end());
    return;
  }
  ObjectReader it(json.value(), "", findings);
  out.Sql = it.text("sql");
  if (json.value().is_object() && json.value().contains("params"))
    readParameters(it.list("params"), out, findings);
  // The kind is optional in a transaction: all its statements run on the
  // primary.
  out.Kind = KindName(out.Transaction.empty() ? it.text("kind")
                                              : it.textOr("kind", ""));
  it.finish();
  const auto *kind = findKind(database, out.Kind);
  if (kind) {
    out.Mode = out.Transaction.empty() ? kind->Mode : Access::Write;
    out.MaxAge = kind->MaxAge;
    out.Repeatable = kind->Repeatable;
  } else if (!out.Kind.empty())
    findings.push_back(
        {"/kind", "a request kind of the configuration", out.Kind.Value});
}

CallerProblem problem(int status, AnswerCode code, Finding finding) {
  return {status, code, {std::move(finding)}};
}

int statusOf(const StatementAnswer &it) {
  switch (it.Code) {
  case AnswerCode::Ok:
    return http::StatusOk;
  case AnswerCode::SqlError:
  case AnswerCode::KeyMismatch:
    return http::StatusUnprocessable;
  case AnswerCode::BadRequest:
    return http::StatusBadRequest;
  case AnswerCode::UnknownDatabase:
    return http::StatusNotFound;
  case AnswerCode::TransactionGone:
  case AnswerCode::PositionLost:
    return http::StatusConflict;
  case AnswerCode::KeyExpired:
    return http::StatusGone;
  case AnswerCode::DeadlinePassed:
  case AnswerCode::NotConfirmed:
    return http::StatusTimeout;
  case AnswerCode::ConnectionLost:
    return http::StatusBadGateway;
  default:
    return http::StatusUnavailable;
  }
}

http::Response problemResponse(int status, AnswerCode code, Outcome outcome,
                               const std::string &detail) {
  Json body = {{"type", "urn:peridotfall:" + toString(code)},
               {"title", toString(code)},
               {"status", status},
               {"detail", detail},
               {"outcome", toString(outcome)}};
  return {status,
          {{"content-type", "application/problem+json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

http::Response successResponse(const StatementAnswer &answer) {
  Json rows = Json::array();
  for (const auto &row : answer.Rows)
    rows.push_back(target::toJson(row));
  Json body = {{"outcome", toString(answer.Effect)},
               {"columns", answer.Columns},
               {"rows", rows},
               {"changes", answer.Changes},
               {"servedBy", answer.ServedBy.Value},
               {"replayed", answer.Replayed}};
  if (!answer.Transaction.empty())
    body["transaction"] = answer.Transaction;
  return {http::StatusOk,
          {{"content-type", "application/json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

/// Whole seconds, rounded up so that no caller retries too early.
std::string retryAfterText(Duration it) {
  auto n = duration_cast<seconds>(it);
  if (n < it)
    n += seconds(1);
  return std::to_string(std::max<std::int64_t>(n.count(), 1));
}

SessionToken sessionAfter(const CallerRequest &request,
                          const StatementAnswer &answer) {
  const auto &statement = request.Statement;
  bool inTransaction =
      !statement.Transaction.empty() && statement.What != Verb::Commit;
  if (inTransaction || statement.What == Verb::Begin)
    return request.Session;
  if (answer.Effect == Outcome::Unknown && statement.Mode == Access::Write)
    return withUnknown(request.Session, statement.Database, statement.Key);
  if (answer.Effect == Outcome::Done && statement.Mode != Access::StaleRead)
    return withSeen(request.Session, statement.Database, answer.At,
                    statement.Key);
  return request.Session;
}

} // namespace

CallerResult parseCallerRequest(const http::Request &request,
                                const Configuration *config,
                                const TokenKeys &keys) {
  auto operation = parsePath(request.Path);
  if (!operation)
    return problem(http::StatusNotFound, AnswerCode::BadRequest,
                   {"path", "a path of the API", request.Path});
  if (request.Method != "POST")
    return problem(http::StatusBadRequest, AnswerCode::BadRequest,
                   {"method", "POST", request.Method});
  if (!config)
    return problem(http::StatusUnavailable, AnswerCode::Unavailable,
                   {"configuration", "one in force", "none yet"});
  const auto *database = findDatabase(*config, operation->Database);
  if (!database)
    return problem(
        http::StatusNotFound, AnswerCode::UnknownDatabase,
        {"database", "one of the configuration", operation->Database.Value});
  CallerProblem bad;
  CallerRequest out;
  auto &statement = out.Statement;
  statement.What = operation->What;
  statement.Database = operation->Database;
  statement.Transaction = operation->Transaction;
  statement.Caller = CallerName(request.Peer);
  statement.Traceparent =
      std::string(http::findHeader(request.Fields, "traceparent"));
  readDeadline(request, statement, bad.Reasons);
  readIdempotencyKey(request, statement, bad.Reasons);
  if (statement.What == Verb::Statement)
    readBody(request, *database, statement, bad.Reasons);
  if (http::findHeader(request.Fields, NotRepeatableHeader) == "true")
    statement.Repeatable = false;
  auto token = http::findHeader(request.Fields, SessionHeader);
  if (!token.empty()) {
    auto session = verifyToken(std::string(token), keys);
    if (session)
      out.Session = std::move(session.value());
    else
      bad.Reasons.push_back({SessionHeader,
                             "a session token signed with a known key",
                             session.error().Message});
  }
  if (!bad.Reasons.empty())
    return bad;
  return out;
}

http::Response makeResponse(const CallerRequest &request,
                            const StatementAnswer &answer,
                            const TokenKeys &keys) {
  auto out = answer.Effect == Outcome::Done
                 ? successResponse(answer)
                 : problemResponse(statusOf(answer), answer.Code, answer.Effect,
                                   answer.Detail);
  if (answer.RetryAfter)
    out.Fields.push_back({"retry-after", retryAfterText(*answer.RetryAfter)});
  out.Fields.push_back(
      {SessionHeader, signToken(sessionAfter(request, answer), keys)});
  return out;
}

http::Response makeResponse(const CallerProblem &problem) {
  std::string detail;
  for (const auto &it : problem.Reasons)
    detail += (detail.empty() ? "" : "; ") + describe(it, "request");
  auto out =
      problemResponse(problem.Status, problem.Code, Outcome::NotRun, detail);
  if (problem.Status == http::StatusUnavailable)
    out.Fields.push_back({"retry-after", "1"});
  return out;
}

} // namespace peridotfall
