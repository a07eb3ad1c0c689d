#include "daemon/options.h"

#include "http/server.h"

#include <algorithm>
#include <fmt/format.h>
#include <sstream>

namespace peridotfall {

namespace {

void checkName(const char *flag, const std::string &value, Findings &findings) {
  bool good = !value.empty() && value.size() <= 63 &&
              std::all_of(value.begin(), value.end(), [](unsigned char c) {
                return std::isalnum(c) != 0 || c == '-';
              });
  if (!good)
    findings.push_back(
        {flag, "1 to 63 letters, digits or hyphens", "'" + value + "'"});
}

void checkAddress(const char *flag, const std::string &value,
                  Findings &findings) {
  if (!http::parseEndpoint(value))
    findings.push_back(
        {flag, "an IP number and port, as 10.0.0.1:8080", "'" + value + "'"});
}

std::vector<std::string> splitList(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

void checkRange(const char *flag, std::uint32_t value, std::uint32_t least,
                std::uint32_t most, Findings &findings) {
  if (value < least || value > most)
    findings.push_back({flag,
                        fmt::format("a number from {} to {}", least, most),
                        std::to_string(value)});
}

} // namespace

Parsed<DaemonOptions> parseOptions(const DaemonSettings &settings) {
  constexpr std::uint32_t MostThreads = 256;
  constexpr std::uint32_t MostProbeMs = 10'000;
  Findings findings;
  checkName("--vm", settings.Vm, findings);
  checkName("--domain", settings.Domain, findings);
  checkName("--region", settings.Region, findings);
  checkAddress("--listen", settings.ListenCallers, findings);
  checkAddress("--listen_inner", settings.ListenInner, findings);
  checkAddress("--platform", settings.Platform, findings);
  for (const auto &it : splitList(settings.Peers))
    checkAddress("--peers", it, findings);
  checkRange("--threads", settings.Threads, 1, MostThreads, findings);
  checkRange("--probe_ms", settings.ProbeMs, 10, MostProbeMs, findings);
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
  out.Threads = settings.Threads;
  out.ProbeInterval = std::chrono::milliseconds(settings.ProbeMs);
  return out;
}

} // namespace peridotfall
