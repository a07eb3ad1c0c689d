/// \file
/// Who watches the platform, and whom a daemon passes a change on to.

#ifndef PERIDOTFALL_CONFIG_FAN_OUT_H
#define PERIDOTFALL_CONFIG_FAN_OUT_H

#include "peridotfall/membership.h"

#include <cstdint>
#include <vector>

namespace peridotfall {

/// Daemons of each failure domain that watch the platform for the others.
/// Load: a waiting watch is a call; 1,700 of them, ended and begun anew each
/// few seconds, would take much of what the platform serves. Two suffice:
/// while one fails the other goes on, and the next in rank takes its place
/// once the membership knows.
inline constexpr std::size_t WatchersOfDomain = 2;

/// Members that one daemon passes a change on to within its failure domain.
/// At 8, a domain of 300 daemons is reached in three steps, and none sends
/// more than 8 messages and 6 to the other domains.
inline constexpr std::size_t FanOut = 8;

/// \return whether \p self is one of its domain's watchers.
bool isWatcher(const std::vector<Member> &live, const Member &self);

/// One announcement's tree: each has its own, so that no daemon is an inner
/// node of all of them.
struct Tree {
  VmName Root;
  std::uint64_t Seed = 0;
  bool DomainOnly = false; ///< Only the root's failure domain.

  auto operator<=>(const Tree &) const = default;
};

/// \return whom \p self tells. The root tells one member of each other domain,
/// so that a change crosses a link between regions once, and each tells its
/// share of its own domain. All daemons compute the same tree where they see
/// the same members; where they do not, comparing with peers brings the rest.
std::vector<Member> childrenOf(const std::vector<Member> &live,
                               const Tree &tree, const VmName &self);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIG_FAN_OUT_H
