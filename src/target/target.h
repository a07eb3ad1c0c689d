/// \file
/// A target of a database group, as an aggregate of functions: the transport
/// behind it can be exchanged.

#ifndef PERIDOTFALL_TARGET_TARGET_H
#define PERIDOTFALL_TARGET_TARGET_H

#include "peridotfall/configuration.h"
#include "peridotfall/result.h"
#include "peridotfall/statement.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace peridotfall::target {

/// What a target says of itself.
struct Status {
  Term CurrentTerm = 0; ///< Highest accepted; lower statements are refused.
  bool IsPrimary = false;
  Position Last;         ///< Last record of its log, with that record's term.
  Position Applied;      ///< Last record that its readers see.
  std::string Following; ///< Address of the primary it copies from.
  bool Leaving = false;
  Duration Age{}; ///< Bound on how old its readers' view is.

  auto operator<=>(const Status &) const = default;
};

using OnStatus = std::function<void(Result<Status>)>;
using OnAnswer = std::function<void(StatementAnswer)>;

/// Calls that need none of the scarce connections. Errors: Unavailable (not
/// sent), Unknown, Conflict (the target has accepted a higher term).
struct Control {
  std::function<void(OnStatus)> GetStatus;
  /// Answers when the target's last record is of \p term and its log holds
  /// \p position, or with its status when \p wait is over.
  std::function<void(Term term, Position position,
                     std::chrono::milliseconds wait, OnStatus)>
      AwaitPosition;
  /// Accepts the term: nothing of a lower one is taken from then on.
  std::function<void(Term term, OnStatus)> Fence;
  /// Becomes primary of a term it has accepted; writes a start-of-term record.
  std::function<void(Term term, OnStatus)> Promote;
  /// Copies the log of the primary of this term, dropping a tail that the
  /// primary does not have.
  std::function<void(Term term, std::string address, OnStatus)> Follow;
};

/// One of the scarce connections: one statement, or one transaction, at once.
struct Connection {
  /// The call back runs once. A lost connection answers ConnectionLost with
  /// Outcome::Unknown where bytes may have left.
  std::function<void(const StatementRequest &, std::chrono::milliseconds limit,
                     OnAnswer)>
      Execute;
  std::function<void()> Close;
  /// Whether it may be used again.
  std::function<bool()> IsOpen;
};

using ConnectionPtr = std::shared_ptr<const Connection>;
using OnConnection = std::function<void(Result<ConnectionPtr>)>;

struct Api {
  Control Calls;
  std::function<void(OnConnection)> Connect;
  /// Closes all connections; statements in flight end as lost at once. May be
  /// null: then they end at their own limits.
  std::function<void()> Disconnect;
};

} // namespace peridotfall::target

#endif // PERIDOTFALL_TARGET_TARGET_H
