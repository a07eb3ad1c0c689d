#include "telemetry/line_limiter.h"

#include <doctest/doctest.h>
#include <string>

using namespace peridotfall;
using namespace peridotfall::telemetry;

namespace {

struct LimiterFixture {
  ManualClock Time;
  LineLimiter Limiter{2};
};

} // namespace

// Every statement of an overloaded second is refused, a line each. The first
// ones are written, the others counted, and the other event is not touched.
TEST_CASE_FIXTURE(LimiterFixture,
                  "lines of one event, too many in a second, are left out") {
  unsigned written = 0;
  for (unsigned n = 0; n < 1'000; ++n)
    written += Limiter.admit(0, Time.now());
  CHECK(written == LinesPerSecond);
  CHECK(Limiter.admit(1, Time.now()));
  CHECK(Limiter.takeLeftOut(Time.now()).empty());
  Time.advance(std::chrono::seconds(1));
  CHECK(Limiter.takeLeftOut(Time.now()) ==
        std::vector<LeftOut>{{0, 1'000 - LinesPerSecond}});
  CHECK(Limiter.takeLeftOut(Time.now()).empty());
  CHECK(Limiter.admit(0, Time.now()));
}

TEST_CASE("sampled requests: many ids, about one in the set number") {
  unsigned sampled = 0;
  constexpr unsigned Ids = 64'000;
  for (unsigned n = 0; n < Ids; ++n)
    sampled += isSampled("request-" + std::to_string(n));
  CHECK(sampled > Ids / SampledOneIn / 2);
  CHECK(sampled < Ids / SampledOneIn * 2);
}
