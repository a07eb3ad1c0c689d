// Fuzzes the reader of lists of which only a part can be read.

#include "fuzz.h"
#include "json.h"

using namespace peridotfall;

void fuzz::runOne(const std::string &bytes) {
  constexpr unsigned MaxLevels = 4;
  auto whole = adapter::parseJson(bytes);
  for (unsigned levels = 0; levels <= MaxLevels; ++levels) {
    auto it = adapter::parseReadable(bytes, levels);
    if (!whole.is_discarded())
      require(it == whole);
    // What was read can be written and read again.
    if (!it.is_discarded())
      require(!adapter::parseJson(it.dump()).is_discarded());
  }
}
