#include "membership/vm_list.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace peridotfall {

namespace {

/// A daemon whose clock is ahead must not hold its list in force for long.
constexpr Stamp MostAhead = 5'000;
/// For so long a list that was replaced is not taken again: two pollers whose
/// views of the platform lag differently would else take turns.
constexpr Stamp ReplacedLimit = 10'000;
constexpr std::size_t MostReplaced = 16;

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

void VmListInForce::take(std::vector<Member> list, std::uint64_t digest,
                         Stamp stamp, Stamp wall) {
  Past.push_back({Digest, wall});
  if (Past.size() > MostReplaced)
    Past.pop_front();
  List = std::move(list);
  Digest = digest;
  At = stamp;
}

bool VmListInForce::offerPolled(std::vector<Member> list, Stamp wall) {
  std::sort(list.begin(), list.end());
  auto digest = digestOf(list);
  if (digest == Digest)
    return false;
  bool replaced =
      std::any_of(Past.begin(), Past.end(), [&](const Replaced &it) {
        return it.Digest == digest && wall - it.At < ReplacedLimit;
      });
  if (replaced)
    return false;
  // Above the one in force also where that came from a clock ahead of ours.
  take(std::move(list), digest, std::max(wall, At + 1), wall);
  return true;
}

bool VmListInForce::wants(Stamp stamp, std::uint64_t digest, Stamp wall) const {
  return digest != Digest && std::min(stamp, wall + MostAhead) > At;
}

bool VmListInForce::offerRelayed(std::vector<Member> list, Stamp stamp,
                                 Stamp wall) {
  std::sort(list.begin(), list.end());
  auto digest = digestOf(list);
  auto bounded = std::min(stamp, wall + MostAhead);
  if (digest == Digest) {
    At = std::max(At, bounded);
    return false;
  }
  if (!wants(stamp, digest, wall))
    return false;
  take(std::move(list), digest, bounded, wall);
  return true;
}

} // namespace peridotfall
