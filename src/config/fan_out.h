/// \file
/// Which daemons watch the platform, and how changes are relayed to the others.

#ifndef PERIDOTFALL_CONFIG_FAN_OUT_H
#define PERIDOTFALL_CONFIG_FAN_OUT_H

#include "peridotfall/membership.h"

#include <map>
#include <vector>

namespace peridotfall {

/// Daemons of each failure domain that watch the platform for the others. A
/// watch is a long-polling call: 1,700 of them, each restarted every few
/// seconds, would use much of the platform's capacity. Two are enough: if one
/// fails, the other continues, and the next in rank takes over once the
/// membership notices the failure.
inline constexpr std::size_t WatchersPerDomain = 2;

/// Members to which one daemon relays a change within its failure domain. With
/// 8, a change reaches a domain of 300 daemons in three steps, and no daemon
/// sends more than 8 messages, plus 6 to the other domains.
inline constexpr std::size_t FanOut = 8;

/// \return whether \p self is one of its domain's watchers.
bool isWatcher(const std::vector<Member> &live, const Member &self);

/// The tree along which the announcements of one root are relayed. Each root
/// has a different tree, so that a failed inner node cuts off different daemons
/// in each. The tree of a root doesn't change, so its connections are reused.
struct RelayTree {
  VmName Root;
  bool DomainOnly = false; ///< Only the root's failure domain.

  auto operator<=>(const RelayTree &) const = default;
};

/// The members by failure domain, in the order of a root's tree: the children
/// of element i are the elements i * FanOut + 1 to (i + 1) * FanOut.
using RelayTreeOrder = std::map<DomainName, std::vector<Member>>;
RelayTreeOrder buildRelayOrder(const std::vector<Member> &live,
                               const RelayTree &tree);

/// \return the members to which \p self relays. The root relays to one member
/// of each other domain, so that a change crosses a link between regions once;
/// each daemon relays to its children in its own domain. Daemons with the same
/// view of the members compute the same tree; where views differ, the periodic
/// comparison with peers delivers the change.
std::vector<Member> childrenOf(const RelayTreeOrder &order,
                               const RelayTree &tree, const VmName &self);

} // namespace peridotfall

#endif // PERIDOTFALL_CONFIG_FAN_OUT_H
