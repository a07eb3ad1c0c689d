/// \file
/// Statements and their answers, as all hops see them.

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

/// Bytes, as opposed to text.
struct Blob {
  std::string Bytes;

  auto operator<=>(const Blob &) const = default;
};

struct Null {
  auto operator<=>(const Null &) const = default;
};

using Value = std::variant<Null, std::int64_t, double, std::string, Blob>;
using Row = std::vector<Value>;

/// What a statement may see and do.
enum class Access : std::uint8_t {
  Write,     ///< Runs on the primary and is confirmed before it is answered.
  FreshRead, ///< Sees the session's own writes.
  StaleRead, ///< May be old, up to the tolerance of its kind.
};

enum class Verb : std::uint8_t { Statement, Begin, Commit, Rollback };

/// What is known of a request's effect.
enum class Outcome : std::uint8_t {
  Done,    ///< Ran; the answer is whole.
  NotRun,  ///< Had and will have no effect.
  Unknown, ///< May have run, or may yet run.
};

/// Why an answer is what it is.
enum class AnswerCode : std::uint8_t {
  Ok,
  SqlError,        ///< The target refused the statement itself.
  Behind,          ///< The target has not reached the position asked for.
  NotPrimary,      ///< A write or a transaction met a target that follows.
  Fenced,          ///< The target knows a higher term.
  NotOwner,        ///< The daemon asked does not own the target.
  Overloaded,      ///< Refused by admission.
  DeadlinePassed,  ///< No time left to run it.
  UnknownDatabase, ///< Not in the configuration.
  BadRequest,      ///< Not understood.
  Unavailable,     ///< The target or its owner cannot be reached.
  ConnectionLost,  ///< Lost after bytes left.
  NotConfirmed,    ///< Committed on the primary, not yet on a replica.
  TransactionGone, ///< No transaction of this name here.
  KeyExpired,      ///< Older than its key is kept.
  KeyMismatch,     ///< The key was used for another statement.
  PositionLost,    ///< No surviving log has the session's position.
  Draining,        ///< The daemon is shutting down.
  Busy,            ///< The target's connections or locks are taken.
};

struct StatementRequest {
  RequestId Id;
  Verb What = Verb::Statement;
  DatabaseName Database;
  TargetName Target; ///< Chosen by placement.
  CallerName Caller;
  KindName Kind;
  Access Mode = Access::Write;
  Term InTerm = 0;    ///< Term the sender believes in; 0: any.
  Position NotBefore; ///< Least position the target must hold.
  Duration MaxAge{};  ///< Of a stale read.
  /// A read that only the primary may answer, and only confirmed.
  bool PrimaryOnly = false;
  std::string Sql;
  Row Params;
  std::string Key;         ///< Idempotency key; empty: none.
  bool Repeatable = false; ///< May be sent again after an unknown outcome.
  std::string Transaction; ///< Handle of an open transaction; empty: none.
  Duration Budget{};       ///< Time left when it was sent.
  std::string Traceparent;

  bool operator==(const StatementRequest &) const = default;
};

struct StatementAnswer {
  RequestId Id; ///< Equals the request's; a crossed answer is found by it.
  Outcome Effect = Outcome::NotRun;
  AnswerCode Code = AnswerCode::Unavailable;
  std::string Detail; ///< For people.
  std::vector<std::string> Columns;
  std::vector<Row> Rows;
  std::int64_t Changes = 0;
  Position At; ///< Position of the target after the statement.
  TargetName ServedBy;
  TargetName Primary;      ///< Hint: who leads, if known.
  Duration Age{};          ///< Bound on how old a replica's answer is.
  bool Replayed = false;   ///< Found under its key; not run again.
  std::string Transaction; ///< Handle, in the answer to Begin.
  std::optional<Duration> RetryAfter;

  bool operator==(const StatementAnswer &) const = default;
};

/// Short stable names, used in problem answers, metrics and logs.
std::string toString(Outcome it);
std::string toString(AnswerCode it);
std::string toString(Access it);

/// \return an answer that says "not run", with the reason.
StatementAnswer notRun(const StatementRequest &request, AnswerCode code,
                       std::string detail,
                       std::optional<Duration> retryAfter = std::nullopt);

/// \return an answer that says the outcome is unknown, with the reason.
StatementAnswer unknownOutcome(const StatementRequest &request, AnswerCode code,
                               std::string detail);

} // namespace peridotfall

#endif // PERIDOTFALL_STATEMENT_H
