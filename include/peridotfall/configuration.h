/// \file
/// The configuration in force, generated from the questionnaire.

#ifndef PERIDOTFALL_CONFIGURATION_H
#define PERIDOTFALL_CONFIGURATION_H

#include "peridotfall/names.h"
#include "peridotfall/result.h"
#include "peridotfall/statement.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall {

struct FailureDomain {
  DomainName Name;
  RegionName Region;

  auto operator<=>(const FailureDomain &) const = default;
};

struct TargetConfig {
  TargetName Name;
  DomainName Domain;
  std::string Address;     ///< IP number and port.
  std::uint32_t Slots = 0; ///< Statements it runs at once without delay.
  std::uint32_t Connections = 0;

  auto operator<=>(const TargetConfig &) const = default;
};

/// A kind of request, as the team's answers name it.
struct KindConfig {
  KindName Name;
  Access Mode = Access::Write;
  bool Repeatable = false;
  bool OfRecord = false; ///< Orders, approvals, payments: before lookups.
  std::chrono::milliseconds MaxAge{}; ///< Of a stale read.

  auto operator<=>(const KindConfig &) const = default;
};

struct DatabaseConfig {
  DatabaseName Name;
  std::vector<TargetConfig> Targets;
  std::vector<KindConfig> Kinds;
  std::chrono::milliseconds ConfirmLimit{1'000}; ///< Longest wait of a write
                                                 ///< for a replica.
  std::chrono::seconds KeyRetention{86'400};

  auto operator<=>(const DatabaseConfig &) const = default;
};

struct Configuration {
  std::uint64_t Revision = 0; ///< Never falls at a daemon.
  std::string Id;             ///< Of its own, to settle a lost answer.
  std::string AppliedBy;
  std::vector<FailureDomain> Domains;
  std::vector<DatabaseConfig> Databases;
  /// VMs, of daemons or of targets, that operators take out of use.
  std::vector<VmName> Drained;

  auto operator<=>(const Configuration &) const = default;
};

/// \return everything wrong with the text, or the configuration.
Parsed<Configuration> parseConfiguration(const std::string &json);
std::string writeConfiguration(const Configuration &it);

/// \return null where there is none.
const DatabaseConfig *findDatabase(const Configuration &it,
                                   const DatabaseName &name);
const TargetConfig *findTarget(const DatabaseConfig &it,
                               const TargetName &name);
const KindConfig *findKind(const DatabaseConfig &it, const KindName &name);
/// \return whether the VM is to get no new work.
bool isDrained(const Configuration &it, const VmName &vm);
/// \return whether the target is: its VM is named as the target is.
bool isDrained(const Configuration &it, const TargetName &target);
/// \return an empty name where the domain is not known.
RegionName regionOf(const Configuration &it, const DomainName &domain);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIGURATION_H
