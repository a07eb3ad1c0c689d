/// \file
/// Interface between a fuzz target and the driver.

#ifndef PERIDOTFALL_FUZZ_FUZZ_H
#define PERIDOTFALL_FUZZ_FUZZ_H

#include <cstdlib>
#include <string>

namespace peridotfall::fuzz {

/// Defined by each fuzz target. Feeds one input to the parser. Aborts the
/// process if a property is violated.
void runOne(const std::string &bytes);

inline void require(bool condition) {
  if (!condition)
    std::abort();
}

} // namespace peridotfall::fuzz

#endif // PERIDOTFALL_FUZZ_FUZZ_H
