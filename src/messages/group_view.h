/// \file
/// The inner protocol's exchange of views on a group's targets.

#ifndef PERIDOTFALL_MESSAGES_GROUP_VIEW_H
#define PERIDOTFALL_MESSAGES_GROUP_VIEW_H

#include "messages/inner.h"
#include "peridotfall/failover.h"

namespace peridotfall::messages {

struct GroupViewRequest {
  DatabaseName Database;
  std::uint64_t ObjectVersion = 0; ///< Of the object that the asker knows.

  auto operator<=>(const GroupViewRequest &) const = default;
};

struct GroupViewAnswer {
  DatabaseName Database;
  VmName Vm; ///< Whose view it is.
  failover::Sights Seen;
  std::optional<failover::VersionedObject> Object; ///< A newer one.

  auto operator<=>(const GroupViewAnswer &) const = default;
};

std::string encode(const GroupViewRequest &it);
std::string encode(const GroupViewAnswer &it);
Result<GroupViewRequest> decodeGroupViewRequest(const std::string &bytes);
Result<GroupViewAnswer> decodeGroupViewAnswer(const std::string &bytes);

} // namespace peridotfall::messages

#endif // PERIDOTFALL_MESSAGES_GROUP_VIEW_H
