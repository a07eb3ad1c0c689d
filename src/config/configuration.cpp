#include "peridotfall/configuration.h"

#include "base/document.h"
#include "config/target_reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace peridotfall {

namespace {

constexpr std::uint64_t MaxDurationMs = 86'400'000;
constexpr std::uint64_t MaxRetentionSeconds = 31'536'000;
constexpr std::size_t TargetsPerGroup = 3;

std::string elementPlace(const std::string &list, std::size_t n) {
  return fmt::format("{}/{}", list, n);
}

FailureDomain readDomain(const Json &json, const std::string &place,
                         Findings &findings) {
  ObjectReader it(json, place, findings);
  FailureDomain domain{DomainName(it.text("name")),
                       RegionName(it.text("region"))};
  it.finish();
  return domain;
}

Access readAccess(ObjectReader &it) {
  auto text = it.text("access");
  for (auto mode : {Access::Write, Access::FreshRead, Access::StaleRead})
    if (text == toString(mode))
      return mode;
  if (!text.empty())
    it.report("access", "write, fresh-read or stale-read", text);
  return Access::Write;
}

KindConfig readKind(const Json &json, const std::string &place,
                    Findings &findings) {
  ObjectReader it(json, place, findings);
  KindConfig kind;
  kind.Name = KindName(it.text("name"));
  kind.Mode = readAccess(it);
  kind.Repeatable = it.flagOr("repeatable", false);
  kind.OfRecord = it.flagOr("ofRecord", false);
  kind.MaxAge =
      std::chrono::milliseconds(it.numberOr("maxAgeMs", 0, MaxDurationMs, 0));
  kind.Deadline =
      std::chrono::milliseconds(it.numberOr("deadlineMs", 0, MaxDurationMs, 0));
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
    database.Targets.push_back(readTarget(
        target, elementPlace(it.placeOf("targets"), n++), "domain", findings));
  n = 0;
  for (const auto &kind : it.list("kinds"))
    database.Kinds.push_back(
        readKind(kind, elementPlace(it.placeOf("kinds"), n++), findings));
  database.ConfirmLimit = std::chrono::milliseconds(
      it.numberOr("confirmLimitMs", 1, MaxDurationMs,
                  static_cast<std::uint64_t>(database.ConfirmLimit.count())));
  database.KeyRetention = std::chrono::seconds(
      it.numberOr("keyRetentionS", 1, MaxRetentionSeconds,
                  static_cast<std::uint64_t>(database.KeyRetention.count())));
  if (database.Targets.size() != TargetsPerGroup)
    it.report("targets", "three targets: two of them are a majority",
              std::to_string(database.Targets.size()));
  it.finish();
  return database;
}

void checkDatabase(const DatabaseConfig &database, const std::string &place,
                   const std::set<DomainName> &domains,
                   std::set<TargetName> &targets,
                   std::set<std::string> &addresses, Findings &findings) {
  std::size_t n = 0;
  for (const auto &it : database.Targets) {
    auto where = elementPlace(place + "/targets", n++);
    if (!it.Domain.empty() && domains.count(it.Domain) == 0)
      findings.push_back(
          {where + "/domain", "a failure domain listed", it.Domain.Value});
    if (!targets.insert(it.Name).second)
      findings.push_back({where + "/name", "a name used once", it.Name.Value});
    if (!addresses.insert(it.Address).second)
      findings.push_back(
          {where + "/address", "an address used once", it.Address});
  }
  std::set<KindName> kinds;
  n = 0;
  for (const auto &it : database.Kinds) {
    auto where = elementPlace(place + "/kinds", n++);
    if (!kinds.insert(it.Name).second)
      findings.push_back({where + "/name", "a name used once", it.Name.Value});
  }
}

void checkDomains(const Configuration &it, std::set<DomainName> &domains,
                  Findings &findings) {
  for (std::size_t n = 0; n < it.Domains.size(); ++n)
    if (!domains.insert(it.Domains[n].Name).second)
      findings.push_back({elementPlace("/domains", n) + "/name",
                          "a name used once", it.Domains[n].Name.Value});
}

} // namespace

