/// \file
/// Timeline of one request, from the logs of all daemons.

#ifndef PERIDOTFALL_TOOL_REQUEST_TIMELINE_H
#define PERIDOTFALL_TOOL_REQUEST_TIMELINE_H

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::tool {

/// A request's timeline includes events about its targets and groups from this
/// long before its first line to this long after its last. A failover is
/// complete within 2.5 s of the failure, and a statement waits up to 0.8 s.
inline constexpr std::chrono::milliseconds TimelineMargin{2'500};

/// A parsed log line of key=value fields; values with blanks are quoted.
struct LogLine {
  std::string Time; ///< In one format at all daemons, so it sorts as text.
  std::string Source;
  std::string Event;
  std::map<std::string, std::string> Fields;

  auto operator<=>(const LogLine &) const = default;
};

/// \return nothing for a line without a time or an event.
std::optional<LogLine> parseLogLine(const std::string &line,
                                    const std::string &source);

/// \return the request's lines and, within TimelineMargin of them, the events
/// about the targets and groups that they name, ordered by time.
std::vector<LogLine> requestTimeline(const std::string &request,
                                     std::vector<LogLine> lines);

/// Formats a line for display: time, source, event, its name and fields.
std::string describe(const LogLine &it);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_REQUEST_TIMELINE_H
