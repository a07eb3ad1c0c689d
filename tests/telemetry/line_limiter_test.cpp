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

// Guards against a log flood under overload, when every statement is rejected
// with a line each. Lines beyond the limit are counted, and other events are
// not affected.
TEST_CASE_FIXTURE(LimiterFixture,
                  "lines of one event, beyond the limit, are suppressed") {
  unsigned written = 0;
  for (unsigned n = 0; n < 1'000; ++n)
    written += Limiter.admit(0, Time.now());
  CHECK(written == LinesPerSecond);
  CHECK(Limiter.admit(1, Time.now()));
  CHECK(Limiter.drainSuppressed(Time.now()).empty());
  Time.advance(std::chrono::seconds(1));
  CHECK(Limiter.drainSuppressed(Time.now()) ==
        std::vector<SuppressedLines>{{0, 1'000 - LinesPerSecond}});
  CHECK(Limiter.drainSuppressed(Time.now()).empty());
  CHECK(Limiter.admit(0, Time.now()));
}

TEST_CASE("sampled requests: many ids, about one in LogSampleOneIn") {
  unsigned sampled = 0;
  constexpr unsigned Ids = 64'000;
  for (unsigned n = 0; n < Ids; ++n)
    sampled += isSampled("request-" + std::to_string(n));
  CHECK(sampled > Ids / LogSampleOneIn / 2);
  CHECK(sampled < Ids / LogSampleOneIn * 2);
}
