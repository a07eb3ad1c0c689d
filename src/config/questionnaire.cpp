#include "peridotfall/questionnaire.h"

#include "base/document.h"
#include "base/encoding.h"
#include "config/target_reader.h"

#include "peridotfall/limits.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace peridotfall {

namespace {

constexpr std::uint64_t MaxDurationMs = 86'400'000;
constexpr std::uint64_t MaxRetentionHours = 8'760;
constexpr std::uint64_t DefaultKeyHours = 24;
constexpr std::uint64_t DefaultConfirmMs = 1'000;
constexpr std::size_t IdBytes = 8;
constexpr std::size_t TargetsPerGroup = 3;
/// The platform's limit for a stored value is one megabyte.
constexpr std::size_t MaxConfigurationBytes = 1'000'000;

std::string elementPlace(const std::string &list, std::size_t n) {
  return fmt::format("{}/{}", list, n);
}

KindConfig readRequest(const Json &json, const std::string &place,
                       Findings &findings) {
  ObjectReader it(json, place, findings);
  KindConfig kind;
  kind.Name = KindName(it.text("name"));
  auto effect = it.text("effect");
  auto age = it.numberOr("mayBeOldMs", 0, MaxDurationMs, 0);
  if (effect == "changes") {
    kind.Mode = Access::Write;
    // Without an answer the safe values apply.
    kind.Repeatable = it.flagOr("mayRepeat", false);
    kind.OfRecord = it.flagOr("ofRecord", true);
    if (age != 0)
      it.report("mayBeOldMs", "nothing for a request that changes data",
                std::to_string(age));
  } else {
    if (effect != "reads" && !effect.empty())
      it.report("effect", "changes or reads", effect);
    kind.Mode = age == 0 ? Access::FreshRead : Access::StaleRead;
    kind.Repeatable = true;
    kind.MaxAge = std::chrono::milliseconds(age);
    it.flagOr("mayRepeat", true);
    kind.OfRecord = it.flagOr("ofRecord", false);
  }
  kind.Deadline = std::chrono::milliseconds(
      it.numberOr("deadlineMs", 1,
                  static_cast<std::uint64_t>(limits::MaxDeadline.count()), 0));
  it.finish();
  return kind;
}

DatabaseConfig readDatabase(const Json &json, const std::string &place,
                            Findings &findings) {
  ObjectReader it(json, place, findings);
  DatabaseConfig database;
  database.Name = DatabaseName(it.text("name"));
  std::size_t n = 0;
  for (const auto &target : it.list("targets"))
    database.Targets.push_back(
        readTarget(target, elementPlace(it.placeOf("targets"), n++),
                   "failureDomain", findings));
  n = 0;
  for (const auto &request : it.list("requests"))
    database.Kinds.push_back(readRequest(
        request, elementPlace(it.placeOf("requests"), n++), findings));
  database.ConfirmLimit = std::chrono::milliseconds(
      it.numberOr("confirmWithinMs", 1, MaxDurationMs, DefaultConfirmMs));
  database.KeyRetention = std::chrono::hours(
      it.numberOr("keepKeysHours", 1, MaxRetentionHours, DefaultKeyHours));
  it.finish();
  return database;
}

/// \return whether the text is an IP address and a port.
bool isAddress(const std::string &text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return false;
  auto host = text.substr(0, colon);
  std::uint16_t port = 0;
  const auto *end = text.data() + text.size();
  auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || stop != end || port == 0)
    return false;
  in6_addr bytes;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                     &bytes) == 1;
  return inet_pton(AF_INET, host.c_str(), &bytes) == 1;
}

/// A database's name is a segment of the callers' paths and of the platform's
/// keys, where other databases' names must not begin.
bool isPathSegment(const std::string &name) {
  return std::none_of(name.begin(), name.end(), [](unsigned char c) {
    constexpr unsigned char Delete = 0x7f;
    return c <= ' ' || c == '/' || c == '?' || c == '#' || c == Delete;
  });
}

