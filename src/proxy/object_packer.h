/// \file
/// Large objects on their way to other daemons, sent as the difference from
/// what each of them holds.

#ifndef PERIDOTFALL_PROXY_OBJECT_PACKER_H
#define PERIDOTFALL_PROXY_OBJECT_PACKER_H

#include "messages/copy.h"
#include "proxy/mirror.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Bytes of a spec from which on it is packed.
inline constexpr std::size_t LeastPacked = 4 << 10;
/// Versions of an object that are kept, so that a daemon that holds one of
/// them is sent the difference.
inline constexpr std::size_t KeptVersions = 4;

} // namespace limits

/// \return the objects that a daemon names as held when it asks for changes.
std::vector<messages::HeldObject> largeObjects(const Objects &it);
/// \param mirror outlives the result.
messages::FindHeld findIn(const Mirror &mirror);

/// Packs the specs that this daemon sends. It keeps what it has sent of large
/// objects, and a frame for each version that a receiver held.
/// Not synchronised.
class ObjectPacker {
public:
  /// \param held by the receiver. \return valid while this is.
  messages::PackSpec packerFor(std::string kind,
                               std::vector<messages::HeldObject> held);
  std::optional<messages::PackedSpec>
  pack(const std::string &kind, const StoredObject &object,
       const std::vector<messages::HeldObject> &held);

private:
  struct Version {
    std::uint64_t Revision = 0;
    std::string Spec;
  };
  /// Of one object, the newest version last.
  struct Sent {
    std::deque<Version> Versions;
    /// Of the newest, by the revision that it is packed against.
    std::map<std::uint64_t, messages::PackedSpec> Frames;
  };

  static void note(Sent &sent, const StoredObject &object);
  static const Version *findBase(const Sent &sent, const std::string &name,
                                 const std::vector<messages::HeldObject> &held);

  std::map<std::pair<std::string, std::string>, Sent> All; ///< Kind, name.
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_OBJECT_PACKER_H
