/// \file
/// Writes lines to standard output from a separate thread, so that a stalled
/// reader delays no request.

#ifndef PERIDOTFALL_TELEMETRY_LOG_WRITER_H
#define PERIDOTFALL_TELEMETRY_LOG_WRITER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace peridotfall::telemetry {

/// Queued lines; beyond this the oldest are dropped, as when the reader stalls.
/// One second of the maximum log rate, about a quarter of a megabyte.
inline constexpr std::size_t MaxQueuedLines = 1'024;

/// Queues a line, given without its newline. Never blocks.
void writeLine(const std::string &line);
/// Redirects lines to \p sink, for tests. An empty sink restores standard
/// output.
void setLineSink(std::function<void(const std::string &)> sink);
/// \return whether lines are redirected to a sink; then none is suppressed.
bool hasLineSink();
/// \return the number of lines dropped because the queue was full.
std::uint64_t droppedLines();
/// Writes the queued lines, with a short timeout. Later lines are discarded.
void closeLog();

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_LOG_WRITER_H
