/// \file
/// What the platform lists: routes of databases, and the targets that serve
/// them. The newest version of each part applies.

#ifndef PERIDOTFALL_PROXY_DIRECTORY_H
#define PERIDOTFALL_PROXY_DIRECTORY_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"
#include "peridotfall/names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::proxy {

using std::chrono::milliseconds;
/// A group of targets that replicate one log.
using GroupName = Name<struct GroupTag>;

enum class Guarantee : std::uint8_t {
  Primary,          ///< Reads see all acknowledged commits.
  BoundedStaleness, ///< Reads may lack the latest commits.
  ReadYourWrites,   ///< The same, but never lack the session's own commits.
};

/// How the sessions of one database are served.
struct Route {
  DatabaseName Database;
  GroupName Group;
  Guarantee Reads = Guarantee::Primary;
  milliseconds StatementLimit{800}; ///< For one statement, including waits.
  unsigned Priority = 0;            ///< 0 is the highest.
  milliseconds MaxStaleness{};
  /// A later answer is of little use to the caller. Zero: no such limit.
  milliseconds Goal{};
  /// Callers need no key.
  bool Public = false;

  auto operator<=>(const Route &) const = default;
};

struct GroupSettings {
  std::size_t MaxConnections = 1; ///< To each target, over all daemons.
  /// Commits are acknowledged only once a replica has them.
  bool WaitsForReplica = false;

  auto operator<=>(const GroupSettings &) const = default;
};

/// The operators' complete configuration.
struct RoutingTable {
  std::uint64_t Version = 0;
  std::map<DatabaseName, Route> Routes;
  std::map<GroupName, GroupSettings> Groups;
  milliseconds TransactionIdle{3'000};
  /// Empty: callers need no key.
  std::optional<AccountTable> Accounts;

  auto operator<=>(const RoutingTable &) const = default;
};

/// One process that serves as a target.
struct TargetEntry {
  TargetName Name; ///< A new process at the address has another name.
  GroupName Group;
  std::string Address;
  DomainName Domain;
  RegionName Region;
  std::uint64_t StartId =
      0; ///< Changes with a restart, which may keep the name.
  std::uint32_t Slots = 1;
  bool Leaving = false;
  bool ClaimsPrimary = false;
  std::uint64_t Revision = 0; ///< Of the entry's last change.

  auto operator<=>(const TargetEntry &) const = default;
};

using TargetList = std::map<TargetName, TargetEntry>;

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_DIRECTORY_H
