// peridotfalld: the entry daemon.

#include "daemon/daemon.h"
#include "run.h"
#include "telemetry/events.h"
#include "telemetry/log_writer.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>

DEFINE_string(vm, "", "name of this VM");
DEFINE_string(domain, "", "failure domain of this VM");
DEFINE_string(region, "", "region of this VM");
DEFINE_string(listen, "127.0.0.1:8080", "address for callers");
DEFINE_string(listen_inner, "127.0.0.1:8081", "address for other daemons");
DEFINE_string(platform, "", "address of the platform's object API");
DEFINE_string(peers, "",
              "inner addresses of some other daemons, ADDRESS,...; the "
              "configuration is fetched from them if the platform is down at "
              "the start");
DEFINE_string(token_keys, "",
              "keys of session tokens, ID:SECRET,...; the first one signs. "
              "Prefer PERIDOTFALL_TOKEN_KEYS: other users of the machine can "
              "read the command line");
DEFINE_string(tls_cert, "", "certificate presented to callers, PEM");
DEFINE_string(tls_key, "", "key of --tls_cert, PEM");
DEFINE_string(inner_cert, "", "certificate between daemons, PEM");
DEFINE_string(inner_key, "", "key of --inner_cert, PEM");
DEFINE_string(inner_ca, "",
              "authority that signed all daemons' certificates, PEM");
DEFINE_bool(plain_text, false,
            "listen without TLS on an address that is not loopback");
DEFINE_uint32(threads, 2, "event loop threads");
DEFINE_string(collector, "",
              "address of an OTLP collector with HTTP/2; empty: no traces are "
              "sent");
DEFINE_uint32(trace_one_in, 0,
              "trace one in this many of the requests without a traceparent; "
              "0: none");
DEFINE_uint32(probe_ms, 150, "milliseconds between probes of a target");
DEFINE_uint32(shutdown_ms, 10000,
              "maximum wait in milliseconds for requests in flight");
DEFINE_bool(on_platform, false,
            "run on the users' platform; the settings are then read from the "
            "file that the platform writes");
DEFINE_uint32(metrics_port, 0,
              "port of the metrics on the users' platform; 0: the second "
              "internal port");
DEFINE_string(log_level, "info", "debug, info, warning or error");

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitUnfinished = 3;

/// Sets flags that are not on the command line from the environment, such as
/// --listen_inner from PERIDOTFALL_LISTEN_INNER.
void readEnvironment(peridotfall::Findings &findings) {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const auto &it : flags) {
    if (!it.is_default || it.filename.find("main.cpp") == std::string::npos)
      continue;
    std::string name = "PERIDOTFALL_";
    for (unsigned char c : it.name)
      name += static_cast<char>(std::toupper(c));
    const char *value = std::getenv(name.c_str());
    if (value && gflags::SetCommandLineOption(it.name.c_str(), value).empty())
      findings.push_back({name, "a value of type " + it.type, value});
  }
}

int badSettings(const peridotfall::Findings &findings) {
  for (const auto &it : findings)
    peridotfall::telemetry::log(
        peridotfall::telemetry::Event::BadSetting,
        {peridotfall::telemetry::field("place", it.Place),
         peridotfall::telemetry::field("expected", it.Expected),
         peridotfall::telemetry::field("found", it.Found)});
  return ExitBadSettings;
}

peridotfall::DaemonSettings settings() {
  peridotfall::DaemonSettings it;
  it.Vm = FLAGS_vm;
  it.Domain = FLAGS_domain;
  it.Region = FLAGS_region;
  it.ListenCallers = FLAGS_listen;
  it.ListenInner = FLAGS_listen_inner;
  it.Platform = FLAGS_platform;
  it.Peers = FLAGS_peers;
  it.TokenKeys = FLAGS_token_keys;
  it.CallerTls = {FLAGS_tls_cert, FLAGS_tls_key, ""};
  it.InnerTls = {FLAGS_inner_cert, FLAGS_inner_key, FLAGS_inner_ca};
  it.PlainText = FLAGS_plain_text;
  it.Threads = FLAGS_threads;
  it.ProbeMs = FLAGS_probe_ms;
  it.Collector = FLAGS_collector;
  it.TraceOneIn = FLAGS_trace_one_in;
  return it;
}

} // namespace

namespace {

int run(int argc, char **argv) {
  gflags::SetUsageMessage("entry daemon of peridotfall; each flag can be set "
                          "as PERIDOTFALL_FLAG in the environment");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  peridotfall::Findings findings;
  readEnvironment(findings);
  auto level = peridotfall::telemetry::parseLevel(FLAGS_log_level);
  if (!level)
    findings.push_back(
        {"--log_level", "debug, info, warning or error", FLAGS_log_level});
  else
    peridotfall::telemetry::setLevel(*level);
  constexpr unsigned MaxPort = 65'535;
  if (FLAGS_metrics_port > MaxPort)
    findings.push_back({"metrics_port", "a port, 65535 at most",
                        std::to_string(FLAGS_metrics_port)});
  if (FLAGS_on_platform && findings.empty())
    return peridotfall::adapter::runNode(
        static_cast<std::uint16_t>(FLAGS_metrics_port));
  auto options = peridotfall::parseOptions(settings());
  if (!options)
    findings.insert(findings.end(), options.error().begin(),
                    options.error().end());
  if (!findings.empty())
    return badSettings(findings);
  auto tls = peridotfall::loadTls(options.value());
  if (!tls)
    return badSettings(tls.error());

  asio::io_context main;
  asio::signal_set signals(main, SIGINT, SIGTERM);
  peridotfall::Daemon daemon(options.value(), tls.value());
  findings = daemon.start();
  if (!findings.empty())
    return badSettings(findings);
  std::cout << "callers on port " << daemon.callerPort() << ", inner on port "
            << daemon.innerPort() << std::endl;
  signals.async_wait([](std::error_code, int) {});
  main.run();
  return daemon.shutdown(std::chrono::milliseconds(FLAGS_shutdown_ms))
             ? 0
             : ExitUnfinished;
}

} // namespace

int main(int argc, char **argv) {
  int status = run(argc, argv);
  peridotfall::telemetry::closeLog();
  return status;
}
