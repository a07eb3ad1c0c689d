#include "telemetry/events.h"
#include "tool/commands.h"
#include "tool/request_timeline.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace peridotfall::tool {

namespace {

int explainEvent(const std::string &name) {
  auto it = telemetry::findEvent(name);
  if (!it) {
    std::cerr << "unknown event: " << name << "\n";
    return BadUsage;
  }
  std::cout << "PF" << it->Number << " " << it->Name << "\n"
            << it->Meaning << "\n";
  if (!it->Advice.empty())
    std::cout << it->Advice << "\n";
  return Success;
}

int explainRequest(const std::string &request, const Arguments &files) {
  std::vector<LogLine> lines;
  for (const auto &path : files) {
    std::ifstream in(path);
    if (!in) {
      std::cerr << "cannot read " << path << "\n";
      return BadUsage;
    }
    auto source = std::filesystem::path(path).stem().string();
    for (std::string text; std::getline(in, text);)
      if (auto it = parseLogLine(text, source))
        lines.push_back(std::move(*it));
  }
  auto timeline = requestTimeline(request, std::move(lines));
  for (const auto &it : timeline)
    std::cout << describe(it) << "\n";
  if (timeline.empty())
    std::cerr << "no log line has request " << request
              << "; only one in 64 successful requests is logged\n";
  return timeline.empty() ? Failed : Success;
}

} // namespace

int runExplain(const Arguments &args) {
  if (args.empty()) {
    std::cerr << "usage: peridotfall explain PFnnnn | REQUEST FILE...\n";
    return BadUsage;
  }
  if (args.size() == 1)
    return explainEvent(args[0]);
  return explainRequest(args[0], {args.begin() + 1, args.end()});
}

} // namespace peridotfall::tool
