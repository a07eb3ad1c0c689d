/// \file
/// Numbered log events, written as key=value lines to standard output; the
/// users' requirement of standard output takes precedence over the brief.
/// docs/EVENTS.md and `peridotfall explain` are generated from events.def.

#ifndef PERIDOTFALL_TELEMETRY_EVENTS_H
#define PERIDOTFALL_TELEMETRY_EVENTS_H

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotfall::telemetry {

enum class Level { Debug, Info, Warning, Error };

struct EventInfo {
  int Number;
  Level Severity;
  std::string_view Name;    ///< Short name, as in the log.
  std::string_view Meaning; ///< What happened, for operators.
  std::string_view Advice;  ///< What to do; empty: nothing.
};

enum class Event : int {
#define PERIDOTFALL_EVENT(id, number, severity, name, meaning, advice)         \
  id = (number),
#include "telemetry/events.def"
#undef PERIDOTFALL_EVENT
};

const std::vector<EventInfo> &allEvents();
const EventInfo &infoOf(Event event);
/// \param name "PF1001" or "1001".
/// \return the event, or nothing if there is no such number.
std::optional<EventInfo> findEvent(std::string_view name);

/// \return how often the event was logged, including below the minimum level.
std::uint64_t countOf(const EventInfo &event);

/// Sets the minimum level; events below it are counted but not written.
void setLevel(Level min);
std::optional<Level> parseLevel(std::string_view text);
std::string_view toString(Level it);

struct Field {
  std::string_view Name;
  std::string Value;
};

template <class T> Field field(std::string_view name, const T &value) {
  return {name, fmt::format("{}", value)};
}

/// Longer values of fields are cut. Texts of callers may have a megabyte.
inline constexpr std::size_t MaxValueBytes = 1'024;

/// \return the value of a field as in a line: in quotes unless it is plain,
/// with \n, \r, \t and \xHH for control characters and bytes that are no UTF-8.
std::string quoteValue(std::string_view value);

/// Writes one line. Thread-safe; never blocks on the reader of standard output.
/// Lines beyond LinesPerSecond are counted and not written.
void log(Event event, std::initializer_list<Field> fields);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_EVENTS_H
