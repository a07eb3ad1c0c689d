// peridotfall: the operators' command-line tool.

#include "tool/commands.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(platform, "",
              "address of the platform's object API "
              "(PERIDOTFALL_PLATFORM)");
DEFINE_string(daemon, "127.0.0.1:8080",
              "address of an entry daemon "
              "(PERIDOTFALL_DAEMON)");
DEFINE_string(operator_name, "",
              "who applies a configuration (default: the user)");
DEFINE_string(kind, "", "sql: kind of request, as the questionnaire names it");
DEFINE_string(session, "", "sql: file that keeps the session's token");
DEFINE_string(key, "", "sql: idempotency key");
DEFINE_uint32(deadline_ms, 5000, "sql: deadline of the request");

namespace {

using namespace peridotfall::tool;

constexpr auto Usage =
    "usage: peridotfall [FLAGS] COMMAND ...\n"
    "  questionnaire check|generate|apply FILE\n"
    "  sql DATABASE STATEMENT [PARAMETER...]\n"
    "  explain PFnnnn\n"
    "exit codes: 0 done, 1 refused or failed, 2 wrong words or files,\n"
    "  3 another operator was first, 4 not reachable (nothing done),\n"
    "  5 outcome unknown";

std::string orEnvironment(const std::string &flag, const char *name,
                          const std::string &fallback) {
  if (!flag.empty() && flag != fallback)
    return flag;
  const char *it = std::getenv(name);
  return it ? it : fallback;
}

ToolOptions options() {
  ToolOptions it;
  it.Platform = orEnvironment(FLAGS_platform, "PERIDOTFALL_PLATFORM", "");
  it.Daemon =
      orEnvironment(FLAGS_daemon, "PERIDOTFALL_DAEMON", "127.0.0.1:8080");
  it.Operator = orEnvironment(FLAGS_operator_name, "USER", "unnamed");
  it.Kind = FLAGS_kind;
  it.Session = FLAGS_session;
  it.Key = FLAGS_key;
  it.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  return it;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage(Usage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Words words(argv + 1, argv + argc);
  std::string command = words.empty() ? "" : words.front();
  if (!words.empty())
    words.erase(words.begin());
  if (command == "questionnaire")
    return runQuestionnaire(options(), words);
  if (command == "sql")
    return runSql(options(), words);
  if (command == "explain")
    return runExplain(words);
  std::cerr << Usage << "\n";
  return BadUsage;
}
