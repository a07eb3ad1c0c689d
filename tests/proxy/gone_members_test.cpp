#include "proxy/gone_members.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct GoneMembersFixture {
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

TEST_CASE_FIXTURE(GoneMembersFixture, "daemon missing for long, is removed") {
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).empty());
  Time.advance(limits::DaemonGoneAfter);
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()) ==
        std::vector<VmName>{VmName("b")});
}

TEST_CASE_FIXTURE(GoneMembersFixture,
                  "daemon seen in between, its time starts again") {
  Gone.update(Listed, {member("a")}, true, Time.now());
  Time.advance(limits::DaemonGoneAfter / 2);
  Gone.update(Listed, {member("a"), member("b")}, true, Time.now());
  Time.advance(limits::DaemonGoneAfter / 2);
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).empty());
}

TEST_CASE_FIXTURE(GoneMembersFixture,
                  "daemon missing for long, only the failover "
                  "leader removes it") {
  Gone.update(Listed, {member("a")}, false, Time.now());
  Time.advance(limits::DaemonGoneAfter);
  CHECK(Gone.update(Listed, {member("a")}, false, Time.now()).empty());
  // Counted from when it was first missing, also before becoming leader.
  CHECK(Gone.update(Listed, {member("a")}, true, Time.now()).size() == 1);
}
