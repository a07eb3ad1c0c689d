/// \file
/// The platform's list of VMs in force at a daemon. Two daemons of each failure
/// domain poll it and relay it to the others.

#ifndef PERIDOTFALL_MEMBERSHIP_VM_LIST_H
#define PERIDOTFALL_MEMBERSHIP_VM_LIST_H

#include "peridotfall/membership.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace peridotfall {

/// Milliseconds of the system clock. The platform's list has no version, so
/// lists are ordered by the time at which a daemon first received them.
using Stamp = std::uint64_t;

class VmListInForce {
public:
  /// Applies a list read from the platform. \return whether the list changed.
  bool updatePolled(std::vector<Member> list, Stamp wall);
  /// Applies a list relayed by another daemon. \return whether it changed.
  bool updateRelayed(std::vector<Member> list, Stamp stamp, Stamp wall);
  /// \return whether another daemon's list differs and is newer, so that it
  /// should be fetched.
  bool shouldFetch(Stamp stamp, std::uint64_t digest, Stamp wall) const;

  Stamp stamp() const { return At; }
  std::uint64_t digest() const { return Digest; }
  const std::vector<Member> &list() const { return List; }

private:
  struct ReplacedList {
    std::uint64_t Digest = 0;
    Stamp At = 0;
  };

  void replace(std::vector<Member> list, std::uint64_t digest, Stamp stamp,
               Stamp wall);

  std::vector<Member> List;
  std::uint64_t Digest = 0;
  Stamp At = 0;
  std::deque<ReplacedList> RecentlyReplaced;
};

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_VM_LIST_H
