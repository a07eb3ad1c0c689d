/// \file
/// Settings of the daemon, from flags and environment variables.

#ifndef PERIDOTFALL_DAEMON_OPTIONS_H
#define PERIDOTFALL_DAEMON_OPTIONS_H

#include "http/tls.h"
#include "peridotfall/membership.h"
#include "peridotfall/result.h"
#include "peridotfall/session_token.h"

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace peridotfall {

/// Settings as strings and numbers, not yet validated.
struct DaemonSettings {
  std::string Vm;
  std::string Domain;
  std::string Region;
  std::string ListenCallers;
  std::string ListenInner;
  std::string Platform;
  std::string Peers;
  std::string TokenKeys;
  http::TlsFiles CallerTls;
  http::TlsFiles InnerTls;
  bool PlainText = false; ///< Allows plain text outside loopback.
  std::uint32_t Threads = 2;
  std::uint32_t ProbeMs = 150;
  std::string Collector; ///< Trace collector; empty: none.
  std::uint32_t TraceOneIn = 0;

  auto operator<=>(const DaemonSettings &) const = default;
};

/// Validated settings that the daemon starts with.
struct DaemonOptions {
  Member Self;
  std::string ListenCallers = "127.0.0.1:0";
  std::string ListenInner = "127.0.0.1:0";
  std::string Platform;
  /// Sources of the configuration until one is in force.
  std::vector<std::string> Peers;
  TokenKeys Keys;
  http::TlsFiles CallerTls; ///< Empty: plain text.
  http::TlsFiles InnerTls;  ///< Empty: plain text. Else mutual TLS.
  unsigned Threads = 2;
  std::chrono::milliseconds ProbeInterval{150};
  std::string Collector;        ///< Trace collector; empty: none.
  std::uint32_t TraceOneIn = 0; ///< Requests per sampled trace; 0: none.

  auto operator<=>(const DaemonOptions &) const = default;
};

/// \return the options, or all findings; a finding's Place is the flag's name.
Parsed<DaemonOptions> parseOptions(const DaemonSettings &settings);

/// TLS contexts of the configured files; null: plain text.
struct DaemonTls {
  http::TlsContext Callers;
  http::TlsContext InnerServer;
  http::TlsContext InnerClient;
};

/// Loads the TLS files. \return the contexts, or all findings.
Parsed<DaemonTls> loadTls(const DaemonOptions &options);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_OPTIONS_H
