/// \file
/// Writes lines to standard output from a thread of its own, so that whoever
/// does not read them delays no request.

#ifndef PERIDOTFALL_TELEMETRY_LOG_WRITER_H
#define PERIDOTFALL_TELEMETRY_LOG_WRITER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace peridotfall::telemetry {

/// Lines that wait to be written; the oldest are dropped beyond it. Load: a
/// reader that stalls. Reason: a second of the most that may be logged, about
/// a quarter of a megabyte.
inline constexpr std::size_t WaitingLines = 1'024;

/// Queues a line, without its end. Never waits.
void writeLine(const std::string &line);
/// Gives lines to \p sink in place of standard output; for tests. Empty: back
/// to standard output.
void setLineSink(std::function<void(const std::string &)> sink);
/// \return whether lines go to a sink; then none is left out.
bool hasLineSink();
/// \return how many lines were dropped because nobody read them.
std::uint64_t droppedLines();
/// Lets what waits be written, for a short time at most. Nothing is written
/// afterwards.
void closeLog();

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_LOG_WRITER_H
