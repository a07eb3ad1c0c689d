/// \file
/// Statements and their answers, as passed between all hops.

#ifndef PERIDOTFALL_STATEMENT_H
#define PERIDOTFALL_STATEMENT_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotfall {

/// A binary value.
struct Blob {
  std::string Bytes;

  auto operator<=>(const Blob &) const = default;
};

struct Null {
  auto operator<=>(const Null &) const = default;
};

using Value = std::variant<Null, std::int64_t, double, std::string, Blob>;
using Row = std::vector<Value>;

/// Access mode of a statement.
enum class Access : std::uint8_t {
  Write,     ///< Runs on the primary, is confirmed before the answer.
  FreshRead, ///< Sees the session's own writes.
  StaleRead, ///< May be stale, up to the tolerance of its kind.
};

enum class Verb : std::uint8_t { Statement, Begin, Commit, Rollback };

/// Whether a request took effect.
enum class Outcome : std::uint8_t {
  Done,    ///< Ran; the answer is complete.
  NotRun,  ///< Had no effect and will have none.
  Unknown, ///< May have run, or may still run.
};

/// Status of an answer.
enum class AnswerCode : std::uint8_t {
  Ok,
  SqlError,        ///< The target rejected the statement itself.
  Behind,          ///< The target has not reached the requested position.
  NotPrimary,      ///< A write or transaction was sent to a replica.
  Fenced,          ///< The target has seen a higher term.
  NotOwner,        ///< The daemon does not own the target.
  Overloaded,      ///< Rejected by admission control.
  DeadlinePassed,  ///< No time left to run the statement.
  UnknownDatabase, ///< Not in the configuration.
  BadRequest,      ///< The request is malformed.
  Unavailable,     ///< The target or its owner cannot be reached.
  ConnectionLost,  ///< The connection broke after bytes were sent.
  NotConfirmed,    ///< Committed on the primary, not yet on a replica.
  TransactionGone, ///< No open transaction has this handle.
  KeyExpired,      ///< Older than the retention of idempotency keys.
  KeyMismatch,     ///< The key was used for another statement.
  PositionLost,    ///< No remaining log has the session's position.
  Draining,        ///< The daemon is shutting down.
  Busy,            ///< The target's connections or locks are in use.
};

struct StatementRequest {
  RequestId Id;
  Verb What = Verb::Statement;
  DatabaseName Database;
  TargetName Target; ///< Chosen by placement.
  CallerName Caller;
  KindName Kind;
  Access Mode = Access::Write;
  Term InTerm = 0;    ///< Term known to the sender; 0: any.
  Position NotBefore; ///< Minimum position of the target.
  Duration MaxAge{};  ///< Maximum age of a stale read's data.
  /// A read that only the primary may answer, and only with confirmed data.
  bool PrimaryOnly = false;
  std::string Sql;
  Row Params;
  std::string Key;         ///< Idempotency key; empty: none.
  bool Repeatable = false; ///< May be retried after an unknown outcome.
  std::string Transaction; ///< Handle of an open transaction; empty: none.
  Duration Budget{};       ///< Time left when the request was sent.
  std::string Traceparent;

  bool operator==(const StatementRequest &) const = default;
};

struct StatementAnswer {
  RequestId Id; ///< The request's; detects answers to other requests.
  Outcome Effect = Outcome::NotRun;
  AnswerCode Code = AnswerCode::Unavailable;
  std::string Detail; ///< Human-readable.
  std::vector<std::string> Columns;
  std::vector<Row> Rows;
  std::int64_t Changes = 0;
  Position At; ///< Position of the target after the statement.
  TargetName ServedBy;
  TargetName Primary;      ///< Hint: the primary, if known.
  Duration Age{};          ///< Upper bound on the age of a replica's answer.
  bool Replayed = false;   ///< Recorded answer of its key; not run again.
  std::string Transaction; ///< Handle, in the answer to Begin.
  std::optional<Duration> RetryAfter;

  bool operator==(const StatementAnswer &) const = default;
};

/// Short stable names, used in problem details, metrics and logs.
std::string toString(Outcome it);
std::string toString(AnswerCode it);
std::string toString(Access it);

/// \return an answer with Outcome::NotRun and the reason.
StatementAnswer notRun(const StatementRequest &request, AnswerCode code,
                       std::string detail,
                       std::optional<Duration> retryAfter = std::nullopt);

/// \return an answer with Outcome::Unknown and the reason.
StatementAnswer unknownOutcome(const StatementRequest &request, AnswerCode code,
                               std::string detail);

} // namespace peridotfall

#endif // PERIDOTFALL_STATEMENT_H
