/// \file
/// The story of one request, from the logs of all daemons.

#ifndef PERIDOTFALL_TOOL_STORY_H
#define PERIDOTFALL_TOOL_STORY_H

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::tool {

/// How long before and after a request's own lines a change of belief about
/// its target or group belongs to its story. Reason: a change of primary is
/// over 2.5 s after the failure at the latest, and a statement waits 0.8 s.
inline constexpr std::chrono::milliseconds Around{2'500};

/// One line of a log: key=value, values with blanks in quotes.
struct LogLine {
  std::string Time; ///< Of one form at all daemons, so that it can be sorted.
  std::string Source;
  std::string Event;
  std::map<std::string, std::string> Fields;

  auto operator<=>(const LogLine &) const = default;
};

/// \return nothing for a line that is no event.
std::optional<LogLine> parseLogLine(const std::string &line,
                                    const std::string &source);

/// \return the request's lines, and the changes of belief around them about
/// the targets and groups that they name, in order of time.
std::vector<LogLine> storyOf(const std::string &request,
                             std::vector<LogLine> lines);

/// One line for people: time, source, meaning of the event, its fields.
std::string describe(const LogLine &it);

} // namespace peridotfall::tool

#endif // PERIDOTFALL_TOOL_STORY_H
