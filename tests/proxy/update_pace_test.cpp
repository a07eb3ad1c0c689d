#include "proxy/update_pace.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::milliseconds;

// Guards against VMs of a starting fleet that spend all their time on updates:
// each message changes a member, and the update takes longer the more there
// are.
TEST_CASE("update pace, an update due at every moment, takes a tenth of the "
          "time at any length") {
  for (milliseconds length :
       {milliseconds(1), milliseconds(8), milliseconds(20), milliseconds(50)}) {
    UpdatePace pace;
    TimePoint now{milliseconds(1'000)};
    auto begin = now;
    milliseconds updating{};
    while (now - begin < milliseconds(20'000)) {
      if (!pace.isDue(now)) {
        now += milliseconds(1);
        continue;
      }
      pace.ran(now, now + length);
      now += length;
      updating += length;
    }
    CHECK(updating <= milliseconds(2'050));
    CHECK(updating >= milliseconds(1'900));
  }
}

// Guards against members that are not updated for long after a VM was
// suspended in the middle of an update.
TEST_CASE("update pace, VM suspended during an update, next one is soon due") {
  UpdatePace pace;
  TimePoint began{milliseconds(1'000)};
  auto ended = began + milliseconds(8'000);
  pace.ran(began, ended);
  CHECK_FALSE(pace.isDue(ended));
  CHECK(pace.isDue(ended + milliseconds(500)));
}