void checkTargets(const DatabaseConfig &database, const std::string &place,
                  Findings &findings) {
  if (database.Targets.size() != TargetsPerGroup)
    findings.push_back({place, "three targets: two of them are a majority",
                        std::to_string(database.Targets.size())});
  std::map<DomainName, TargetName> targetOfDomain;
  std::size_t n = 0;
  for (const auto &it : database.Targets) {
    auto where = elementPlace(place, n++);
    if (!it.Address.empty() && !isAddress(it.Address))
      findings.push_back({where + "/address",
                          "an IP address and port, such as 10.0.0.1:7411",
                          it.Address});
    if (it.Domain.empty())
      continue;
    auto [found, isNew] = targetOfDomain.emplace(it.Domain, it.Name);
    if (!isNew)
      findings.push_back({where + "/failureDomain",
                          "another failure domain than that of " +
                              found->second.Value +
                              ": the loss of one must leave a majority",
                          it.Domain.Value});
  }
}

/// Checks the rules that apply to the questionnaire but not to every
/// configuration.
void checkAnswers(const Configuration &it, Findings &findings) {
  if (it.Domains.empty())
    findings.push_back(
        {"/failureDomains", "at least one, with its region", "none"});
  if (it.Databases.empty())
    findings.push_back({"/databases", "at least one", "none"});
  for (std::size_t n = 0; n < it.Databases.size(); ++n) {
    auto place = elementPlace("/databases", n);
    const auto &name = it.Databases[n].Name.Value;
    if (!isPathSegment(name))
      findings.push_back({place + "/name",
                          "a name without blanks, control characters, /, ? "
                          "and #",
                          name});
    checkTargets(it.Databases[n], place + "/targets", findings);
    if (it.Databases[n].Kinds.empty())
      findings.push_back(
          {place + "/requests", "at least one kind of request", "none"});
  }
}

/// Translates a place in the configuration to one in the questionnaire.
std::string toQuestionnairePlace(std::string place) {
  static const std::pair<std::string, std::string> Renamed[] = {
      {"/kinds/", "/requests/"},
      {"/domains/", "/failureDomains/"},
      {"/domain", "/failureDomain"}};
  for (const auto &[from, to] : Renamed) {
    auto n = place.find(from);
    bool whole = n != std::string::npos &&
                 (from.back() == '/' || n + from.size() == place.size());
    if (whole)
      place.replace(n, from.size(), to);
  }
  return place;
}

void checkRules(const Configuration &config, Findings &findings) {
  checkAnswers(config, findings);
  for (auto it : checkConfiguration(config)) {
    // Missing fields have been reported already.
    if (it.Found.empty())
      continue;
    it.Place = toQuestionnairePlace(it.Place);
    findings.push_back(std::move(it));
  }
}

} // namespace

Parsed<Configuration> generateConfiguration(const std::string &json) {
  auto parsed = parseJson(json);
  if (!parsed)
    return parsed.error();
  Findings findings;
  ObjectReader it(parsed.value(), "", findings);
  Configuration config;
  it.text("team");
  std::size_t n = 0;
  for (const auto &domain : it.list("failureDomains")) {
    ObjectReader reader(domain, elementPlace("/failureDomains", n++), findings);
    config.Domains.push_back(
        {DomainName(reader.text("name")), RegionName(reader.text("region"))});
    reader.finish();
  }
  n = 0;
  for (const auto &database : it.list("databases"))
    config.Databases.push_back(
        readDatabase(database, elementPlace("/databases", n++), findings));
  it.finish();
  checkRules(config, findings);
  auto bytes = writeConfiguration(config).size();
  if (bytes > MaxConfigurationBytes)
    findings.push_back({"/databases", "a configuration of at most a megabyte",
                        fmt::format("{} bytes, {} databases", bytes,
                                    config.Databases.size())});
  if (!findings.empty())
    return findings;
  config.Id = randomHex(IdBytes);
  return config;
}

} // namespace peridotfall
