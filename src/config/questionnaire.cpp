#include "peridotfall/questionnaire.h"

#include "base/document.h"
#include "base/encoding.h"

#include <fmt/format.h>

namespace peridotfall {

namespace {

constexpr std::uint64_t MostMilliseconds = 86'400'000;
constexpr std::uint64_t MostHours = 8'760;
constexpr std::uint64_t DefaultKeyHours = 24;
constexpr std::uint64_t DefaultConfirmMs = 1'000;
constexpr std::size_t IdBytes = 8;

std::string at(const std::string &list, std::size_t n) {
  return fmt::format("{}/{}", list, n);
}

KindConfig readRequest(const Json &json, const std::string &place,
                       Findings &findings) {
  ObjectReader it(json, place, findings);
  KindConfig kind;
  kind.Name = KindName(it.text("name"));
  auto effect = it.text("effect");
  auto age = it.numberOr("mayBeOldMs", 0, MostMilliseconds, 0);
  if (effect == "changes") {
    kind.Mode = Access::Write;
    // A team that does not say otherwise gets the safe answer.
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
  it.finish();
  return kind;
}

TargetConfig readTarget(const Json &json, const std::string &place,
                        Findings &findings) {
  constexpr std::uint64_t MostSlots = 1'000;
  constexpr std::uint64_t MostConnections = 10'000;
  ObjectReader it(json, place, findings);
  TargetConfig target;
  target.Name = TargetName(it.text("name"));
  target.Domain = DomainName(it.text("failureDomain"));
  target.Address = it.text("address");
  target.Slots = static_cast<std::uint32_t>(it.number("slots", 1, MostSlots));
  target.Connections =
      static_cast<std::uint32_t>(it.number("connections", 2, MostConnections));
  it.finish();
  return target;
}

DatabaseConfig readDatabase(const Json &json, const std::string &place,
                            Findings &findings) {
  ObjectReader it(json, place, findings);
  DatabaseConfig database;
  database.Name = DatabaseName(it.text("name"));
  std::size_t n = 0;
  for (const auto &target : it.list("targets"))
    database.Targets.push_back(
        readTarget(target, at(it.placeOf("targets"), n++), findings));
  n = 0;
  for (const auto &request : it.list("requests"))
    database.Kinds.push_back(
        readRequest(request, at(it.placeOf("requests"), n++), findings));
  database.ConfirmLimit = std::chrono::milliseconds(
      it.numberOr("confirmWithinMs", 1, MostMilliseconds, DefaultConfirmMs));
  database.KeyRetention = std::chrono::hours(
      it.numberOr("keepKeysHours", 1, MostHours, DefaultKeyHours));
  it.finish();
  return database;
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
    ObjectReader reader(domain, at("/failureDomains", n++), findings);
    config.Domains.push_back(
        {DomainName(reader.text("name")), RegionName(reader.text("region"))});
    reader.finish();
  }
  n = 0;
  for (const auto &database : it.list("databases"))
    config.Databases.push_back(
        readDatabase(database, at("/databases", n++), findings));
  it.finish();
  if (!findings.empty())
    return findings;
  config.Id = randomHex(IdBytes);
  // The rules that hold between fields are those of the configuration.
  auto checked = parseConfiguration(writeConfiguration(config));
  if (!checked)
    return checked.error();
  return config;
}

} // namespace peridotfall
