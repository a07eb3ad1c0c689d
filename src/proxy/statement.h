/// \file
/// Statements of a session's dialogue and the answers to them, between the
/// code that speaks a wire protocol and the code that decides.

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
  Deallocate, ///< Of a prepared name.
  Reset,      ///< Clears values and prepared names of a target connection.
  Status,     ///< What a target says of itself.
  Unknown,
};

/// A prepared statement: what runs under a name.
struct Prepared {
  bool Writes = false;
  std::string Shape;

  auto operator<=>(const Prepared &) const = default;
};

/// One statement, from a caller or to a target.
struct Statement {
  StatementKind Kind = StatementKind::Unknown;
  std::string Id;   ///< The caller's; empty: the proxy's own statement.
  std::string Text; ///< Of a read or a write, as the caller sent it.
  std::string Name; ///< Of a value or a prepared statement.
  /// A value; or what an execution is given.
  std::string Argument;
  Prepared Body;                     ///< Of Prepare.
  std::optional<Position> NotBefore; ///< The log must have reached it.

  auto operator<=>(const Statement &) const = default;
};

/// \return a statement of the proxy's own, without an id.
Statement ownStatement(StatementKind kind);
/// Prepared statements go by what they run.
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
  Other, ///< Stands in Detail whole.
};

/// For logs and metrics.
const char *nameOf(ErrorKind it);

/// \return whether a target that answers so has run nothing.
constexpr bool saysNotRun(ErrorKind it) {
  return it == ErrorKind::Busy || it == ErrorKind::NoStatement ||
         it == ErrorKind::Lagging || it == ErrorKind::ReadOnly ||
         it == ErrorKind::WrongTarget || it == ErrorKind::ConnectionLimit;
}

struct StatementError {
  ErrorKind Kind = ErrorKind::Other;
  std::string Detail;

  auto operator<=>(const StatementError &) const = default;
};

/// A target's word of itself.
struct TargetStatus {
  bool IsPrimary = false;
  Term CurrentTerm = 0;
  Position Received;

  auto operator<=>(const TargetStatus &) const = default;
};

/// The whole answer to one statement.
struct Answer {
  std::vector<std::string> Rows;
  std::string Signature; ///< The target's, of a success; "-": it ran nothing.
  std::optional<StatementError> Error;
  TransactionState State = TransactionState::Idle;
  std::optional<Position> At;         ///< Of the target's log.
  std::optional<TargetStatus> Status; ///< Of the answer to Status.

  auto operator<=>(const Answer &) const = default;

  bool ok() const { return !Error; }
};

using CallerId = Handle<struct CallerSessionTag>;
using ConnectionId = Handle<struct TargetConnectionTag>;

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_STATEMENT_H
