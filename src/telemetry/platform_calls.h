/// \file
/// Counts the calls on the platform, which is shared by everyone and paid by
/// the call.

#ifndef PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H
#define PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H

#include "platform/platform.h"
#include "telemetry/metrics.h"

namespace peridotfall::telemetry {

/// \return the same functions, counted. \param metrics must outlive them.
platform::Api countCalls(platform::Api api, Metrics &metrics);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H
