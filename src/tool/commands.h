/// \file
/// Commands of the tool. Each takes its words and returns the exit code.

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
  Failed = 1,      ///< The other side said no, or the statement failed.
  BadUsage = 2,    ///< The command's words or files are wrong.
  Conflict = 3,    ///< Another operator was first.
  Unreachable = 4, ///< Nothing was done: no connection.
  Unknown = 5,     ///< The outcome is not known.
};

struct ToolOptions {
  std::string Platform; ///< Address of the object API.
  std::string Daemon;   ///< Address of an entry daemon, for callers.
  std::string Inner;    ///< Inner address of a daemon, for `status`.
  bool Json = false;    ///< `status` as JSON.
  std::string Operator; ///< Who applies a configuration.
  std::string Kind;     ///< Kind of request of `sql`.
  std::string Session;  ///< Session token, or file to keep it in.
  std::string Key;      ///< Idempotency key.
  std::chrono::milliseconds Deadline{5'000};
};

using Words = std::vector<std::string>;

/// The platform as the tool uses it, with a loop of its own.
class PlatformClient {
public:
  explicit PlatformClient(const std::string &address);
  const platform::Api &api() const { return Api; }

private:
  http::Loops Loops{1};
  SystemClock Time;
  platform::Api Api;
};

/// Says on standard error what went wrong. \return the exit code for it.
int report(const Error &error);

/// questionnaire check|generate|apply FILE, questionnaire show
int runQuestionnaire(const ToolOptions &options, const Words &words);
/// sql DATABASE STATEMENT [PARAMETER...]
int runSql(const ToolOptions &options, const Words &words);
/// status
int runStatus(const ToolOptions &options, const Words &words);
/// drain VM, undrain VM
int runDrain(const ToolOptions &options, const Words &words, bool drained);
/// explain PFnnnn, or explain REQUEST FILE...
int runExplain(const Words &words);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_COMMANDS_H
