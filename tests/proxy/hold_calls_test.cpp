#include "failover_fixture.h"
#include "messages/lease.h"
#include "proxy/hold_calls.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Calls that the other daemon handles at once; its answer may come later.
struct DirectCalls final : CallPort {
  HoldCalls *Other = nullptr;

  void call(const std::string &, const char *path, std::string body,
            const http::AnswerLimits &, http::OnResult done) override {
    if (!Other) {
      done(http::TransportError{http::Failure::MaybeRun, "silent"});
      return;
    }
    http::Request request;
    request.Path = path;
    request.Body = std::move(body);
    CHECK(Other->handle(request,
                        [done](http::Response it) { done(std::move(it)); }));
  }
};

/// The failover leader, and a daemon "other" that has just started.
struct HoldCallsFixture : SynchronousGroupFixture {
  struct Daemon : FailoverControllerFixture {
    Daemon() {
      TargetGroups.applySettings({{GroupName("ledger"), {16, true}}});
    }
  };

  const GroupName Ledger{"ledger"};
  DirectCalls Links;
  Daemon Other;
  HoldCalls Here{Links, TargetGroups, Failover};
  HoldCalls There{Links, Other.TargetGroups, Other.Failover};
  WriteHold Hold{Ledger, {11, 1}, TargetName("p"), false};
  std::optional<bool> Confirmed;

  HoldCallsFixture() { TargetGroups.handleHolds({1, {}}); }
  void hold() {
    Links.Other = &There;
    Here.hold("other", Hold, [this](bool it) { Confirmed = it; });
  }
  void query() {
    Links.Other = &Here;
    There.query("leader");
  }
};

} // namespace

TEST_CASE_FIXTURE(HoldCallsFixture,
                  "daemon told of a hold, it holds the writes and confirms") {
  hold();
  CHECK(Confirmed == true);
  CHECK(Other.TargetGroups.holds() == std::vector{Hold});
  Hold.Ends = true;
  hold();
  CHECK(Other.TargetGroups.holds().empty());
}

// Guards against positions that are compared before the last commit under way
// is answered or cut off.
TEST_CASE_FIXTURE(HoldCallsFixture,
                  "commit under way at the daemon, it confirms afterwards") {
  Other.TargetGroups.handleHolds({1, {}});
  auto caller = Other.session("orders");
  Other.send(caller, StatementKind::Write, "WRITE a 1");
  Other.completeHandshakes();
  hold();
  CHECK_FALSE(Confirmed);
  Other.pass(proxy::limits::WriteDrain + milliseconds(20));
  CHECK(Confirmed == true);
  CHECK(Other.last(caller).Error->Kind == ErrorKind::InDoubt);
}

TEST_CASE_FIXTURE(HoldCallsFixture,
                  "later hold in force at the daemon, an earlier one is not "
                  "confirmed") {
  hold();
  Hold.Id = {10, 7};
  hold();
  CHECK(Confirmed == false);
}

TEST_CASE_FIXTURE(HoldCallsFixture, "daemon silent, it does not confirm") {
  Here.hold("other", Hold, [this](bool it) { Confirmed = it; });
  CHECK(Confirmed == false);
}

// Guards against writes of a daemon that starts during a change of primary.
TEST_CASE_FIXTURE(HoldCallsFixture,
                  "started daemon asks, it holds what the leader holds") {
  losePrimary();
  run(milliseconds(60));
  query();
  CHECK(Other.TargetGroups.knowsHolds());
  CHECK(Other.TargetGroups.holds() == TargetGroups.holds());
  CHECK(Other.TargetGroups.holds().size() == 1);
}

TEST_CASE_FIXTURE(HoldCallsFixture,
                  "asked daemon is not the leader, holds stay unknown") {
  Failover.handleRecord(LeadershipRecord{VmName("else"), 3, 90, 154}, 6);
  query();
  CHECK_FALSE(Other.TargetGroups.knowsHolds());
}

TEST_CASE_FIXTURE(HoldCallsFixture, "malformed messages, are rejected") {
  for (const char *path :
       {messages::HoldWritesPath, messages::HeldWritesPath}) {
    http::Request request;
    request.Path = path;
    request.Body = "\xff";
    int status = 0;
    CHECK(Here.handle(request,
                      [&](const http::Response &it) { status = it.Status; }));
    CHECK(status == 400);
  }
}
