#include "proof/leaving_runs.h"

#include <doctest/doctest.h>

using namespace peridotfall::proof;

// Guards against a late second attempt to replace a leaving primary. The
// primary of a new group leaves while its owner shuts down; callers see
// neither. Daemons that do not know the new owner send writes through other
// daemons, past the hold, so the first attempt fails; the next must come within
// the limit.
TEST_CASE("safeguards, leaving primary of a new group, gets no new work after "
          "the limit") {
  constexpr milliseconds Before{1'500};
  for (std::uint64_t seed : {37, 43, 57, 79, 184})
    CHECK(runLeaving(seed, Before, &World::leave, true).empty());
}

// Guards against a leaving primary that still gets work because its group had
// not agreed on a term when it left.
TEST_CASE("safeguards, leaving primary of a group of any age, gets no new work "
          "after the limit") {
  for (int before : {250, 500, 800})
    for (std::uint64_t seed : {1, 2, 4})
      CHECK(
          runLeaving(seed, milliseconds(before), &World::leave, true).empty());
  for (std::uint64_t seed : {31, 46})
    CHECK(runLeaving(seed, milliseconds(950), &World::leave, true).empty());
}
