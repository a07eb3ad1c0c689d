/// \file
/// The platform's list of VMs as it is in force at a daemon: polled by two
/// daemons of each failure domain, relayed to the others.

#ifndef PERIDOTFALL_MEMBERSHIP_VM_LIST_H
#define PERIDOTFALL_MEMBERSHIP_VM_LIST_H

#include "peridotfall/membership.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace peridotfall {

/// Milliseconds of the system's clock. The list carries no version, so lists
/// are ordered by when a daemon first saw them.
using Stamp = std::uint64_t;

class VmListInForce {
public:
  /// Takes a list read from the platform. \return whether it is another one.
  bool offerPolled(std::vector<Member> list, Stamp wall);
  /// Takes a list relayed by another daemon. \return whether it is another.
  bool offerRelayed(std::vector<Member> list, Stamp stamp, Stamp wall);
  /// \return whether another daemon's list should be fetched; one that is the
  /// same is not.
  bool wants(Stamp stamp, std::uint64_t digest, Stamp wall) const;

  Stamp stamp() const { return At; }
  std::uint64_t digest() const { return Digest; }
  const std::vector<Member> &list() const { return List; }

private:
  struct Replaced {
    std::uint64_t Digest = 0;
    Stamp At = 0;
  };

  void take(std::vector<Member> list, std::uint64_t digest, Stamp stamp,
            Stamp wall);

  std::vector<Member> List;
  std::uint64_t Digest = 0;
  Stamp At = 0;
  std::deque<Replaced> Past;
};

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_VM_LIST_H
