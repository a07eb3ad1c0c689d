// Fuzzes the parser of an operator's questionnaire answers.

#include "fuzz.h"
#include "peridotfall/questionnaire.h"

void peridotfall::fuzz::runOne(const std::string &bytes) {
  auto it = generateConfiguration(bytes);
  if (!it) {
    require(!it.error().empty());
    return;
  }
  auto again = parseConfiguration(writeConfiguration(it.value()));
  require(again && again.value() == it.value());
}
