// Fuzzes the parser of a stored configuration.

#include "fuzz.h"
#include "peridotfall/configuration.h"

void peridotfall::fuzz::runOne(const std::string &bytes) {
  auto it = parseConfiguration(bytes);
  if (!it) {
    require(!it.error().empty());
    return;
  }
  auto again = parseConfiguration(writeConfiguration(it.value()));
  require(again && again.value() == it.value());
}
