#include "telemetry/events.h"
#include "tool/commands.h"
#include "tool/story.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace peridotfall::tool {

namespace {

int explainEvent(const std::string &name) {
  auto it = telemetry::findEvent(name);
  if (!it) {
    std::cerr << "no such event: " << name << "\n";
    return BadUsage;
  }
  std::cout << "PF" << it->Number << " " << it->Name << "\n"
            << it->Meaning << "\n";
  if (!it->Advice.empty())
    std::cout << it->Advice << "\n";
  return Success;
}

int explainRequest(const std::string &request, const Words &files) {
  std::vector<LogLine> lines;
  for (const auto &path : files) {
    std::ifstream in(path);
    if (!in) {
      std::cerr << "cannot be read: " << path << "\n";
      return BadUsage;
    }
    auto source = std::filesystem::path(path).stem().string();
    for (std::string text; std::getline(in, text);)
      if (auto it = parseLogLine(text, source))
        lines.push_back(std::move(*it));
  }
  auto story = storyOf(request, std::move(lines));
  for (const auto &it : story)
    std::cout << describe(it) << "\n";
  if (story.empty())
    std::cerr << "no line names request " << request
              << "; calm successes are logged one in 64\n";
  return story.empty() ? Failed : Success;
}

} // namespace

int runExplain(const Words &words) {
  if (words.empty()) {
    std::cerr << "usage: peridotfall explain PFnnnn | REQUEST FILE...\n";
    return BadUsage;
  }
  if (words.size() == 1)
    return explainEvent(words[0]);
  return explainRequest(words[0], {words.begin() + 1, words.end()});
}

} // namespace peridotfall::tool
