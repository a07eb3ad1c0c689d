/// \file
/// Which daemons' objects are to be removed from the store, where nothing
/// expires by itself. Decides only.

#ifndef PERIDOTFALL_PROXY_GONE_MEMBERS_H
#define PERIDOTFALL_PROXY_GONE_MEMBERS_H

#include "peridotfall/clock.h"
#include "peridotfall/membership.h"

#include <chrono>
#include <map>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// A daemon that nobody has heard of for so long is removed. Load: VMs that
/// are replaced under new names all day. Harm of never: each daemon probes
/// more and more that are gone. Harm of too soon: a daemon that was frozen has
/// to announce itself anew. Reason: longer than a usual
/// freeze or cut.
inline constexpr std::chrono::seconds DaemonGone{20};
/// Objects removed at once, so that a failure domain's return does not use up
/// the store's writes.
inline constexpr std::size_t MostRemoved = 8;

} // namespace limits

/// Not synchronised.
class GoneMembers {
public:
  /// \param listed daemons that have an object. \param live those alive.
  /// \param holdsDuty whether this daemon holds the failover duty: only that
  /// one removes, so that the calls are not made by every daemon.
  /// \return some that have been missing for long.
  std::vector<VmName> update(const std::vector<VmName> &listed,
                             const std::vector<Member> &live, bool holdsDuty,
                             TimePoint now);

private:
  std::map<VmName, TimePoint> MissingSince;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GONE_MEMBERS_H
