/// \file
/// Compression of large objects sent to other daemons, as the difference from
/// the version that the receiver has.

#ifndef PERIDOTFALL_PROXY_OBJECT_PACKER_H
#define PERIDOTFALL_PROXY_OBJECT_PACKER_H

#include "messages/snapshot.h"
#include "proxy/object_cache.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Specs of at least this many bytes are packed.
inline constexpr std::size_t MinPackedSize = 4 << 10;
/// Versions kept per object. A daemon that has one of them is sent the
/// difference.
inline constexpr std::size_t KeptVersions = 4;

} // namespace limits

/// \return the large objects, which a daemon lists as held in its requests.
std::vector<messages::CachedObjectId> largeObjects(const Objects &it);
/// \param cache must outlive the result.
messages::FindCachedSpec findSpecIn(const ObjectCache &cache);

/// Packs the specs that this daemon sends. Keeps the recently sent versions of
/// large objects and a compressed frame for each version that a receiver had.
/// Not thread-safe.
class ObjectPacker {
public:
  /// \param held objects that the receiver has.
  /// \return valid only while this object is.
  messages::PackSpec packerFor(std::string kind,
                               std::vector<messages::CachedObjectId> held);
  std::optional<messages::PackedSpec>
  pack(const std::string &kind, const StoredObject &object,
       const std::vector<messages::CachedObjectId> &held);

private:
  struct Version {
    std::uint64_t Revision = 0;
    std::string Spec;
  };
  /// History of one object, the newest version last.
  struct SentObject {
    std::deque<Version> Versions;
    /// Frames of the newest version, by the revision of their base version.
    std::map<std::uint64_t, messages::PackedSpec> Frames;
  };

  static void recordVersion(SentObject &sent, const StoredObject &object);
  static const Version *
  findBase(const SentObject &sent, const std::string &name,
           const std::vector<messages::CachedObjectId> &held);

  /// By kind and name.
  std::map<std::pair<std::string, std::string>, SentObject> SentObjects;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_OBJECT_PACKER_H
