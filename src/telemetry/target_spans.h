/// \file
/// Records a span for each statement sent to a target.

#ifndef PERIDOTFALL_TELEMETRY_TARGET_SPANS_H
#define PERIDOTFALL_TELEMETRY_TARGET_SPANS_H

#include "target/target.h"
#include "telemetry/trace.h"

namespace peridotfall::telemetry {

/// \return an API that forwards to \p api and traces its statements.
target::Api traceStatements(target::Api api, std::shared_ptr<Tracer> tracer);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_TARGET_SPANS_H
