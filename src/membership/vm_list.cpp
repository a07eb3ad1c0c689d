#include "membership/vm_list.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace peridotfall {

namespace {

/// Limit for stamps from other daemons. Without it, a daemon whose clock is
/// ahead would keep its list in force for too long.
constexpr Stamp MaxClockAheadMs = 5'000;
/// A polled list that was replaced less than this ago is not accepted again.
/// Otherwise two pollers whose views of the platform lag differently would
/// replace each other's list in turn.
constexpr Stamp ReplacedRetentionMs = 10'000;
constexpr std::size_t MaxReplaced = 16;

std::uint64_t digestOf(const std::vector<Member> &list) {
  std::string text;
  for (const auto &it : list)
    for (const auto &part :
         {it.Vm.Value, it.Domain.Value, it.Region.Value, it.InnerAddress,
          std::string{it.Leaving ? 'l' : '-', it.ServesTarget ? 't' : '-'}})
      text.append(part).push_back('\0');
  return stableHash(text, "vms");
}

} // namespace

void VmListInForce::replace(std::vector<Member> list, std::uint64_t digest,
                            Stamp stamp, Stamp wall) {
  RecentlyReplaced.push_back({Digest, wall});
  if (RecentlyReplaced.size() > MaxReplaced)
    RecentlyReplaced.pop_front();
  List = std::move(list);
  Digest = digest;
  At = stamp;
}

bool VmListInForce::updatePolled(std::vector<Member> list, Stamp wall) {
  std::sort(list.begin(), list.end());
  auto digest = digestOf(list);
  if (digest == Digest)
    return false;
  bool replaced = std::any_of(RecentlyReplaced.begin(), RecentlyReplaced.end(),
                              [&](const ReplacedList &it) {
                                return it.Digest == digest &&
                                       wall - it.At < ReplacedRetentionMs;
                              });
  if (replaced)
    return false;
  // Must exceed the stamp in force, which may come from a clock that is ahead.
  replace(std::move(list), digest, std::max(wall, At + 1), wall);
  return true;
}

bool VmListInForce::shouldFetch(Stamp stamp, std::uint64_t digest,
                                Stamp wall) const {
  return digest != Digest && std::min(stamp, wall + MaxClockAheadMs) > At;
}

bool VmListInForce::updateRelayed(std::vector<Member> list, Stamp stamp,
                                  Stamp wall) {
  std::sort(list.begin(), list.end());
  auto digest = digestOf(list);
  auto bounded = std::min(stamp, wall + MaxClockAheadMs);
  if (digest == Digest) {
    At = std::max(At, bounded);
    return false;
  }
  if (!shouldFetch(stamp, digest, wall))
    return false;
  replace(std::move(list), digest, bounded, wall);
  return true;
}

} // namespace peridotfall
