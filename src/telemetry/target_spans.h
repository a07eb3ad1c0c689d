/// \file
/// A span for each statement sent to a target.

#ifndef PERIDOTFALL_TELEMETRY_TARGET_SPANS_H
#define PERIDOTFALL_TELEMETRY_TARGET_SPANS_H

#include "target/target.h"
#include "telemetry/trace.h"

namespace peridotfall::telemetry {

/// \return the same target, its statements traced.
target::Api traceStatements(target::Api api, std::shared_ptr<Tracer> tracer);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_TARGET_SPANS_H
