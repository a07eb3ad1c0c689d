#include "peridotfall/statement.h"

#include <utility>

namespace peridotfall {

std::string toString(Outcome it) {
  switch (it) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string toString(AnswerCode it) {
  switch (it) {
  case AnswerCode::Ok:
    return "ok";
  case AnswerCode::SqlError:
    return "sql-error";
  case AnswerCode::Behind:
    return "behind";
  case AnswerCode::NotPrimary:
    return "not-primary";
  case AnswerCode::Fenced:
    return "fenced";
  case AnswerCode::NotOwner:
    return "not-owner";
  case AnswerCode::Overloaded:
    return "overloaded";
  case AnswerCode::DeadlinePassed:
    return "deadline-passed";
  case AnswerCode::UnknownDatabase:
    return "unknown-database";
  case AnswerCode::BadRequest:
    return "bad-request";
  case AnswerCode::Unavailable:
    return "unavailable";
  case AnswerCode::ConnectionLost:
    return "connection-lost";
  case AnswerCode::NotConfirmed:
    return "not-confirmed";
  case AnswerCode::TransactionGone:
    return "transaction-gone";
  case AnswerCode::KeyExpired:
    return "key-expired";
  case AnswerCode::KeyMismatch:
    return "key-mismatch";
  case AnswerCode::PositionLost:
    return "position-lost";
  case AnswerCode::Draining:
    return "draining";
  case AnswerCode::Busy:
    return "busy";
  }
  return "unavailable";
}

std::string toString(Access it) {
  switch (it) {
  case Access::Write:
    return "write";
  case Access::FreshRead:
    return "fresh-read";
  case Access::StaleRead:
    return "stale-read";
  }
  return "write";
}

StatementAnswer notRun(const StatementRequest &request, AnswerCode code,
                       std::string detail, std::optional<Duration> retryAfter) {
  StatementAnswer it;
  it.Id = request.Id;
  it.Effect = Outcome::NotRun;
  it.Code = code;
  it.Detail = std::move(detail);
  it.RetryAfter = retryAfter;
  return it;
}

StatementAnswer unknownOutcome(const StatementRequest &request, AnswerCode code,
                               std::string detail) {
  StatementAnswer it = notRun(request, code, std::move(detail));
  it.Effect = Outcome::Unknown;
  return it;
}

} // namespace peridotfall
