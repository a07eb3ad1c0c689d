/// \file
/// Statements and their answers, as exchanged between the code that speaks a
/// wire protocol and the code that decides.

#ifndef PERIDOTFALL_PROXY_STATEMENT_H
#define PERIDOTFALL_PROXY_STATEMENT_H

#include "peridotfall/names.h"
#include "peridotfall/statement.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::proxy {

enum class StatementKind : std::uint8_t {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  Deallocate, ///< Removes a prepared statement.
  Reset,      ///< Clears values and prepared names of a target connection.
  Status,     ///< Asks a target for its TargetStatus.
  Unknown,
};

/// The body of a prepared statement, without its name.
struct PreparedStatement {
  bool Writes = false;
  std::string Shape;

  auto operator<=>(const PreparedStatement &) const = default;
};

/// \return the text used in logs.
const char *nameOf(StatementKind it);

/// A statement from a caller or to a target.
struct Statement {
  StatementKind Kind = StatementKind::Unknown;
  std::string Id; ///< The caller's id; empty: issued by the proxy itself.
  /// The text of a read or a write, as the caller sent it.
  std::string Text;
  std::string Name; ///< Name of a value or a prepared statement.
  /// The value to set, or the argument of an execution.
  std::string Argument;
  PreparedStatement Body; ///< Of Prepare and, once resolved, Execute.
  /// The target may run it only once its log has reached this position.
  std::optional<Position> NotBefore;

  auto operator<=>(const Statement &) const = default;
};

/// \return a statement issued by the proxy itself, which has no id.
Statement makeProxyStatement(StatementKind kind);
/// For Execute, reads and writes depend on the prepared body.
bool writes(const Statement &it);
bool reads(const Statement &it);

enum class TransactionState : std::uint8_t { Idle, Open, Failed };

enum class ErrorKind : std::uint8_t {
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  WrongTarget,
  ConnectionLimit,
  Failed,
  TimedOut,
  InDoubt,
  NoStatement,
  Malformed,
  NoDatabase,
  Other,      ///< Detail has the complete error.
  KeyUnknown, ///< The caller's key belongs to no account.
};

/// \return the text used in logs and metric labels.
const char *nameOf(ErrorKind it);

/// \return whether the error means that the target has run nothing.
constexpr bool hasNotRun(ErrorKind it) {
  return it == ErrorKind::Busy || it == ErrorKind::NoStatement ||
         it == ErrorKind::Lagging || it == ErrorKind::ReadOnly ||
         it == ErrorKind::WrongTarget || it == ErrorKind::ConnectionLimit;
}

struct StatementError {
  ErrorKind Kind = ErrorKind::Other;
  std::string Detail;

  auto operator<=>(const StatementError &) const = default;
};

/// The role and log position that a target reports.
struct TargetStatus {
  bool IsPrimary = false;
  Term CurrentTerm = 0;
  Position Received;

  auto operator<=>(const TargetStatus &) const = default;
};

/// The complete answer to one statement.
struct Answer {
  std::vector<std::string> Rows;
  std::string Signature; ///< Of a success; "-": the target ran nothing.
  std::optional<StatementError> Error;
  TransactionState State = TransactionState::Idle;
  std::optional<Position> At;         ///< Position of the target's log.
  std::optional<TargetStatus> Status; ///< Set in the answer to Status.

  auto operator<=>(const Answer &) const = default;

  bool ok() const { return !Error; }
};

using CallerId = Handle<struct CallerSessionTag>;
using ConnectionId = Handle<struct TargetConnectionTag>;

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_STATEMENT_H
