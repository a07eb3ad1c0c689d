// peridotfall: command-line tool for operators.

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
              "author recorded in a configuration (default: the user)");
DEFINE_string(kind, "", "sql: request kind, as named in the questionnaire");
DEFINE_string(session, "", "sql: file that stores the session token");
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
    "  questionnaire apply FILE      store it; takes effect within seconds\n"
    "  questionnaire show            print the current answers\n"
    "  status                        owners, terms, lag, revisions\n"
    "  drain VM, undrain VM          take a VM out of use, or back\n"
    "  sql DATABASE STATEMENT [PARAMETER...]\n"
    "  explain PFnnnn                what an event means\n"
    "  explain REQUEST LOG...        a request's lines in all daemons' logs\n"
    "\n"
    "flags\n"
    "  --platform=ADDRESS     the platform's object API "
    "(PERIDOTFALL_PLATFORM)\n"
    "  --daemon=ADDRESS       an entry daemon (PERIDOTFALL_DAEMON)\n"
    "  --inner=ADDRESS        inner address of a daemon (PERIDOTFALL_INNER)\n"
    "  --operator_name=NAME   author of a change (default: the user)\n"
    "  --json                 status as JSON\n"
    "  --kind, --session, --key, --deadline_ms   of sql\n"
    "  --help, --version\n"
    "\n"
    "exit codes\n"
    "  0 done   1 rejected or failed   2 wrong arguments or files\n"
    "  3 another operator was first   4 not reachable, nothing done\n"
    "  5 outcome unknown\n";

bool hasFlag(int argc, char **argv, const std::string &flag) {
  for (int n = 1; n < argc && std::string(argv[n]) != "--"; ++n)
    if (argv[n] == "--" + flag || argv[n] == "-" + flag)
      return true;
  return false;
}

std::string flagOrEnvironment(const std::string &flag, const char *name,
                              const std::string &fallback) {
  if (!flag.empty() && flag != fallback)
    return flag;
  const char *it = std::getenv(name);
  return it ? it : fallback;
}

ToolOptions readOptions() {
  ToolOptions it;
  it.Platform = flagOrEnvironment(FLAGS_platform, "PERIDOTFALL_PLATFORM", "");
  it.Daemon =
      flagOrEnvironment(FLAGS_daemon, "PERIDOTFALL_DAEMON", "127.0.0.1:8080");
  it.Inner =
      flagOrEnvironment(FLAGS_inner, "PERIDOTFALL_INNER", "127.0.0.1:8081");
  it.Json = FLAGS_json;
  it.Operator = flagOrEnvironment(FLAGS_operator_name, "USER", "unnamed");
  it.Kind = FLAGS_kind;
  it.Session = FLAGS_session;
  it.Key = FLAGS_key;
  it.Deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
  return it;
}

} // namespace

int main(int argc, char **argv) {
  if (hasFlag(argc, argv, "help")) {
    std::cout << Usage;
    return Success;
  }
  if (hasFlag(argc, argv, "version")) {
    std::cout << "peridotfall " << Version << "\n";
    return Success;
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Arguments args(argv + 1, argv + argc);
  std::string command = args.empty() ? "" : args.front();
  if (!args.empty())
    args.erase(args.begin());
  if (command == "questionnaire")
    return runQuestionnaire(readOptions(), args);
  if (command == "status")
    return runStatus(readOptions(), args);
  if (command == "drain" || command == "undrain")
    return runDrain(readOptions(), args, command == "drain");
  if (command == "sql")
    return runSql(readOptions(), args);
  if (command == "explain")
    return runExplain(args);
  std::cerr << Usage;
  return BadUsage;
}
