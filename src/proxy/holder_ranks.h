/// \file
/// The daemons that rank first for each target, kept up to date as members come
/// and go. A daemon uses few of a fleet's targets at a time, so a change of the
/// members is only recorded, and applied to a target when its ranks are next
/// wanted: the work grows with the targets in use and not with the product of
/// members and targets. Pure decisions.

#ifndef PERIDOTFALL_PROXY_HOLDER_RANKS_H
#define PERIDOTFALL_PROXY_HOLDER_RANKS_H

#include "peridotfall/membership.h"
#include "proxy/directory.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotfall::proxy {

/// Not synchronised.
class HolderRanks {
public:
  /// \return whether a daemon came, went or moved.
  bool setMembers(const std::vector<Member> &live);
  /// \return number of daemons that may hold connections.
  std::size_t eligible() const { return Eligible.size(); }
  /// \return the first \p count daemons for the target, by rank. Takes time for
  /// the changes since the last call for the target; the first time, and when
  /// one of these daemons has left, for the daemons of its failure domain, or
  /// for all if that has less than \p count.
  std::vector<VmName> first(const TargetEntry &target, std::size_t count);
  void forget(const TargetName &target) { Rankings.erase(target); }
  /// \return how often a daemon's rank for a target has been computed.
  std::uint64_t computedRanks() const { return Computed; }

private:
  struct Ranking {
    DomainName Domain;
    RegionName Region;
    std::size_t Wanted = 0;
    std::vector<OwnerRank> First;
    std::uint64_t UpTo = 0; ///< Number of changes that have been applied.
  };
  struct Change {
    VmName Vm;
    std::optional<Member> Joined; ///< Empty: it left.
  };

  void recordLeft(const VmName &vm);
  void recordJoined(const Member &member);
  std::uint64_t changes() const { return FirstChange + Changes.size(); }
  /// \return whether the ranking is up to date; otherwise it must be made anew.
  bool applyChanges(const TargetName &target, Ranking &ranking);
  void insert(const Member &member, const TargetName &target, Ranking &ranking);
  void rankAll(const TargetName &target, Ranking &ranking);

  std::map<VmName, Member> Eligible;
  std::map<DomainName, std::set<VmName>> ByDomain;
  /// The latest changes, and the number of those before them.
  std::deque<Change> Changes;
  std::uint64_t FirstChange = 1;
  std::map<TargetName, Ranking> Rankings;
  std::uint64_t Computed = 0;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_HOLDER_RANKS_H
