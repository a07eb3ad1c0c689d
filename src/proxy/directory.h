/// \file
/// What the platform says there is: routes of databases, the targets that
/// serve them, and the daemons. Each part is believed in its newest version.

#ifndef PERIDOTFALL_PROXY_DIRECTORY_H
#define PERIDOTFALL_PROXY_DIRECTORY_H

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
  Primary,          ///< Every read sees all that was acknowledged.
  BoundedStaleness, ///< Reads may lack the youngest commits.
  ReadYourWrites,   ///< So they may, but never the session's own.
};

/// How the sessions of one database are served.
struct Route {
  DatabaseName Database;
  GroupName Group;
  Guarantee Reads = Guarantee::Primary;
  milliseconds StatementLimit{800}; ///< For one statement, waits included.
  unsigned Priority = 0;            ///< 0 is the highest.
  milliseconds MaxStaleness{};
  /// An answer that comes later is of little use to the caller. Zero: any is.
  milliseconds Goal{};

  auto operator<=>(const Route &) const = default;
};

struct GroupSettings {
  std::size_t MaxConnections = 1; ///< To each target, over all daemons.
  bool WaitsForReplica = false; ///< Commits are acknowledged by a replica too.

  auto operator<=>(const GroupSettings &) const = default;
};

/// The operators' configuration, whole.
struct RoutingTable {
  std::uint64_t Version = 0;
  std::map<DatabaseName, Route> Routes;
  std::map<GroupName, GroupSettings> Groups;
  milliseconds TransactionIdle{3'000};

  auto operator<=>(const RoutingTable &) const = default;
};

/// One process that serves as a target.
struct TargetEntry {
  TargetName Name; ///< Of the process; a new one at the address has another.
  GroupName Group;
  std::string Address;
  DomainName Domain;
  RegionName Region;
  std::uint64_t Born = 0; ///< Of its start; a restart may keep the name.
  std::uint32_t Slots = 1;
  bool Leaving = false;
  bool ClaimsPrimary = false;
  std::uint64_t Revision = 0; ///< Of the entry's last change.

  auto operator<=>(const TargetEntry &) const = default;
};

using TargetList = std::map<TargetName, TargetEntry>;

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_DIRECTORY_H
