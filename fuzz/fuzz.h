/// \file
/// What a fuzz target gives to the driver.

#ifndef PERIDOTFALL_FUZZ_FUZZ_H
#define PERIDOTFALL_FUZZ_FUZZ_H

#include <cstdlib>
#include <string>

namespace peridotfall::fuzz {

/// Feeds one input to the parser. Ends the process where a property fails.
void runOne(const std::string &bytes);

inline void require(bool holds) {
  if (!holds)
    std::abort();
}

} // namespace peridotfall::fuzz

#endif // PERIDOTFALL_FUZZ_FUZZ_H
