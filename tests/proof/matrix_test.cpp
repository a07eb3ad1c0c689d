#include "proof/matrix.h"

#include <doctest/doctest.h>

using namespace peridotfall::proof;

namespace {

constexpr std::uint64_t Seed = 1;
// CI runs a sample; scripts/fault-matrix.sh runs every cell. Both strides are
// coprime to the numbers of steps and locations, so that the sample covers all.
constexpr std::size_t SingleStride = 67;
constexpr std::size_t PairStride = 199;

void checkSample(const std::vector<Cell> &cells, std::size_t stride) {
  for (std::size_t n = 0; n < cells.size(); n += stride) {
    auto result = runCell(cells[n], Seed);
    auto text = describe(cells[n]) + ": " + describe(result);
    CHECK_MESSAGE(result.Violations.empty(), text);
    CHECK_MESSAGE((result.Ran || !result.Impossible.empty()), text);
  }
}

} // namespace

// Guards against violations under one fault that is injected as a request, a
// change of primary, a configuration change or a shutdown reaches a step.
TEST_CASE("fault matrix, sample of single faults, has no violation") {
  checkSample(singleCells(), SingleStride);
}

// Guards against violations under two faults injected at the same time.
TEST_CASE("fault matrix, sample of pairs, has no violation") {
  checkSample(pairCells(), PairStride);
}

TEST_CASE("fault matrix, each cell that cannot be run, gives its reason") {
  for (const auto &it : singleCells())
    if (!whyImpossible(it.Faults.front()).empty())
      CHECK_FALSE(runCell(it, Seed).Ran);
}

// Guards against unconfirmed reads at a replaced primary. A session's write had
// an unknown outcome and survived; the owner was paused and resumes with the
// old primary in its view. A read there misses the write, and the caller would
// order again.
TEST_CASE("fault matrix, frozen owner of a replaced primary, reads nothing "
          "unconfirmed") {
  Cell cell{{{FaultKind::Freeze, FaultLocation::Owner}}, Step::Nominated};
  Safeguards without;
  without.ReadsConfirmed = false;
  constexpr std::uint64_t FailingSeed = 61;
  constexpr std::uint64_t FormerlyFailingSeed = 6;
  CHECK_FALSE(runCell(cell, FailingSeed, without).Violations.empty());
  CHECK(runCell(cell, FailingSeed).Violations.empty());
  CHECK(runCell(cell, FormerlyFailingSeed).Violations.empty());
  CHECK(runCell(cell, Seed).Violations.empty());
}
