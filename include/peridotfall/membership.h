/// \file
/// Who is alive, and which daemon owns the connections of a target.

#ifndef PERIDOTFALL_MEMBERSHIP_H
#define PERIDOTFALL_MEMBERSHIP_H

#include "peridotfall/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotfall {

/// One entry VM, as the membership knows it.
struct Member {
  VmName Vm;
  DomainName Domain;
  RegionName Region;
  std::string InnerAddress; ///< IP number and port for other daemons.
  /// Grows with each start, so that a VM replaced on an old address is not
  /// taken for its forerunner.
  std::uint64_t Incarnation = 0;
  bool Leaving = false;

  auto operator<=>(const Member &) const = default;
};

/// The daemons by rank for a target: rendezvous hashing over the live members
/// of its failure domain, then of its region, then all others. Rank 0 owns
/// the target; the next step in when it fails.
std::vector<Member> rankOwners(const std::vector<Member> &members,
                               const TargetName &target,
                               const DomainName &domain,
                               const RegionName &region);

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_H
