/// \file
/// The configuration, generated from the questionnaire.

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
  std::string Address;     ///< IP address and port.
  std::uint32_t Slots = 0; ///< Statements it runs in parallel without delay.
  std::uint32_t Connections = 0;

  auto operator<=>(const TargetConfig &) const = default;
};

/// A kind of request, as named in the questionnaire.
struct KindConfig {
  KindName Name;
  Access Mode = Access::Write;
  bool Repeatable = false;
  bool OfRecord = false; ///< Orders, approvals, payments: run before lookups.
  /// Age of the oldest data that a stale read may return.
  std::chrono::milliseconds MaxAge{};
  /// For requests that set no deadline; 0: the service's default.
  std::chrono::milliseconds Deadline{};

  auto operator<=>(const KindConfig &) const = default;
};

struct DatabaseConfig {
  DatabaseName Name;
  std::vector<TargetConfig> Targets;
  std::vector<KindConfig> Kinds;
  /// How long a write waits for a replica's confirmation at most.
  std::chrono::milliseconds ConfirmLimit{1'000};
  std::chrono::seconds KeyRetention{86'400}; ///< Of idempotency keys.

  auto operator<=>(const DatabaseConfig &) const = default;
};

struct Configuration {
  std::uint64_t Revision = 0; ///< Never decreases at a daemon.
  /// Unique. Tells whether an update was stored if its answer was lost.
  std::string Id;
  std::string AppliedBy;
  std::vector<FailureDomain> Domains;
  std::vector<DatabaseConfig> Databases;
  /// VMs of daemons or targets that operators have taken out of use.
  std::vector<VmName> Drained;

  auto operator<=>(const Configuration &) const = default;
};

/// \return the configuration, or all errors in the text.
Parsed<Configuration> parseConfiguration(const std::string &json);
std::string writeConfiguration(const Configuration &it);
/// Checks the rules between fields, such as unique names.
/// \return the violations.
Findings checkConfiguration(const Configuration &it);

/// \return null if not found.
const DatabaseConfig *findDatabase(const Configuration &it,
                                   const DatabaseName &name);
const TargetConfig *findTarget(const DatabaseConfig &it,
                               const TargetName &name);
const KindConfig *findKind(const DatabaseConfig &it, const KindName &name);
/// \return whether the VM gets no new work.
bool isDrained(const Configuration &it, const VmName &vm);
/// The VM of a target has the target's name.
bool isDrained(const Configuration &it, const TargetName &target);
/// \return an empty name if the domain is unknown.
RegionName regionOf(const Configuration &it, const DomainName &domain);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIGURATION_H
