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
DEFINE_string(inner, "127.0.0.1:8081",
              "inner address of a daemon, for status (PERIDOTFALL_INNER)");
DEFINE_bool(json, false, "status: as JSON");
DEFINE_string(operator_name, "",
              "who applies a configuration (default: the user)");
DEFINE_string(kind, "", "sql: kind of request, as the questionnaire names it");
DEFINE_string(session, "", "sql: file that keeps the session's token");
DEFINE_string(key, "", "sql: idempotency key");
DEFINE_uint32(deadline_ms, 5000, "sql: deadline of the request");

namespace {

using namespace peridotfall::tool;

constexpr auto Version = "0.1.0";
constexpr auto Usage =
    "usage: peridotfall [FLAGS] COMMAND ...\n"
    "\n"
    "commands\n"
    "  questionnaire check FILE      report all findings\n"
    "  questionnaire generate FILE   print the configuration\n"
    "  questionnaire apply FILE      store it; in force within seconds\n"
    "  questionnaire show            print the answers in force\n"
    "  status                        owners, terms, lag, revisions\n"
    "  drain VM, undrain VM          take out of use, or back\n"
    "  sql DATABASE STATEMENT [PARAMETER...]\n"
    "  explain PFnnnn                what an event means\n"
    "  explain REQUEST LOG...        a request over all daemons' logs\n"
    "\n"
    "flags\n"
    "  --platform=ADDRESS     the platform's object API "
    "(PERIDOTFALL_PLATFORM)\n"
    "  --daemon=ADDRESS       an entry daemon (PERIDOTFALL_DAEMON)\n"
    "  --inner=ADDRESS        inner address of a daemon (PERIDOTFALL_INNER)\n"
    "  --operator_name=NAME   who makes a change (default: the user)\n"
    "  --json                 status as JSON\n"
    "  --kind, --session, --key, --deadline_ms   of sql\n"
    "  --help, --version\n"
    "\n"
    "exit codes\n"
    "  0 done   1 refused or failed   2 wrong words or files\n"
    "  3 another operator was first   4 not reachable, nothing done\n"
    "  5 outcome unknown\n";

bool asks(int argc, char **argv, const std::string &flag) {
  for (int n = 1; n < argc && std::string(argv[n]) != "--"; ++n)
    if (argv[n] == "--" + flag || argv[n] == "-" + flag)
      return true;
  return false;
}

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
  it.Inner = orEnvironment(FLAGS_inner, "PERIDOTFALL_INNER", "127.0.0.1:8081");
  it.Json = FLAGS_json;
  it.Operator = orEnvironment(FLAGS_operator_name, "USER", "unnamed");
  it.Kind = FLAGS_kind;
  it.Session = FLAGS_session;
  it.Key = FLAGS_key;
  it.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  return it;
}

} // namespace

int main(int argc, char **argv) {
  if (asks(argc, argv, "help")) {
    std::cout << Usage;
    return Success;
  }
  if (asks(argc, argv, "version")) {
    std::cout << "peridotfall " << Version << "\n";
    return Success;
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Words words(argv + 1, argv + argc);
  std::string command = words.empty() ? "" : words.front();
  if (!words.empty())
    words.erase(words.begin());
  if (command == "questionnaire")
    return runQuestionnaire(options(), words);
  if (command == "status")
    return runStatus(options(), words);
  if (command == "drain" || command == "undrain")
    return runDrain(options(), words, command == "drain");
  if (command == "sql")
    return runSql(options(), words);
  if (command == "explain")
    return runExplain(words);
  std::cerr << Usage;
  return BadUsage;
}
