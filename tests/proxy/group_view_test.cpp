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
    it.Born = born;
    return it;
  }
};

} // namespace

TEST_CASE_FIXTURE(GroupViewFixture,
                  "position for an age, takes the oldest young enough") {
  View.noteLead(Old, {1, 10}, Time.now());
  Time.advance(milliseconds(600));
  View.noteLead(Old, {1, 20}, Time.now());
  Time.advance(milliseconds(600));
  CHECK(View.positionFor(milliseconds(1'500), Time.now()) == Position{1, 10});
  CHECK(View.positionFor(milliseconds(800), Time.now()) == Position{1, 20});
  CHECK_FALSE(View.positionFor(milliseconds(500), Time.now()));
}

// Reads are refused as lagging for as long as the bound reaches back. The old
// primary's last records are not in its successor's log, and no replica of
// the successor ever holds them.
TEST_CASE_FIXTURE(GroupViewFixture,
                  "new leader, positions of the old one bound nothing") {
  View.noteLead(Old, {1, 158}, Time.now());
  Time.advance(milliseconds(100));
  View.noteLead(Next, {1, 115}, Time.now());
  CHECK(View.positionFor(milliseconds(1'500), Time.now()) == Position{1, 115});
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "answer of an older term, after a newer one, is ignored") {
  View.noteLead(Next, {2, 5}, Time.now());
  CHECK_FALSE(View.noteLead(Old, {1, 158}, Time.now()));
  CHECK(View.leader() == Next);
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "entry that claims to lead anew, is believed") {
  View.takeEntries({entry(Old, true, 4), entry(Next, false, 5)});
  CHECK(View.leader() == Old);
  View.takeEntries({entry(Old, true, 4), entry(Next, true, 9)});
  CHECK(View.leader() == Next);
}

// Writes go to a target that refuses them all. The old primary was cut from
// the store as it was replaced, and its entry goes on claiming the lead.
TEST_CASE_FIXTURE(GroupViewFixture,
                  "old claim, known not to lead, is not believed again") {
  View.takeEntries({entry(Old, true, 4), entry(Next, false, 5)});
  View.noteNotLeading(Old);
  View.takeEntries({entry(Old, true, 4), entry(Next, false, 6)});
  CHECK_FALSE(View.leader());
}

TEST_CASE_FIXTURE(GroupViewFixture,
                  "leader that started anew, leads nothing until it says so") {
  View.takeEntries({entry(Old, true, 4), entry(Next, false, 5)});
  View.takeEntries({entry(Old, false, 8, 2), entry(Next, false, 5)});
  CHECK_FALSE(View.leader());
}
