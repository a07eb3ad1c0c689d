/// \file
/// The daemon's state as JSON for operators.

#ifndef PERIDOTFALL_DAEMON_STATUS_H
#define PERIDOTFALL_DAEMON_STATUS_H

#include "daemon/fleet.h"
#include "daemon/views.h"
#include "http/message.h"
#include "peridotfall/configuration.h"
#include "platform/guarded.h"

#include <memory>

namespace peridotfall {

/// Served for GET on the inner address.
inline constexpr auto StatusPath = "/status";

struct StatusSource {
  std::shared_ptr<const Configuration> Config; ///< Null: none in force.
  Fleet &Peers;
  const GroupViews &Views;
  const platform::CallCounts &Calls;
  TimePoint Now;
  bool Draining = false;
};

http::Response statusResponse(const StatusSource &it);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_STATUS_H
