#include "proof/matrix.h"

#include <doctest/doctest.h>

using namespace peridotfall::proof;

namespace {

constexpr std::uint64_t Seed = 1;
// CI runs a sample; scripts/fault-matrix.sh runs every cell. Both are prime to
// the number of steps and places, so that the sample goes through all.
constexpr std::size_t EverySingle = 67;
constexpr std::size_t EveryPair = 199;

void checkSample(const std::vector<Cell> &cells, std::size_t every) {
  for (std::size_t n = 0; n < cells.size(); n += every) {
    auto verdict = runCell(cells[n], Seed);
    auto text = describe(cells[n]) + ": " + describe(verdict);
    CHECK_MESSAGE(verdict.Violations.empty(), text);
    CHECK_MESSAGE((verdict.Ran || !verdict.Impossible.empty()), text);
  }
}

} // namespace

// One fault strikes as a request, a change of primary, a configuration or a
// shutdown passes a step; callers go on, and every promise is checked.
TEST_CASE("fault matrix, sample of single faults, breaks no promise") {
  checkSample(singleCells(), EverySingle);
}

// Two faults strike at the same moment.
TEST_CASE("fault matrix, sample of pairs, breaks no promise") {
  checkSample(pairCells(), EveryPair);
}

TEST_CASE("fault matrix, each cell that cannot be run, gives its reason") {
  for (const auto &it : singleCells())
    if (!whyImpossible(it.Faults.front()).empty())
      CHECK_FALSE(runCell(it, Seed).Ran);
}

// A session's write had an unknown outcome and survived. Its owner froze, and
// woke with the old primary as its view: read there without a confirmation,
// the session misses its write and would order again.
TEST_CASE("fault matrix, frozen owner of a replaced primary, reads nothing "
          "unconfirmed") {
  Cell cell{{{FaultKind::Freeze, FaultPlace::Owner}}, Step::Nominated};
  Safeguards without;
  without.ReadsConfirmed = false;
  constexpr std::uint64_t Shows = 61;
  constexpr std::uint64_t Showed = 6;
  CHECK_FALSE(runCell(cell, Shows, without).Violations.empty());
  CHECK(runCell(cell, Shows).Violations.empty());
  CHECK(runCell(cell, Showed).Violations.empty());
  CHECK(runCell(cell, Seed).Violations.empty());
}
