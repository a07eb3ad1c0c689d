/// \file
/// The callers' view of a run, and a checker that is independent of the
/// program: it compares the requests, their answers and the log of the last
/// primary at the end.

#ifndef PERIDOTFALL_PROOF_HISTORY_H
#define PERIDOTFALL_PROOF_HISTORY_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "peridotfall/statement.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proof {

/// An effect that a caller wants exactly once. A request sent again under the
/// same key has the same effect.
using EffectId = Handle<struct EffectTag>;
using SessionId = Handle<struct SessionTag>;

/// One change in a log.
struct Change {
  EffectId Effect;
  SessionId By;
  RequestId Request;       ///< The caller's request that made it.
  std::string Transaction; ///< Empty: a single statement.
  int Part = 0;            ///< Number in its transaction; 0: single statement.

  auto operator<=>(const Change &) const = default;
};

struct LogRecord {
  Position At;
  std::vector<Change> Changes; ///< Empty: a start-of-term record.
  std::string Key;
  StatementAnswer Stored; ///< The answer stored under the key.

  bool operator==(const LogRecord &) const = default;
};

enum class RequestKind : std::uint8_t { Write, Transaction, FreshRead };

/// The answer that a caller got to one request.
struct CallerAnswer {
  TimePoint Ended;
  RequestId Id;
  Outcome Effect = Outcome::NotRun;
  AnswerCode Code = AnswerCode::Ok;
  Position At;
  EffectId Echo;           ///< The effect that the answer refers to.
  std::set<EffectId> Seen; ///< Of a read: the session's own effects.

  bool operator==(const CallerAnswer &) const = default;
};

struct CallerRequest {
  RequestId Id;
  SessionId By;
  RequestKind Kind = RequestKind::Write;
  EffectId Effect; ///< Of a write or a transaction.
  bool Repeatable = false;
  TimePoint Begun;
  std::optional<CallerAnswer> Answer; ///< None: the caller timed out.

  bool operator==(const CallerRequest &) const = default;
};

/// A record appended by a target that assumed it was the primary.
struct Commit {
  TimePoint When;
  Position At;
  EffectId Effect;

  auto operator<=>(const Commit &) const = default;
};

struct Promotion {
  TimePoint When;
  Term InTerm = 0;
  TargetName Target;

  auto operator<=>(const Promotion &) const = default;
};

/// A revision that a daemon had in force.
struct RevisionSeen {
  VmName Vm;
  std::uint64_t Incarnation = 0;
  std::uint64_t Revision = 0;
  std::string Id; ///< Of the configuration.

  auto operator<=>(const RevisionSeen &) const = default;
};

/// The result of a configuration change that was reported to its operator.
struct Applied {
  std::string Id;
  std::uint64_t Revision = 0;
  Outcome Reported = Outcome::Unknown;

  auto operator<=>(const Applied &) const = default;
};

/// New work that reached a leaving target.
struct LeavingWork {
  TargetName Target;
  Duration SinceLeaving{};

  auto operator<=>(const LeavingWork &) const = default;
};

struct History {
  std::vector<CallerRequest> Requests;
  std::vector<Commit> Commits;
  std::vector<Promotion> Promotions;
  std::vector<RevisionSeen> Revisions;
  std::vector<Applied> Applications;
  std::vector<RevisionSeen> RevisionsAtEnd; ///< At each live daemon.
  std::vector<LeavingWork> AtLeaving;
  std::uint64_t CutByShutdown = 0;  ///< Requests cut by a graceful shutdown.
  std::vector<LogRecord> Surviving; ///< Log of the last primary.
  /// When all faults ended; empty: they did not.
  std::optional<TimePoint> HealedAt;
};

enum class ViolationKind : std::uint8_t {
  Doubled,              ///< An effect is in the surviving log twice.
  Lost,                 ///< Acknowledged, but not in the surviving log.
  Mixed,                ///< A record has parts of two requests, or half of one.
  OwnWriteUnseen,       ///< A read missed what its session had written or seen.
  FalseNotRun,          ///< Answered "not run", but it ran.
  ReplacedPrimary,      ///< Acknowledged by a primary already replaced.
  WrongAnswer,          ///< The answer to another request.
  RevisionFell,         ///< A daemon returned to an older configuration.
  WorkAtLeaving,        ///< A leaving target got new work after the limit.
  CutByShutdown,        ///< A graceful shutdown cut a request.
  ConfigurationMissing, ///< Accepted, but not in force everywhere at the end.
  FalseRefusal,         ///< Reported as refused, but it came into force.
  NoProgress,           ///< All faults ended, but no write is acknowledged.
};

struct Violation {
  ViolationKind What = ViolationKind::Lost;
  std::string Detail;

  auto operator<=>(const Violation &) const = default;
};

/// A leaving target may get new work for this long.
inline constexpr std::chrono::milliseconds LeavingLimit{3'000};

std::string toString(ViolationKind it);
/// Writes may be impossible for this long after all faults ended.
inline constexpr std::chrono::milliseconds ProgressLimit{4'000};

/// \return all violations, in a fixed order.
std::vector<Violation> checkHistory(const History &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_HISTORY_H
