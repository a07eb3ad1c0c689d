/// \file
/// Counts calls to the platform, which is a shared service billed per call.

#ifndef PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H
#define PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H

#include "platform/platform.h"
#include "telemetry/metrics.h"

namespace peridotfall::telemetry {

/// \return an API that counts each call and forwards it to \p api.
/// \param metrics must outlive the returned API.
platform::Api countCalls(platform::Api api, Metrics &metrics);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_PLATFORM_CALLS_H
