/// \file
/// The catalogue of events as a page for operators.

#ifndef PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H
#define PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H

#include <string>

namespace peridotfall::telemetry {

/// \return docs/EVENTS.md, as it must be committed.
std::string eventsPage();

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H
