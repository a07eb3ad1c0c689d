/// \file
/// The callers' view of a run, and a checker that knows nothing of the
/// program: it judges by what was asked, what was answered, and what the
/// surviving primary holds at the end.

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

/// What a caller wants done once; a request sent again under the same key
/// wants the same effect.
using EffectId = Handle<struct EffectTag>;
using SessionId = Handle<struct SessionTag>;

/// One change, as it stands in a log.
struct Change {
  EffectId Effect;
  SessionId By;
  RequestId Request;       ///< The caller's request that ran it.
  std::string Transaction; ///< Empty: a statement of its own.
  int Part = 0;            ///< Of its transaction; 0 for a statement.

  auto operator<=>(const Change &) const = default;
};

struct LogRecord {
  Position At;
  std::vector<Change> Changes; ///< Empty: a start-of-term record.
  std::string Key;
  StatementAnswer Stored; ///< Under the key.

  bool operator==(const LogRecord &) const = default;
};

enum class RequestKind : std::uint8_t { Write, Transaction, FreshRead };

/// What a caller was told at the end of one request.
struct CallerAnswer {
  TimePoint Ended;
  RequestId Id;
  Outcome Effect = Outcome::NotRun;
  AnswerCode Code = AnswerCode::Ok;
  Position At;
  EffectId Echo;           ///< Effect the answer speaks of.
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
  std::optional<CallerAnswer> Answer; ///< None: the caller gave up waiting.

  bool operator==(const CallerRequest &) const = default;
};

/// A record appended by a target that believed it led.
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

/// What an operator was told of a configuration.
struct Applied {
  std::string Id;
  std::uint64_t Revision = 0;
  Outcome Told = Outcome::Unknown;

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
  /// From here on all is healed; nothing: it never was.
  std::optional<TimePoint> CalmSince;
};

enum class Broken : std::uint8_t {
  Doubled,         ///< An effect stands twice in the surviving log.
  Lost,            ///< Acknowledged and not in the surviving log.
  Mixed,           ///< A record holds parts of two requests, or half of one.
  OwnWriteUnseen,  ///< A read missed what its session had written or seen.
  FalseNotRun,     ///< Said "not run", and it ran.
  ReplacedPrimary, ///< Acknowledged by a primary already replaced.
  WrongAnswer,     ///< An answer to somebody else's request.
  RevisionFell,    ///< A daemon went back to an older configuration.
  WorkAtLeaving,   ///< A leaving target got new work after the limit.
  CutByShutdown,   ///< A graceful shutdown cut a request.
  ConfigurationMissing, ///< Accepted, and not in force everywhere at the end.
  FalseRefusal,         ///< Told refused, and it came into force.
  NoProgress,           ///< All is healed, and no write is acknowledged.
};

struct Violation {
  Broken What = Broken::Lost;
  std::string Detail;

  auto operator<=>(const Violation &) const = default;
};

/// How long a leaving target may still get new work.
inline constexpr std::chrono::milliseconds LeavingLimit{3'000};

std::string toString(Broken it);
/// How long after all is healed writes may still be impossible.
inline constexpr std::chrono::milliseconds ProgressLimit{4'000};

/// \return all violations, in a fixed order.
std::vector<Violation> checkHistory(const History &it);

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_HISTORY_H
