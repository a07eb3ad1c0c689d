#include "proxy/own_record.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct OwnRecordFixture {
  ManualClock Time;
  OwnRecord Record{70};

  void write(bool done) {
    Record.writeBegun();
    Record.writeEnded(done, Time.now());
  }
};

} // namespace

TEST_CASE_FIXTURE(OwnRecordFixture,
                  "own record, list not read yet, is not written") {
  CHECK_FALSE(Record.isDue(false, Time.now()));
  CHECK(Record.isDue(true, Time.now()));
  Record.writeBegun();
  CHECK_FALSE(Record.isDue(true, Time.now()));
}

// Others see a daemon that never comes back: the VM was started anew and its
// time of day had gone back, so that its incarnation is below that of the
// process before it, and what it says of itself is ignored.
TEST_CASE_FIXTURE(OwnRecordFixture,
                  "forerunner with a higher incarnation, is followed") {
  CHECK(Record.takeListed(90));
  CHECK(Record.incarnation() == 91);
  CHECK_FALSE(Record.takeListed(90));
}

TEST_CASE_FIXTURE(OwnRecordFixture, "own write listed, keeps its incarnation") {
  write(true);
  CHECK_FALSE(Record.takeListed(70));
  CHECK(Record.incarnation() == 70);
}

// A daemon that was cut off for long was taken for gone, and its object was
// removed. Once it reads that, others must find it again.
TEST_CASE_FIXTURE(OwnRecordFixture, "own record removed, is written again") {
  write(true);
  Time.advance(limits::AnnouncePause);
  CHECK_FALSE(Record.isDue(true, Time.now()));
  CHECK_FALSE(Record.takeListed(std::nullopt));
  CHECK(Record.isDue(true, Time.now()));
}

TEST_CASE_FIXTURE(OwnRecordFixture, "write failed, is tried after a pause") {
  write(false);
  CHECK_FALSE(Record.isDue(true, Time.now()));
  Time.advance(limits::AnnouncePause);
  CHECK(Record.isDue(true, Time.now()));
}
