/// \file
/// Interface of a target of a database group, as an aggregate of functions, so
/// that the transport can be replaced.

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

/// The state that a target reports.
struct Status {
  Term CurrentTerm = 0; ///< Highest accepted; lower terms are refused.
  bool IsPrimary = false;
  Position Last;         ///< Last record of its log, with that record's term.
  Position Applied;      ///< Last record visible to reads.
  std::string Following; ///< Address of the primary that it replicates.
  bool Leaving = false;
  Duration Age{}; ///< Upper bound on the staleness of its reads.

  auto operator<=>(const Status &) const = default;
};

using OnStatus = std::function<void(Result<Status>)>;
using OnAnswer = std::function<void(StatementAnswer)>;

/// Control calls, which use none of the target's limited connections. Errors:
/// Unavailable (not sent), Unknown, Conflict (the target has accepted a higher
/// term).
struct Control {
  std::function<void(OnStatus)> GetStatus;
  /// Answers when the target's last record is of \p term and its log contains
  /// \p position, or with its status after \p wait.
  std::function<void(Term term, Position position,
                     std::chrono::milliseconds wait, OnStatus)>
      AwaitPosition;
  /// Makes the target accept the term and reject all lower terms from then on.
  std::function<void(Term term, OnStatus)> Fence;
  /// Makes the target primary of a term that it has accepted. It writes a
  /// start-of-term record.
  std::function<void(Term term, OnStatus)> Promote;
  /// Makes the target replicate the log of this term's primary and truncate
  /// records that the primary does not have.
  std::function<void(Term term, std::string address, OnStatus)> Follow;
};

/// One of the target's limited connections. Runs one statement or one
/// transaction at a time.
struct Connection {
  /// The callback runs once. A lost connection answers ConnectionLost with
  /// Outcome::Unknown if bytes may have been sent.
  std::function<void(const StatementRequest &, std::chrono::milliseconds limit,
                     OnAnswer)>
      Execute;
  std::function<void()> Close;
  /// \return whether the connection can be used again.
  std::function<bool()> IsOpen;
};

using ConnectionPtr = std::shared_ptr<const Connection>;
using OnConnection = std::function<void(Result<ConnectionPtr>)>;

struct Api {
  Control Calls;
  std::function<void(OnConnection)> Connect;
  /// Closes all connections; statements in flight fail at once as lost. May be
  /// null: then they end at their own time limits.
  std::function<void()> Disconnect;
};

} // namespace peridotfall::target

#endif // PERIDOTFALL_TARGET_TARGET_H
