#include "telemetry/events.h"

#include "telemetry/line_limiter.h"
#include "telemetry/log_writer.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <fmt/chrono.h>
#include <mutex>

namespace peridotfall::telemetry {

namespace {

std::atomic<Level> MinLevel{Level::Info};

/// Counters of all events, in the order of the list; must exceed its length.
constexpr std::size_t MaxEvents = 256;
std::array<std::atomic<std::uint64_t>, MaxEvents> Counts{};

constexpr std::string_view LevelNames[] = {"debug", "info", "warning", "error"};

/// Bytes of a value in the log. Names and texts of other programs may have a
/// megabyte, and a thousand lines may wait for a slow reader.
constexpr std::size_t MaxValueBytes = 1'024;

bool isControl(char c) {
  constexpr unsigned char Blank = ' ';
  constexpr char Delete = 0x7f;
  return static_cast<unsigned char>(c) < Blank || c == Delete;
}

std::string quote(const std::string &value) {
  if (!value.empty() && value.size() <= MaxValueBytes &&
      value.find_first_of(" \"=\\") == std::string::npos &&
      std::none_of(value.begin(), value.end(), isControl))
    return value;
  std::string out = "\"";
  for (char c : value.substr(0, MaxValueBytes)) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += isControl(c) ? ' ' : c;
  }
  return out + (value.size() > MaxValueBytes ? "...\"" : "\"");
}

} // namespace

const std::vector<EventInfo> &allEvents() {
  static const std::vector<EventInfo> All = {
#define PERIDOTFALL_EVENT(id, number, severity, name, meaning, advice)         \
  {number, Level::severity, name, meaning, advice},
#include "telemetry/events.def"
#undef PERIDOTFALL_EVENT
  };
  return All;
}

const EventInfo &infoOf(Event event) {
  const auto &all = allEvents();
  return *std::find_if(all.begin(), all.end(), [&](const EventInfo &it) {
    return it.Number == static_cast<int>(event);
  });
}

std::optional<EventInfo> findEvent(std::string_view name) {
  if (name.substr(0, 2) == "PF")
    name.remove_prefix(2);
  int n = 0;
  auto [end, ec] = std::from_chars(name.data(), name.data() + name.size(), n);
  if (ec != std::errc() || end != name.data() + name.size())
    return std::nullopt;
  for (const auto &it : allEvents())
    if (it.Number == n)
      return it;
  return std::nullopt;
}

void setLevel(Level min) { MinLevel = min; }

std::optional<Level> parseLevel(std::string_view text) {
  for (auto it : {Level::Debug, Level::Info, Level::Warning, Level::Error})
    if (LevelNames[static_cast<int>(it)] == text)
      return it;
  return std::nullopt;
}

std::string_view toString(Level it) { return LevelNames[static_cast<int>(it)]; }

std::uint64_t countOf(const EventInfo &event) {
  const auto &all = allEvents();
  for (std::size_t n = 0; n < all.size(); ++n)
    if (all[n].Number == event.Number)
      return Counts[n % MaxEvents].load();
  return 0;
}

namespace {

std::mutex LimiterLock;

LineLimiter &limiter() {
  static LineLimiter it(allEvents().size());
  return it;
}

std::string formatLine(const EventInfo &info,
                       std::initializer_list<Field> fields) {
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  auto millis = now.time_since_epoch().count() % 1000;
  auto line = fmt::format(
      "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event=PF{} msg={}",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
      toString(info.Severity), info.Number, quote(std::string(info.Name)));
  for (const auto &it : fields)
    line += fmt::format(" {}={}", it.Name, quote(it.Value));
  return line;
}

/// Logs one line for each event that exceeded the line limit.
void writeSuppressed(const std::vector<SuppressedLines> &all) {
  for (const auto &it : all)
    writeLine(formatLine(
        infoOf(Event::LinesLeftOut),
        {field("of", fmt::format("PF{}", allEvents()[it.Event].Number)),
         field("lines", it.Lines), field("dropped_in_all", droppedLines())}));
}

} // namespace

void log(Event event, std::initializer_list<Field> fields) {
  const auto &info = infoOf(event);
  auto index = static_cast<std::size_t>(&info - allEvents().data());
  ++Counts[index % MaxEvents];
  if (info.Severity < MinLevel.load())
    return;
  bool admitted = false;
  std::vector<SuppressedLines> suppressed;
  {
    std::lock_guard guard(LimiterLock);
    auto now = SystemClock().now();
    suppressed = limiter().drainSuppressed(now);
    admitted = limiter().admit(index, now);
  }
  writeSuppressed(suppressed);
  if (admitted || hasLineSink())
    writeLine(formatLine(info, fields));
}

} // namespace peridotfall::telemetry
