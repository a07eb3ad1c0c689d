/// \file
/// Commands of the tool. Each takes its arguments and returns the exit code.

#ifndef PERIDOTFALL_TOOL_COMMANDS_H
#define PERIDOTFALL_TOOL_COMMANDS_H

#include "http/loops.h"
#include "peridotfall/clock.h"
#include "peridotfall/result.h"
#include "platform/platform.h"

#include <chrono>
#include <string>
#include <vector>

namespace peridotfall::tool {

/// Exit codes, the same for all commands.
enum ExitCode : int {
  Success = 0,
  Failed = 1,      ///< The request was rejected, or the statement failed.
  BadUsage = 2,    ///< Wrong arguments, or an unreadable or invalid file.
  Conflict = 3,    ///< Another operator changed the configuration first.
  Unreachable = 4, ///< No connection; nothing was changed.
  Unknown = 5,     ///< The outcome is unknown.
};

struct ToolOptions {
  std::string Platform; ///< Address of the object API.
  std::string Daemon;   ///< Address of an entry daemon, for `sql`.
  std::string Inner;    ///< Inner address of a daemon, for `status`.
  bool Json = false;    ///< Prints `status` as JSON.
  std::string Operator; ///< Recorded as the author of a configuration.
  std::string Kind;     ///< Request kind of `sql`.
  std::string Session;  ///< File that stores the session token.
  std::string Key;      ///< Idempotency key.
  std::chrono::milliseconds Deadline{5'000};
};

using Arguments = std::vector<std::string>;

/// Client of the platform's object API that runs its own event loop.
class PlatformClient {
public:
  explicit PlatformClient(const std::string &address);
  const platform::Api &api() const { return Api; }

private:
  http::Loops Loops{1};
  SystemClock Time;
  platform::Api Api;
};

/// Prints \p error on standard error. \return the matching exit code.
int reportError(const Error &error);

/// questionnaire check|generate|apply FILE, questionnaire show.
int runQuestionnaire(const ToolOptions &options, const Arguments &args);
/// sql DATABASE STATEMENT [PARAMETER...].
int runSql(const ToolOptions &options, const Arguments &args);
/// status.
int runStatus(const ToolOptions &options, const Arguments &args);
/// drain VM, undrain VM.
int runDrain(const ToolOptions &options, const Arguments &args, bool drained);
/// explain PFnnnn, or explain REQUEST FILE...
int runExplain(const Arguments &args);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_COMMANDS_H
