// Fuzzes the parser of the settings file that the platform writes.

#include "fuzz.h"
#include "settings.h"

using namespace peridotfall;

void fuzz::runOne(const std::string &bytes) {
  auto it = adapter::parseSettings(bytes);
  if (!it) {
    require(!it.error().empty());
    return;
  }
  require(it.value().InnerPort != 0);
  require(it.value().MetricsPort != it.value().InnerPort);
}
