#include "proxy/gone_members.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct GoneFixture {
  ManualClock Time;
  GoneMembers Gone;
  std::vector<VmName> Listed{VmName("a"), VmName("b")};

  static Member member(const char *vm) {
    Member it;
    it.Vm = VmName(vm);
    return it;
  }
};

} // namespace

TEST_CASE_FIXTURE(GoneFixture, "daemon missing for long, is to be removed") {
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).empty());
  Time.advance(limits::DaemonGone);
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()) ==
        std::vector<VmName>{VmName("b")});
}

TEST_CASE_FIXTURE(GoneFixture, "daemon heard in between, counts anew") {
  Gone.update(Listed, {member("a")}, true, Time.now());
  Time.advance(limits::DaemonGone / 2);
  Gone.update(Listed, {member("a"), member("b")}, true, Time.now());
  Time.advance(limits::DaemonGone / 2);
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).empty());
}

TEST_CASE_FIXTURE(GoneFixture, "daemon missing for long, another holds the "
                               "duty, is left to that one") {
  Gone.update(Listed, {member("a")}, false, Time.now());
  Time.advance(limits::DaemonGone);
  CHECK(Gone.update(Listed, {member("a")}, false, Time.now()).empty());
  // The time counts from when it was missed, not from when the duty was taken.
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).size() == 1);
}
