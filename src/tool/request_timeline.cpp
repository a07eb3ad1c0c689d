#include "tool/request_timeline.h"

#include "telemetry/events.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <set>

namespace peridotfall::tool {

namespace {

/// Range of the numbers of events about targets and failovers.
constexpr int FirstTargetEvent = 4'000;
constexpr int LastTargetEvent = 4'999;

/// Parses what follows a backslash. \param at of its first character; set to
/// that of its last one.
char parseEscape(const std::string &text, std::size_t &at) {
  constexpr int Hex = 16;
  switch (text[at]) {
  case 'n':
    return '\n';
  case 'r':
    return '\r';
  case 't':
    return '\t';
  case 'x': {
    unsigned byte = 0;
    const char *first = text.data() + at + 1;
    const char *last = first + std::min<std::size_t>(text.size() - at - 1, 2);
    auto [end, ec] = std::from_chars(first, last, byte, Hex);
    if (ec != std::errc() || end != first + 2)
      return 'x';
    at += 2;
    return static_cast<char>(byte);
  }
  default:
    return text[at];
  }
}

std::string parseQuoted(const std::string &text, std::size_t &at) {
  std::string out;
  for (++at; at < text.size() && text[at] != '"'; ++at)
    if (text[at] == '\\' && at + 1 < text.size())
      out += parseEscape(text, ++at);
    else
      out += text[at];
  ++at;
  return out;
}

std::string parseValue(const std::string &text, std::size_t &at) {
  if (at < text.size() && text[at] == '"')
    return parseQuoted(text, at);
  auto end = std::min(text.find(' ', at), text.size());
  auto out = text.substr(at, end - at);
  at = end;
  return out;
}

std::string findField(const LogLine &it, const char *name) {
  auto found = it.Fields.find(name);
  return found == it.Fields.end() ? std::string() : found->second;
}

/// Parses a time like 2026-09-24T06:07:56.833Z. \return milliseconds since
/// midnight.
std::optional<std::int64_t> millisOfDay(const std::string &time) {
  constexpr std::size_t Hour = 11;
  constexpr std::size_t Minute = 14;
  constexpr std::size_t Second = 17;
  constexpr std::size_t Milli = 20;
  auto number = [&](std::size_t at,
                    std::size_t n) -> std::optional<std::int64_t> {
    std::int64_t out = 0;
    if (time.size() < at + n)
      return std::nullopt;
    const char *last = time.data() + at + n;
    auto [end, ec] = std::from_chars(time.data() + at, last, out);
    if (ec != std::errc() || end != last)
      return std::nullopt;
    return out;
  };
  auto h = number(Hour, 2);
  auto m = number(Minute, 2);
  auto s = number(Second, 2);
  auto ms = number(Milli, 3);
  if (!h || !m || !s || !ms)
    return std::nullopt;
  return ((*h * 60 + *m) * 60 + *s) * 1'000 + *ms;
}

bool isTargetEvent(const LogLine &it) {
  auto event = telemetry::findEvent(it.Event);
  return event && event->Number >= FirstTargetEvent &&
         event->Number <= LastTargetEvent;
}

} // namespace

std::optional<LogLine> parseLogLine(const std::string &line,
                                    const std::string &source) {
  LogLine out;
  out.Source = source;
  std::size_t at = 0;
  while (at < line.size()) {
    auto equals = line.find('=', at);
    if (equals == std::string::npos)
      break;
    auto blank = line.rfind(' ', equals);
    auto from = blank == std::string::npos || blank < at ? at : blank + 1;
    auto name = line.substr(from, equals - from);
    at = equals + 1;
    out.Fields[name] = parseValue(line, at);
    at = std::min(line.find_first_not_of(' ', at), line.size());
  }
  out.Time = findField(out, "time");
  out.Event = findField(out, "event");
  if (out.Time.empty() || out.Event.empty())
    return std::nullopt;
  return out;
}

std::vector<LogLine> requestTimeline(const std::string &request,
                                     std::vector<LogLine> lines) {
  std::set<std::string> targetsAndGroups;
  std::optional<std::int64_t> first;
  std::optional<std::int64_t> last;
  for (const auto &it : lines) {
    if (findField(it, "request") != request)
      continue;
    for (const char *name : {"target", "last_target", "group"})
      if (auto value = findField(it, name); !value.empty())
        targetsAndGroups.insert(value);
    if (auto at = millisOfDay(it.Time)) {
      first = std::min(first.value_or(*at), *at);
      last = std::max(last.value_or(*at), *at);
    }
  }
  std::erase_if(lines, [&](const LogLine &it) {
    if (findField(it, "request") == request)
      return false;
    auto at = millisOfDay(it.Time);
    bool inMargin = at && first && *at >= *first - TimelineMargin.count() &&
                    *at <= *last + TimelineMargin.count();
    bool isNamed = targetsAndGroups.contains(findField(it, "target")) ||
                   targetsAndGroups.contains(findField(it, "group"));
    bool ofOtherRequest = !findField(it, "request").empty();
    return ofOtherRequest || !inMargin || !isNamed || !isTargetEvent(it);
  });
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const LogLine &a, const LogLine &b) { return a.Time < b.Time; });
  return lines;
}

std::string describe(const LogLine &it) {
  auto event = telemetry::findEvent(it.Event);
  auto out = fmt::format("{} {} {} {}", it.Time, it.Source, it.Event,
                         event ? event->Name : "not in the catalogue");
  for (const auto &[name, value] : it.Fields)
    if (name != "time" && name != "event" && name != "level" && name != "msg")
      out += fmt::format(" {}={}", name, telemetry::quoteValue(value));
  return out;
}

} // namespace peridotfall::tool
