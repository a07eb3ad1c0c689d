#include "daemon/options.h"

#include "http/server.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace peridotfall {

namespace {

void checkName(const char *flag, const std::string &value, Findings &findings) {
  bool valid = !value.empty() && value.size() <= 63 &&
               std::all_of(value.begin(), value.end(), [](unsigned char c) {
                 return std::isalnum(c) != 0 || c == '-';
               });
  if (!valid)
    findings.push_back(
        {flag, "1 to 63 letters, digits or hyphens", "'" + value + "'"});
}

void checkAddress(const char *flag, const std::string &value,
                  Findings &findings) {
  if (!http::parseEndpoint(value))
    findings.push_back({flag, "an IP address and port, such as 10.0.0.1:8080",
                        "'" + value + "'"});
}

std::vector<std::string> splitList(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

void checkRange(const char *flag, std::uint32_t value, std::uint32_t min,
                std::uint32_t max, Findings &findings) {
  if (value < min || value > max)
    findings.push_back({flag, fmt::format("a number from {} to {}", min, max),
                        std::to_string(value)});
}

/// A certificate requires its key, and between daemons also the authority that
/// signed the other daemons' certificates.
void checkTls(const std::string &prefix, const http::TlsFiles &files,
              bool mutual, Findings &findings) {
  if (files.empty() && files.Authority.empty())
    return;
  if (files.Certificate.empty())
    findings.push_back({prefix + "_cert", "a file, since a key is set", ""});
  if (files.Key.empty())
    findings.push_back(
        {prefix + "_key", "a file, since a certificate is set", ""});
  if (mutual && files.Authority.empty())
    findings.push_back(
        {prefix + "_ca", "the authority of the daemons' certificates", ""});
}

/// Without TLS, tokens and rows can be read and changed on the network. Plain
/// text outside loopback therefore has to be enabled explicitly.
void checkPlainText(const char *flag, const std::string &address,
                    const http::TlsFiles &files, bool plainText,
                    Findings &findings) {
  auto endpoint = http::parseEndpoint(address);
  if (endpoint && !endpoint->address().is_loopback() && files.empty() &&
      !plainText)
    findings.push_back({flag, "TLS files, a loopback address or --plain_text",
                        "'" + address + "' without any"});
}

} // namespace

Parsed<DaemonOptions> parseOptions(const DaemonSettings &settings) {
  constexpr std::uint32_t MaxThreads = 256;
  constexpr std::uint32_t MaxProbeMs = 10'000;
  Findings findings;
  checkName("--vm", settings.Vm, findings);
  checkName("--domain", settings.Domain, findings);
  checkName("--region", settings.Region, findings);
  checkAddress("--listen", settings.ListenCallers, findings);
  checkAddress("--listen_inner", settings.ListenInner, findings);
  checkAddress("--platform", settings.Platform, findings);
  for (const auto &it : splitList(settings.Peers))
    checkAddress("--peers", it, findings);
  checkRange("--threads", settings.Threads, 1, MaxThreads, findings);
  if (!settings.Collector.empty())
    checkAddress("--collector", settings.Collector, findings);
  checkRange("--probe_ms", settings.ProbeMs, 10, MaxProbeMs, findings);
  checkTls("--tls", settings.CallerTls, false, findings);
  checkTls("--inner", settings.InnerTls, true, findings);
  checkPlainText("--listen", settings.ListenCallers, settings.CallerTls,
                 settings.PlainText, findings);
  checkPlainText("--listen_inner", settings.ListenInner, settings.InnerTls,
                 settings.PlainText, findings);
  auto keys = parseTokenKeys(settings.TokenKeys);
  if (!keys)
    for (auto it : keys.error()) {
      it.Place = "--token_keys, " + it.Place;
      findings.push_back(std::move(it));
    }
  if (!findings.empty())
    return findings;
  DaemonOptions out;
  out.Self.Vm = VmName(settings.Vm);
  out.Self.Domain = DomainName(settings.Domain);
  out.Self.Region = RegionName(settings.Region);
  out.Self.InnerAddress = settings.ListenInner;
  out.ListenCallers = settings.ListenCallers;
  out.ListenInner = settings.ListenInner;
  out.Platform = settings.Platform;
  out.Peers = splitList(settings.Peers);
  out.Keys = keys.value();
  out.CallerTls = settings.CallerTls;
  out.InnerTls = settings.InnerTls;
  out.Threads = settings.Threads;
  out.Collector = settings.Collector;
  out.TraceOneIn = settings.TraceOneIn;
  out.ProbeInterval = std::chrono::milliseconds(settings.ProbeMs);
  return out;
}

Parsed<DaemonTls> loadTls(const DaemonOptions &options) {
  DaemonTls out;
  Findings findings;
  auto store = [&](const char *flag, http::TlsContext &context,
                   const Result<http::TlsContext> &loaded) {
    if (loaded)
      context = loaded.value();
    else
      findings.push_back({flag, "matching PEM files", loaded.error().Message});
  };
  if (!options.CallerTls.empty())
    store("--tls_cert", out.Callers, http::makeServerTls(options.CallerTls));
  if (!options.InnerTls.empty()) {
    store("--inner_cert", out.InnerServer,
          http::makeServerTls(options.InnerTls));
    store("--inner_cert", out.InnerClient,
          http::makeClientTls(options.InnerTls));
  }
  if (!findings.empty())
    return findings;
  return out;
}

} // namespace peridotfall
