/// \file
/// Decides which daemons' objects are to be removed from the store, whose
/// objects do not expire. Makes no calls itself.

#ifndef PERIDOTFALL_PROXY_GONE_MEMBERS_H
#define PERIDOTFALL_PROXY_GONE_MEMBERS_H

#include "peridotfall/clock.h"
#include "peridotfall/membership.h"

#include <chrono>
#include <map>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// A daemon missing for this long is removed. VMs are replaced under new names
/// all day; without removal each daemon probes more and more members that no
/// longer exist. A frozen daemon that is removed too soon has to write its
/// object again, so this is longer than usual freezes and partitions.
inline constexpr std::chrono::seconds DaemonGoneAfter{20};
/// Objects removed at once, so that the return of a failure domain does not
/// use up the store's write rate.
inline constexpr std::size_t MaxRemoved = 8;

} // namespace limits

/// Not synchronised.
class GoneMembers {
public:
  /// \param listed daemons that have an object.
  /// \param live daemons known to be alive.
  /// \param isLeader whether this daemon is the failover leader. Only that one
  /// removes objects, so that not every daemon makes the calls.
  /// \return daemons whose objects are to be removed now.
  std::vector<VmName> update(const std::vector<VmName> &listed,
                             const std::vector<Member> &live, bool isLeader,
                             TimePoint now);

private:
  std::map<VmName, TimePoint> MissingSince;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GONE_MEMBERS_H