Findings checkConfiguration(const Configuration &it) {
  Findings findings;
  std::set<DomainName> domains;
  checkDomains(it, domains, findings);
  std::set<DatabaseName> names;
  std::set<TargetName> targets;
  std::set<std::string> addresses;
  for (std::size_t n = 0; n < it.Databases.size(); ++n) {
    auto where = elementPlace("/databases", n);
    if (!names.insert(it.Databases[n].Name).second)
      findings.push_back(
          {where + "/name", "a name used once", it.Databases[n].Name.Value});
    checkDatabase(it.Databases[n], where, domains, targets, addresses,
                  findings);
  }
  return findings;
}

namespace {

Json writeDatabase(const DatabaseConfig &it) {
  Json targets = Json::array();
  for (const auto &target : it.Targets)
    targets.push_back({{"name", target.Name.Value},
                       {"domain", target.Domain.Value},
                       {"address", target.Address},
                       {"slots", target.Slots},
                       {"connections", target.Connections}});
  Json kinds = Json::array();
  for (const auto &kind : it.Kinds)
    kinds.push_back({{"name", kind.Name.Value},
                     {"access", toString(kind.Mode)},
                     {"repeatable", kind.Repeatable},
                     {"ofRecord", kind.OfRecord},
                     {"maxAgeMs", kind.MaxAge.count()},
                     {"deadlineMs", kind.Deadline.count()}});
  return {{"name", it.Name.Value},
          {"targets", targets},
          {"kinds", kinds},
          {"confirmLimitMs", it.ConfirmLimit.count()},
          {"keyRetentionS", it.KeyRetention.count()}};
}

template <class List, class Key>
auto findByName(const List &list, const Key &name) -> decltype(&list[0]) {
  auto it = std::find_if(list.begin(), list.end(),
                         [&](const auto &n) { return n.Name == name; });
  return it == list.end() ? nullptr : &*it;
}

} // namespace

Parsed<Configuration> parseConfiguration(const std::string &json) {
  auto parsed = parseJson(json);
  if (!parsed)
    return parsed.error();
  Findings findings;
  ObjectReader it(parsed.value(), "", findings);
  Configuration config;
  config.Revision =
      it.number("revision", 0, std::numeric_limits<std::uint64_t>::max());
  config.Id = it.text("id");
  config.AppliedBy = it.textOr("appliedBy", "");
  std::size_t n = 0;
  for (const auto &domain : it.list("domains"))
    config.Domains.push_back(
        readDomain(domain, elementPlace("/domains", n++), findings));
  n = 0;
  for (const auto &database : it.list("databases"))
    config.Databases.push_back(
        readDatabase(database, elementPlace("/databases", n++), findings));
  for (const auto &vm : it.listOr("drained"))
    if (vm.is_string())
      config.Drained.emplace_back(vm.get<std::string>());
    else
      it.report("drained", "names of VMs", excerpt(vm));
  it.finish();
  auto broken = checkConfiguration(config);
  findings.insert(findings.end(), broken.begin(), broken.end());
  if (!findings.empty())
    return findings;
  return config;
}

std::string writeConfiguration(const Configuration &it) {
  Json domains = Json::array();
  for (const auto &domain : it.Domains)
    domains.push_back(
        {{"name", domain.Name.Value}, {"region", domain.Region.Value}});
  Json databases = Json::array();
  for (const auto &database : it.Databases)
    databases.push_back(writeDatabase(database));
  Json out = {{"revision", it.Revision},
              {"id", it.Id},
              {"domains", domains},
              {"databases", databases}};
  if (!it.Drained.empty()) {
    out["drained"] = Json::array();
    for (const auto &vm : it.Drained)
      out["drained"].push_back(vm.Value);
  }
  if (!it.AppliedBy.empty())
    out["appliedBy"] = it.AppliedBy;
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const DatabaseConfig *findDatabase(const Configuration &it,
                                   const DatabaseName &name) {
  return findByName(it.Databases, name);
}

const TargetConfig *findTarget(const DatabaseConfig &it,
                               const TargetName &name) {
  return findByName(it.Targets, name);
}

const KindConfig *findKind(const DatabaseConfig &it, const KindName &name) {
  return findByName(it.Kinds, name);
}

bool isDrained(const Configuration &it, const VmName &vm) {
  return std::find(it.Drained.begin(), it.Drained.end(), vm) !=
         it.Drained.end();
}

bool isDrained(const Configuration &it, const TargetName &target) {
  return isDrained(it, VmName(target.Value));
}

RegionName regionOf(const Configuration &it, const DomainName &domain) {
  const auto *found = findByName(it.Domains, domain);
  return found ? found->Region : RegionName();
}

} // namespace peridotfall
