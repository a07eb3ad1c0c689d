/// \file
/// Confirmation: no write is acknowledged before a replica of the same term
/// holds it.

#ifndef PERIDOTFALL_DAEMON_CONFIRM_H
#define PERIDOTFALL_DAEMON_CONFIRM_H

#include "daemon/targets.h"
#include "peridotfall/configuration.h"

#include <chrono>
#include <functional>

namespace peridotfall {

using OnConfirmed = std::function<void(bool confirmed)>;

/// Asks the group's other targets, and then the primary once more, whether a
/// position is safe. Begun after the commit.
/// \param done called once, on any thread.
void confirmPosition(Targets &targets, const DatabaseConfig &database,
                     const TargetName &primary, Position at,
                     std::chrono::milliseconds limit, OnConfirmed done);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CONFIRM_H
