/// \file
/// Generates the list of events for operators.

#ifndef PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H
#define PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H

#include <string>

namespace peridotfall::telemetry {

/// \return the content of docs/EVENTS.md.
std::string eventsPage();

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_EVENTS_PAGE_H
