#include "proxy/own_record.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::proxy;
using std::chrono::milliseconds;

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

// The VM was restarted and its wall clock had gone back, so the new incarnation
// is below that of the previous process. Other daemons would ignore its reports
// and consider it missing.
TEST_CASE_FIXTURE(OwnRecordFixture,
                  "previous process had a higher incarnation, it is exceeded") {
  CHECK(Record.handleListed(90));
  CHECK(Record.incarnation() == 91);
  CHECK_FALSE(Record.handleListed(90));
}

TEST_CASE_FIXTURE(OwnRecordFixture, "own write listed, incarnation is kept") {
  write(true);
  CHECK_FALSE(Record.handleListed(70));
  CHECK(Record.incarnation() == 70);
}

// The object of a daemon that was partitioned for long was removed. The daemon
// must write it again once it reads that, so that others find it.
TEST_CASE_FIXTURE(OwnRecordFixture, "own record removed, is written again") {
  write(true);
  Time.advance(limits::OwnRecordRetryPause);
  CHECK_FALSE(Record.isDue(true, Time.now()));
  CHECK_FALSE(Record.handleListed(std::nullopt));
  CHECK(Record.isDue(true, Time.now()));
}

// Guards against a daemon that is lost to the others.
TEST_CASE_FIXTURE(OwnRecordFixture,
                  "own record overwritten, is written again with the same "
                  "incarnation") {
  struct {
    std::uint64_t Listed;
    bool IsOwn;
  } cases[] = {{70, false}, {90, true}, {60, true}};
  for (const auto &it : cases) {
    CAPTURE(it.Listed);
    write(true);
    CHECK_FALSE(Record.handleListed(it.Listed, it.IsOwn));
    // The list may be older than the write.
    CHECK_FALSE(Record.isDue(true, Time.now() + milliseconds(4'980)));
    Time.advance(limits::OwnRecordListLag);
    REQUIRE(Record.isDue(true, Time.now()));
    write(false);
    CHECK_FALSE(Record.handleListed(it.Listed, it.IsOwn));
    Time.advance(limits::OwnRecordRetryPause);
    REQUIRE(Record.isDue(true, Time.now()));
    write(true);
    CHECK_FALSE(Record.handleListed(70, true));
    Time.advance(limits::OwnRecordListLag);
    CHECK_FALSE(Record.isDue(true, Time.now()));
    CHECK(Record.incarnation() == 70);
  }
}

TEST_CASE_FIXTURE(OwnRecordFixture, "write failed, is repeated after a pause") {
  write(false);
  CHECK_FALSE(Record.isDue(true, Time.now()));
  Time.advance(limits::OwnRecordRetryPause);
  CHECK(Record.isDue(true, Time.now()));
}
