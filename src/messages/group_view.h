/// \file
/// Messages of the inner protocol: the owners' views of a group's targets.

#ifndef PERIDOTFALL_MESSAGES_GROUP_VIEW_H
#define PERIDOTFALL_MESSAGES_GROUP_VIEW_H

#include "messages/inner.h"
#include "peridotfall/failover.h"

namespace peridotfall::messages {

struct GroupViewRequest {
  DatabaseName Database;
  std::uint64_t ObjectVersion = 0; ///< That the requester knows.

  auto operator<=>(const GroupViewRequest &) const = default;
};

struct GroupViewAnswer {
  DatabaseName Database;
  VmName Vm; ///< The daemon with this view.
  failover::TargetObservations Observations;
  std::optional<failover::VersionedObject> Object; ///< If newer.

  auto operator<=>(const GroupViewAnswer &) const = default;
};

std::string encode(const GroupViewRequest &it);
std::string encode(const GroupViewAnswer &it);
Result<GroupViewRequest> decodeGroupViewRequest(const std::string &bytes);
Result<GroupViewAnswer> decodeGroupViewAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_GROUP_VIEW_H
