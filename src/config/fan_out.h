/// \file
/// Who watches the platform, and whom a daemon passes a change on to.

#ifndef PERIDOTFALL_CONFIG_FAN_OUT_H
#define PERIDOTFALL_CONFIG_FAN_OUT_H

#include "peridotfall/membership.h"

#include <map>
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

/// The tree of one root's announcements. Each root has another, so that a
/// failed inner node cuts off other daemons in each; it stays the same, so
/// that the connections along it do too.
struct Tree {
  VmName Root;
  bool DomainOnly = false; ///< Only the root's failure domain.

  auto operator<=>(const Tree &) const = default;
};

/// The members by failure domain, in the order of one root's tree.
using TreeOrder = std::map<DomainName, std::vector<Member>>;
TreeOrder arrange(const std::vector<Member> &live, const Tree &tree);

/// \return whom \p self tells. The root tells one member of each other domain,
/// so that a change crosses a link between regions once, and each tells its
/// share of its own domain. All daemons compute the same tree where they see
/// the same members; where they do not, comparing with peers brings the rest.
std::vector<Member> childrenOf(const TreeOrder &order, const Tree &tree,
                               const VmName &self);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIG_FAN_OUT_H
