#include "telemetry/events.h"
#include "tool/commands.h"

#include <iostream>

namespace peridotfall::tool {

int runExplain(const Words &words) {
  if (words.size() != 1) {
    std::cerr << "usage: peridotfall explain PFnnnn\n";
    return BadUsage;
  }
  auto it = telemetry::findEvent(words[0]);
  if (!it) {
    std::cerr << "no such event: " << words[0] << "\n";
    return BadUsage;
  }
  std::cout << "PF" << it->Number << " " << it->Name << "\n"
            << it->Meaning << "\n";
  if (!it->Advice.empty())
    std::cout << it->Advice << "\n";
  return Success;
}

} // namespace peridotfall::tool
