/// \file
/// Interface of the platform's object store and list of VMs, as an aggregate of
/// functions, so that the transport can be replaced.

#ifndef PERIDOTFALL_PLATFORM_PLATFORM_H
#define PERIDOTFALL_PLATFORM_PLATFORM_H

#include "peridotfall/membership.h"
#include "peridotfall/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace peridotfall::platform {

/// Keys of the objects that this project stores.
inline constexpr auto ConfigurationKey = "peridotfall/configuration";
inline constexpr auto AnswersKey = "peridotfall/answers";
/// \return the key of a database group's object: its term and successors.
std::string groupKey(const DatabaseName &database);

struct Object {
  std::uint64_t Version = 0; ///< 0: the object does not exist.
  std::string Value;

  auto operator<=>(const Object &) const = default;
};

using OnObject = std::function<void(Result<Object>)>;
using OnMembers = std::function<void(Result<std::vector<Member>>)>;

/// Each callback runs once, on any thread. Errors: NotFound, Conflict,
/// Unavailable (not sent), Unknown (the change may have taken effect).
struct Api {
  std::function<void(std::string key, OnObject)> Get;
  /// \param expected version to replace; 0: the object must not exist.
  std::function<void(std::string key, std::uint64_t expected, std::string value,
                     OnObject)>
      Put;
  /// Answers as soon as the version is above \p after, or after \p wait with
  /// the current version. Counts as one call while it waits.
  std::function<void(std::string key, std::uint64_t after,
                     std::chrono::milliseconds wait, OnObject)>
      Watch;
  /// The platform's list of VMs, which may be out of date.
  std::function<void(OnMembers)> ListVms;
};

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_PLATFORM_H
