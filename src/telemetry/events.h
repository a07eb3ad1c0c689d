/// \file
/// Numbered events, written as key=value lines to standard output. The
/// letter of the users asks for standard output; it goes before the brief.
/// docs/EVENTS.md and `peridotfall explain` are made from this list.

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
  std::string_view Name;    ///< A few words, as in the log.
  std::string_view Meaning; ///< What happened, for an operator.
  std::string_view Advice;  ///< What to do; empty: nothing.
};

/// One constant an event, named in events.def.
enum class Event : int {
#define PERIDOTFALL_EVENT(id, number, severity, name, meaning, advice)         \
  id = (number),
#include "telemetry/events.def"
#undef PERIDOTFALL_EVENT
};

const std::vector<EventInfo> &allEvents();
const EventInfo &infoOf(Event event);
/// \param name "PF1001" or "1001". \return nothing where there is no such.
std::optional<EventInfo> findEvent(std::string_view name);

/// \return how often it was logged, lines below the least level included.
std::uint64_t countOf(const EventInfo &event);

/// Events below this level are not written.
void setLevel(Level least);
std::optional<Level> parseLevel(std::string_view text);
std::string_view toString(Level it);

struct Field {
  std::string_view Name;
  std::string Value;
};

template <class T> Field field(std::string_view name, const T &value) {
  return {name, fmt::format("{}", value)};
}

/// Writes one line, whole, from any thread; never waits for a reader. Lines
/// beyond a limit a second are counted and left out.
void log(Event event, std::initializer_list<Field> fields);

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_EVENTS_H
