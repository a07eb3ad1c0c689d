#include "peridotfall/result.h"

#include <fmt/format.h>

namespace peridotfall {

std::string describe(const Finding &finding, const std::string &source) {
  return fmt::format("{}: {}: expected {}, found {}", source, finding.Place,
                     finding.Expected, finding.Found);
}

} // namespace peridotfall
