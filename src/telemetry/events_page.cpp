#include "telemetry/events_page.h"

#include "telemetry/events.h"

#include <algorithm>
#include <array>

namespace peridotfall::telemetry {

namespace {

struct Section {
  int First;
  std::string_view Title;
};

constexpr int SectionSize = 1'000;
constexpr std::array<Section, 7> Sections{{{1'000, "Process"},
                                           {2'000, "Configuration, platform"},
                                           {3'000, "Membership, ownership"},
                                           {4'000, "Targets, failover"},
                                           {5'000, "Requests"},
                                           {6'000, "Other"},
                                           {9'000, "Broken invariants"}}};

std::string row(const EventInfo &it) {
  return fmt::format("| PF{} | {} | {} | {} | {} |\n", it.Number,
                     toString(it.Severity), it.Name, it.Meaning,
                     it.Advice.empty() ? "Nothing." : it.Advice);
}

} // namespace

std::string eventsPage() {
  auto all = allEvents();
  std::sort(all.begin(), all.end(),
            [](const auto &a, const auto &b) { return a.Number < b.Number; });
  std::string out =
      "# Events\n\nMade from `src/telemetry/events.def` by "
      "`scripts/check-docs.sh --write`; do not edit.\nA line of the log has "
      "`event=PFnnnn` and the event's own fields as key=value;\n`peridotfall "
      "explain PFnnnn` prints the same as this page.\n";
  for (const auto &section : Sections) {
    std::string rows;
    for (const auto &it : all)
      if (it.Number >= section.First && it.Number < section.First + SectionSize)
        rows += row(it);
    if (!rows.empty())
      out += fmt::format("\n## {}\n\n| event | level | message | what happened "
                         "| what to do |\n| --- | --- | --- | --- | --- |\n{}",
                         section.Title, rows);
  }
  return out;
}

} // namespace peridotfall::telemetry
