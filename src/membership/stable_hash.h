/// \file
/// A hash function that is the same in all daemons and versions.

#ifndef PERIDOTFALL_MEMBERSHIP_STABLE_HASH_H
#define PERIDOTFALL_MEMBERSHIP_STABLE_HASH_H

#include <cstdint>
#include <string_view>

namespace peridotfall {

/// FNV-1a with the finalizer of MurmurHash3. std::hash isn't usable: it differs
/// between builds, and daemons of all versions must compute the same value.
inline std::uint64_t stableHash(std::string_view a, std::string_view b) {
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t h = 14695981039346656037ULL;
  for (auto part : {a, std::string_view("\0", 1), b})
    for (unsigned char c : part)
      h = (h ^ c) * Prime;
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  return h ^ (h >> 33);
}

} // namespace peridotfall

#endif // PERIDOTFALL_MEMBERSHIP_STABLE_HASH_H
