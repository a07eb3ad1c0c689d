#include "proxy/group_view.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct GroupViewFixture {
  ManualClock Time;
  GroupView View;
  TargetName Old{"old"};
  TargetName Next{"next"};

  static TargetEntry entry(const TargetName &name, bool primary,
                           std::uint64_t revision, std::uint64_t born = 1) {
    TargetEntry it;
    it.Name = name;
    it.ClaimsPrimary = primary;
    it.Revision = revision;
    it.StartId = born;
    return it;
  }
};

} // namespace

TEST_CASE_FIXTURE(GroupViewFixture,
                  "position for an age, is the oldest one recent enough") {
  View.noteLeading(Old, {1, 10}, Time.now());
  Time.advance(milliseconds(600));
  View.noteLeading(Old, {1, 20}, Time.now());
  Time.advance(milliseconds(600));
  CHECK(View.positionFor(milliseconds(1'500), Time.now()) == Position{1, 10});
  CHECK(View.positionFor(milliseconds(800), Time.now()) == Position{1, 20});
  CHECK_FALSE(View.positionFor(milliseconds(500), Time.now()));
}

// The old primary's last records may be missing from the new primary's log, so
// no replica ever reaches their positions. If these still applied, reads would
// be refused as lagging for the whole staleness bound.
TEST_CASE_FIXTURE(GroupViewFixture,
                  "new leader, positions of the old one are discarded") {
  View.noteLeading(Old, {1, 158}, Time.now());
  Time.advance(milliseconds(100));
  View.noteLeading(Next, {1, 115}, Time.now());
  CHECK(View.positionFor(milliseconds(1'500), Time.now()) == Position{1, 115});
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "answer of an older term, after a newer one, is ignored") {
  View.noteLeading(Next, {2, 5}, Time.now());
  CHECK_FALSE(View.noteLeading(Old, {1, 158}, Time.now()));
  CHECK(View.leader() == Next);
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "entry newly claims to lead, becomes the leader") {
  View.updateEntries({entry(Old, true, 4), entry(Next, false, 5)});
  CHECK(View.leader() == Old);
  View.updateEntries({entry(Old, true, 4), entry(Next, true, 9)});
  CHECK(View.leader() == Next);
}

// An old primary that was partitioned from the store when it was replaced still
// claims to lead in its entry. Writes must not be sent to it: it refuses them.
TEST_CASE_FIXTURE(GroupViewFixture,
                  "old claim of a target known not to lead, is ignored") {
  View.updateEntries({entry(Old, true, 4), entry(Next, false, 5)});
  View.noteNotLeading(Old);
  View.updateEntries({entry(Old, true, 4), entry(Next, false, 6)});
  CHECK_FALSE(View.leader());
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "leader restarted, does not lead until it claims to") {
  View.updateEntries({entry(Old, true, 4), entry(Next, false, 5)});
  View.updateEntries({entry(Old, false, 8, 2), entry(Next, false, 5)});
  CHECK_FALSE(View.leader());
}
