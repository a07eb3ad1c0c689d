#include "failover_fixture.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

// Callers cannot write while the group has no primary. The primary refuses
// connections, no other daemon reaches it, and the replica that has received
// most must be promoted.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "primary dead, replica with most records is promoted") {
  becomeLeader();
  run(milliseconds(1'000));
  CHECK(Calls.PeerQueries == 0);
  crashPrimary();
  run(milliseconds(680));
  CHECK(Calls.PeerQueries == 1);
  CHECK(Calls.Promotions.empty());
  reportFromPeers({8, 0});
  run(milliseconds(100));
  CHECK(Calls.Promotions ==
        std::vector<FakeCalls::Promotion>{{TargetName("s"), 11}});
}

// Writes fail from the primary's crash to the new primary's first answer. The
// duration of each part of that time is measured.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "primary replaced, each part of the outage is counted") {
  suspectPrimary();
  reportFromPeers({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.Promotions.size() == 1);
  Time.advance(milliseconds(40));
  Failover.handlePromoted(GroupName("ledger"), CallOutcome::Done);
  Entries.at(TargetName("s")).ClaimsPrimary = true;
  Entries.at(TargetName("s")).Revision = 9;
  TargetGroups.updateTargets(Entries);
  run(milliseconds(100));
  auto text = writeText(Metrics, {});
  for (const char *part : {"notice", "evidence", "choice", "call", "lead"}) {
    CAPTURE(part);
    CHECK(text.find("peridotfall_primary_change_seconds_count{part=\"" +
                    std::string(part) + "\"} 1\n") != std::string::npos);
  }
}

TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "primary unreachable here, most others reach it, it is "
                  "not replaced") {
  suspectPrimary();
  reportFromPeers({8, 6});
  run(milliseconds(400));
  CHECK(Calls.Promotions.empty());
}

// A call without an answer may be carried out seconds later. The next decision
// has a higher number, so that the late call is refused.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "promotion without an answer, next decision has a new "
                  "number") {
  suspectPrimary();
  reportFromPeers({8, 0});
  run(milliseconds(100));
  Failover.handlePromoted(GroupName("ledger"), CallOutcome::Unknown);
  REQUIRE(Calls.Promotions.size() == 2);
  CHECK(Calls.Promotions[0] == Calls.Promotions[1]);
  Failover.handlePromoted(GroupName("ledger"), CallOutcome::Unknown);
  run(milliseconds(240));
  reportFromPeers({8, 0});
  run(milliseconds(300));
  REQUIRE(Calls.choices().size() == 2);
  CHECK(Calls.choices()[1] == FakeCalls::Promotion{TargetName("r"), 12});
}

// The group has no primary while the platform's answer to the promotion is
// lost. The call is repeated in parallel with the same number and target, so
// the outcome is the same whichever is carried out.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "promotion without an answer, is repeated in parallel") {
  suspectPrimary();
  reportFromPeers({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.Promotions.size() == 1);
  run(milliseconds(160));
  REQUIRE(Calls.Promotions.size() == 2);
  CHECK(Calls.Promotions[0] == Calls.Promotions[1]);
  run(milliseconds(1'000));
  CHECK(Calls.Promotions.size() == proxy::limits::MaxPromotionCalls);
  // When one call times out, the answers of the others are still awaited.
  Failover.handlePromoted(GroupName("ledger"), CallOutcome::Unknown);
  Failover.handlePromoted(GroupName("ledger"), CallOutcome::Done);
  run(milliseconds(500));
  for (const auto &it : Calls.Promotions)
    CHECK(it == Calls.Promotions[0]);
}

// Guards against the loss of what a new primary has acknowledged. The new
// failover leader was partitioned while another one promoted "s", which it
// cannot reach yet. The old primary is the only target that answers.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "one of two replicas silent, promotion waits for it") {
  becomeLeader();
  run(milliseconds(1'000));
  crashPrimary();
  Silent.insert("s");
  run(milliseconds(680));
  reportFromPeers({8, 0});
  run(milliseconds(600));
  CHECK(Calls.Promotions.empty());
  run(milliseconds(600));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against the loss of acknowledged records. A daemon becomes failover
// leader when a partition ends, and replaces a primary that it has not reached
// during the partition. Commits are acknowledged once one replica has them, and
// the replica with the last ones is silent for two seconds after the primary's
// crash. Promoting the other replica would lose these records.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "synchronous replica silent for long, promotion waits for "
                  "it") {
  TargetGroups.applySettings({{GroupName("ledger"), {16, true}}});
  becomeLeader();
  run(milliseconds(1'000));
  Silent = {"s"};
  crashPrimary();
  run(milliseconds(680));
  reportFromPeers({8, 0});
  run(milliseconds(2'000));
  CHECK(Calls.Promotions.empty());
  Silent.clear();
  run(milliseconds(700));
  CHECK(Calls.choices() ==
        std::vector<FakeCalls::Promotion>{{TargetName("s"), 11}});
}

// A failover leader that was frozen may have been replaced by another daemon.
// It must read the record before it decides anything.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "leader frozen, reads the record when it resumes") {
  becomeLeader();
  run(milliseconds(200));
  auto before = Calls.Reads;
  Time.advance(std::chrono::seconds(4));
  Failover.tick();
  CHECK(Calls.Reads == before + 1);
}

TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "leadership just acquired, primary is suspected only from "
                  "then on") {
  Failover.updateMembers({member("vm", Incarnation)});
  crashPrimary();
  run(milliseconds(3'000));
  becomeLeader();
  run(milliseconds(400));
  CHECK(Calls.PeerQueries == 0);
  run(milliseconds(400));
  CHECK(Calls.PeerQueries == 1);
}

// Guards against two daemons promoting in turn. A daemon that is partitioned
// from the store and the leader cannot tell whether the leader is alive. It
// claims leadership only after the store has answered and the leader has still
// been missing for a time after that.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "leader missing, leadership is claimed only some time "
                  "after the store was read") {
  LeadershipRecord other{VmName("other"), 3, 1, 64};
  Failover.handleRecord(other, 9);
  Failover.updateMembers({member("vm", Incarnation)});
  run(milliseconds(5'000));
  CHECK_FALSE(Calls.Written);
  CHECK(Calls.Reads >= 1);
  Failover.handleRecord(other, 9);
  run(milliseconds(600));
  CHECK_FALSE(Calls.Written);
  run(milliseconds(1'000));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->First == 65);
  CHECK(Calls.WrittenOver == 9);
}

// All daemons are killed at once and a primary fails just after their restart.
// The record names a killed process. The next process on the same VM need not
// wait for the lease to expire.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "leader restarted, claims leadership again at once") {
  Failover.handleRecord(LeadershipRecord{VmName("vm"), Incarnation - 1, 1, 64},
                        9);
  Failover.updateMembers({member("vm", Incarnation), member("other", 3)});
  run(milliseconds(40));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->Incarnation == Incarnation);
  CHECK(Calls.Written->First == 65);
  CHECK(Calls.WrittenOver == 9);
}

// Guards against connections without end for an entry of another program.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "group that no configuration names, is left alone") {
  auto ghost = Entries.at(TargetName("r"));
  ghost.Name = TargetName("x");
  ghost.Group = GroupName("ghost");
  Entries[ghost.Name] = ghost;
  TargetGroups.updateTargets(Entries);
  auto opened = [this] {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Connections)
      n += it.Target.Value == "x";
    return n;
  };
  becomeLeader();
  run(milliseconds(8'000));
  CHECK(opened() == 0);
  CHECK(Calls.PeerQueries == 0);
  TargetGroups.applySettings({{ghost.Group, {}}});
  run(milliseconds(8'000));
  CHECK(opened() > 0);
  CHECK(Calls.PeerQueries > 0);
}

// Guards against failed primaries that nobody replaces.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "record of the leader overwritten, it claims leadership "
                  "again at once with higher numbers") {
  becomeLeader();
  Failover.handleUnreadableRecord({}, 100);
  CHECK_FALSE(Failover.isLeader());
  run(milliseconds(40));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->Holder.Value == "vm");
  CHECK(Calls.Written->First == 25'601);
  CHECK(Calls.WrittenOver == 100);
  Failover.handleWritten(CallOutcome::Done);
  Failover.handleRecord(Calls.Written, 101);
  CHECK(Failover.isLeader());
  run(milliseconds(960));
  crashPrimary();
  run(milliseconds(680));
  reportFromPeers({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Number == 25'601);
}

// Guards against two daemons promoting in turn.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "record of another leader overwritten, leadership is claimed "
                  "after the lease, and only if that one is missing") {
  for (bool isKnown : {true, false})
    for (bool isAlive : {true, false}) {
      CAPTURE(isKnown);
      CAPTURE(isAlive);
      FailoverController other{
          {VmName("vm"), DomainName("press"), RegionName("tartu")},
          Incarnation,
          TargetGroups,
          Calls,
          Metrics,
          Time};
      Calls.Written.reset();
      std::vector<Member> live{member("vm", Incarnation)};
      if (isAlive)
        live.push_back(member("leader", 3));
      other.updateMembers(live);
      if (isKnown)
        other.handleRecord(LeadershipRecord{VmName("leader"), 3, 1, 9'000}, 90);
      auto pass = [&](Duration span) {
        constexpr milliseconds Step{20};
        for (Duration done{}; done < span; done += Step) {
          Time.advance(Step);
          other.tick();
          other.handleUnreadableRecord({}, 100);
        }
      };
      pass(milliseconds(2'000));
      CHECK_FALSE(Calls.Written);
      pass(milliseconds(2'000));
      CHECK(Calls.Written.has_value() != (isKnown && isAlive));
      if (Calls.Written) {
        CHECK(Calls.Written->First == 25'601);
        CHECK(Calls.WrittenOver == 100);
      }
    }
}

// Guards against numbers that were granted before the record was removed.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "record removed, is created again with higher numbers") {
  becomeLeader();
  Failover.handleRecord(std::nullopt, 80);
  run(milliseconds(100));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->First == 20'481);
  CHECK(Calls.WrittenOver == 0);
}

// Guards against numbers that wrap around, or that no later record exceeds.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "record with numbers never granted, is replaced") {
  Failover.updateMembers({member("vm", Incarnation)});
  for (std::uint64_t last : {std::uint64_t{2'305}, std::uint64_t{1} << 53,
                             std::uint64_t{UINT64_MAX}}) {
    CAPTURE(last);
    Calls.Written.reset();
    Failover.handleRecord(LeadershipRecord{VmName("vm"), 7, 1, 64}, 8);
    Failover.handleRecord(LeadershipRecord{VmName("vm"), 7, 1, last}, 9);
    CHECK_FALSE(Failover.isLeader());
    run(milliseconds(600));
    REQUIRE(Calls.Written);
    CHECK(Calls.Written->First == 2'305);
    CHECK(Calls.WrittenOver == 9);
    Failover.handleWritten(CallOutcome::Done);
  }
}

TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "leader missing and seen again, leadership is not claimed") {
  LeadershipRecord other{VmName("other"), 3, 1, 64};
  Failover.handleRecord(other, 9);
  Failover.updateMembers({member("vm", Incarnation)});
  run(milliseconds(4'000));
  Failover.handleRecord(other, 9);
  Failover.updateMembers({member("vm", Incarnation), member("other", 3)});
  run(milliseconds(4'000));
  CHECK_FALSE(Calls.Written);
}

TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "no record, leadership is claimed at once") {
  Failover.handleRecord(std::nullopt, 0);
  Failover.updateMembers({member("vm", Incarnation)});
  run(milliseconds(100));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->First == 1);
  CHECK(Calls.WrittenOver == 0);
}

// No write may be lost in a planned hand-over. The primary is leaving, and the
// replica to be promoted must have received all of its records.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "primary leaving, promotion waits until a replica has "
                  "caught up") {
  becomeLeader();
  run(milliseconds(1'000));
  Entries.at(TargetName("p")).Leaving = true;
  TargetGroups.updateTargets(Entries);
  run(milliseconds(400));
  CHECK(Calls.Promotions.empty());
  Received["s"] = Head;
  run(milliseconds(200));
  REQUIRE(Calls.Promotions.size() == 1);
  CHECK(Calls.Promotions[0].Target.Value == "s");
}

// The failover leader of a large fleet has not used the group, so that it knows
// no position of its log. Records that only the leaving primary has would be
// lost.
TEST_CASE_FIXTURE(
    FailoverControllerFixture,
    "primary of a group not in use leaving, promotion waits until "
    "a replica has caught up") {
  becomeLeader();
  Entries.at(TargetName("p")).Leaving = true;
  TargetGroups.updateTargets(Entries);
  auto runUnused = [&](Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      TargetGroups.tick();
      Failover.tick();
      simulateTargets();
    }
  };
  runUnused(milliseconds(600));
  CHECK(Calls.Promotions.empty());
  Received["s"] = Head;
  runUnused(milliseconds(200));
  REQUIRE(Calls.Promotions.size() == 1);
  CHECK(Calls.Promotions[0].Target.Value == "s");
}

// Another leader replaced the primary while this daemon was partitioned. The
// list of targets that is read before the decision names the new primary.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "primary suspected, list names a new one, none is promoted") {
  suspectPrimary();
  REQUIRE(Calls.PeerQueries == 1);
  Entries.at(TargetName("s")).ClaimsPrimary = true;
  Entries.at(TargetName("s")).Revision = 20;
  TargetGroups.updateTargets(Entries);
  reportFromPeers({8, 0});
  run(milliseconds(100));
  CHECK(Calls.Promotions.empty());
}

// Guards against the loss of acknowledged commits: the only replica that has
// them is leaving, and another one has received nothing.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "replica with all commits leaving, it is promoted") {
  setLeaving("s");
  losePrimary();
  run(milliseconds(100));
  CHECK(Calls.choices() ==
        std::vector<FakeCalls::Promotion>{{TargetName("s"), 11}});
}

TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "two replicas with all commits, the one that stays is "
                  "promoted") {
  Received["r"] = Received["s"];
  setLeaving("s");
  losePrimary();
  run(milliseconds(100));
  CHECK(Calls.choices() ==
        std::vector<FakeCalls::Promotion>{{TargetName("r"), 11}});
}

// Guards against the loss of acknowledged commits: a limit of time does not
// make a replica have them.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "replica silent but listed, promotion waits as long as it "
                  "is listed") {
  Silent = {"s"};
  losePrimary();
  run(std::chrono::seconds(40));
  CHECK(Calls.Promotions.empty());
  removeEntry("s");
  run(milliseconds(700));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against the loss of acknowledged commits: the replica that had them
// ends shortly before the primary crashes, or after it.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "only replica with all commits ends, promotion waits for the "
                  "primary's return") {
  for (bool before : {true, false}) {
    CAPTURE(before);
    SynchronousGroupFixture it;
    it.setLeaving("s");
    if (before)
      it.removeEntry("s");
    it.crashPrimary();
    it.run(milliseconds(300));
    if (!before)
      it.removeEntry("s");
    it.run(milliseconds(400));
    it.reportFromPeers({8, 0});
    it.run(milliseconds(7'000));
    CHECK(it.Calls.Promotions.empty());
    it.PrimaryAnswers = true;
    it.run(milliseconds(3'000));
    CHECK(it.Calls.Promotions.empty());
  }
}

TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "only replica with all commits ends, the other one catches "
                  "up, it is promoted") {
  removeEntry("s");
  losePrimary();
  run(milliseconds(2'000));
  CHECK(Calls.Promotions.empty());
  Received["r"] = Head;
  run(milliseconds(300));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against a group that never has a primary again.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "primary and the only complete replica lost for good, the "
                  "other one is promoted in the end") {
  removeEntry("s");
  losePrimary();
  removeEntry("p");
  run(proxy::limits::PrimaryReturnTimeout + milliseconds(1'000));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against positions of different times: while one replica is silent,
// another one receives more.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "replica receives more during the wait for another, it is "
                  "promoted") {
  Silent = {"s"};
  losePrimary();
  run(milliseconds(1'000));
  Received["r"] = {InTerm, 97};
  run(milliseconds(500));
  Silent.clear();
  run(milliseconds(700));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against the promotion of a replica without the commits after the
// promotion of the one that has them has failed.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "promotion of the only complete replica fails, it is tried "
                  "again") {
  losePrimary();
  run(milliseconds(100));
  REQUIRE(Calls.choices().size() == 1);
  for (unsigned failures = 0; failures < 3; ++failures) {
    Failover.handlePromoted(GroupName("ledger"), CallOutcome::Refused);
    run(milliseconds(300));
    reportFromPeers({8, 0});
    run(milliseconds(300));
  }
  REQUIRE(Calls.choices().size() > 1);
  for (const auto &it : Calls.choices())
    CHECK(it.Target.Value == "s");
}

// Guards against the loss of acknowledged commits in a planned change: no
// replica catches up with the leaving primary.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "primary leaving, no replica has all its commits, none is "
                  "promoted") {
  setLeaving("p");
  run(std::chrono::seconds(5));
  CHECK(Calls.Promotions.empty());
  Received["r"] = Head;
  run(milliseconds(500));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Guards against a primary and a replica that leave and replace each other in
// turn.
TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "primary leaving, caught up replica leaving, it is not "
                  "promoted") {
  Received["s"] = Head;
  setLeaving("s");
  setLeaving("p");
  run(std::chrono::seconds(3));
  CHECK(Calls.Promotions.empty());
}

TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "primary crashes during a planned change, the leaving "
                  "replica with its commits is promoted") {
  setLeaving("s");
  setLeaving("p");
  run(milliseconds(1'000));
  crashPrimary();
  run(milliseconds(1'500));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "s");
}

TEST_CASE_FIXTURE(SynchronousGroupFixture,
                  "leaving primary ends, replica with most records is "
                  "promoted") {
  setLeaving("p");
  run(milliseconds(1'000));
  crashPrimary();
  removeEntry("p");
  for (unsigned n = 0; n < 10 && Calls.Promotions.empty(); ++n) {
    run(milliseconds(200));
    reportFromPeers({8, 0});
  }
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "s");
}

// Guards against a group without a primary until another daemon leads: all
// reserved numbers were used up while the store took no write.
TEST_CASE_FIXTURE(FailoverControllerFixture,
                  "all reserved numbers used up, more are reserved") {
  Failover.updateMembers({member("vm", Incarnation)});
  Failover.handleRecord(LeadershipRecord{VmName("vm"), Incarnation, 11, 11}, 5);
  run(milliseconds(1'000));
  // The store refuses, and the record is as it was.
  auto refuseWrite = [this] {
    if (!std::exchange(Calls.Written, std::nullopt))
      return;
    Failover.handleWritten(CallOutcome::Refused);
    Failover.handleRecord(LeadershipRecord{VmName("vm"), Incarnation, 11, 11},
                          5);
  };
  refuseWrite();
  crashPrimary();
  run(milliseconds(680));
  refuseWrite();
  reportFromPeers({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.choices().size() == 1);
  refuseWrite();
  run(milliseconds(1'000));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->Last > 11);
}

namespace {

/// The daemon "b" may have connections to the targets, too.
struct HoldingFixture : SynchronousGroupFixture {
  const GroupName Ledger{"ledger"};

  HoldingFixture() {
    auto here = member("vm", Incarnation);
    here.Region = RegionName("tartu");
    auto other = member("b", 3);
    other.Region = RegionName("tallinn");
    TargetGroups.applySettings({{Ledger, {2, true}}});
    TargetGroups.setMembers({here, other});
    TargetGroups.handleHolds({1, {}});
  }
  void confirm(const WriteHold &hold, bool confirmed = true) {
    Failover.handleHoldAnswer(Ledger, hold.Id, VmName("b"), confirmed);
  }
  const WriteHold &lastHold() {
    REQUIRE_FALSE(Calls.Holds.empty());
    CHECK(Calls.Holds.back().first.Value == "b");
    return Calls.Holds.back().second;
  }
  std::size_t queries() const {
    std::size_t n = 0;
    for (const auto &[id, it] : Links.Connections)
      n += static_cast<std::size_t>(
          std::count_if(it.Seen.begin(), it.Seen.end(), [](const auto &s) {
            return s.Kind == StatementKind::Status;
          }));
    return n;
  }
  /// The promotion is accepted, and the old primary is back before it takes
  /// effect.
  void promoteAndComeBack() {
    losePrimary();
    run(milliseconds(40));
    confirm(lastHold());
    run(milliseconds(100));
    REQUIRE(Calls.choices().size() == 1);
    Failover.handlePromoted(Ledger, CallOutcome::Done);
    PrimaryAnswers = true;
    run(milliseconds(600));
  }
};

} // namespace

// Guards against positions that are compared while a daemon still passes on
// commits of the old primary.
TEST_CASE_FIXTURE(HoldingFixture,
                  "primary lost, replicas are queried once the other daemon "
                  "holds the writes") {
  losePrimary();
  run(milliseconds(200));
  CHECK(lastHold().Target.Value == "p");
  CHECK(queries() == 0);
  confirm(lastHold(), false);
  run(milliseconds(140));
  CHECK(queries() == 0);
  confirm(lastHold());
  run(milliseconds(60));
  CHECK(queries() >= 2);
  CHECK(Calls.choices().size() == 1);
}

// Guards against a group without a primary for as long as a daemon is gone.
TEST_CASE_FIXTURE(HoldingFixture,
                  "other daemon does not answer, the change goes on after a "
                  "limited wait") {
  losePrimary();
  run(proxy::limits::HoldConfirmTimeout - milliseconds(40));
  CHECK(Calls.Promotions.empty());
  run(milliseconds(140));
  CHECK(Calls.choices().size() == 1);
}

TEST_CASE_FIXTURE(HoldingFixture,
                  "primary back before a promotion, the hold ends") {
  losePrimary();
  run(milliseconds(100));
  auto hold = lastHold();
  PrimaryAnswers = true;
  run(milliseconds(600));
  CHECK(Calls.Promotions.empty());
  CHECK(lastHold().Ends);
  CHECK(lastHold().Id == hold.Id);
  CHECK(TargetGroups.holds().empty());
}

// Guards against commits at the old primary between the promotion and the
// moment when it takes effect.
TEST_CASE_FIXTURE(HoldingFixture,
                  "primary back after a promotion, its writes stay held until "
                  "the successor leads") {
  promoteAndComeBack();
  auto *group = TargetGroups.find(Ledger);
  CHECK(TargetGroups.usablePrimary(*group, PrimaryUse::Read));
  CHECK_FALSE(TargetGroups.usablePrimary(*group, PrimaryUse::Write));
  CHECK_FALSE(lastHold().Ends);
  Entries.at(TargetName("s")).ClaimsPrimary = true;
  Entries.at(TargetName("s")).Revision = 20;
  TargetGroups.updateTargets(Entries);
  run(milliseconds(40));
  CHECK(lastHold().Ends);
  CHECK(TargetGroups.usablePrimary(*group, PrimaryUse::Write)->Value == "s");
}

// Guards against a promotion that takes effect after the writes go on.
TEST_CASE_FIXTURE(HoldingFixture,
                  "accepted promotion has no effect, writes go on once the "
                  "primary was ordered again") {
  promoteAndComeBack();
  run(proxy::limits::PromotionSettleTimeout);
  CHECK(lastHold().Target.empty());
  CHECK_FALSE(lastHold().Ends);
  confirm(lastHold());
  run(milliseconds(200));
  REQUIRE(Calls.choices().size() == 2);
  CHECK(Calls.choices()[1] == FakeCalls::Promotion{TargetName("p"), 12});
  Failover.handlePromoted(Ledger, CallOutcome::Done, 12);
  run(milliseconds(1'000));
  CHECK_FALSE(lastHold().Ends);
  run(proxy::limits::PromotionSettleTimeout);
  CHECK(lastHold().Ends);
  CHECK(TargetGroups.holds().empty());
}

// Guards against an order of a leader that has ended, which takes effect after
// the writes go on.
TEST_CASE_FIXTURE(HoldingFixture,
                  "earlier leader's hold known, the primary is ordered with a "
                  "new number") {
  bool isLocal = false;
  SUBCASE("by this daemon") { isLocal = true; }
  SUBCASE("by another daemon's query") {}
  WriteHold hold{Ledger, {2, 9}, TargetName("p"), false};
  if (isLocal)
    TargetGroups.hold(hold, nullptr);
  else
    CHECK(Failover.handleHoldQuery({0, {hold}}).Leadership == 11);
  run(milliseconds(60));
  CHECK(lastHold().Target.empty());
  CHECK(lastHold().Id > hold.Id);
  confirm(lastHold());
  run(milliseconds(100));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0] == FakeCalls::Promotion{TargetName("p"), 11});
}

TEST_CASE_FIXTURE(HoldingFixture,
                  "earlier leader's hold of a target that leads no more, no "
                  "order follows") {
  WriteHold hold{Ledger, {2, 9}, TargetName("r"), false};
  CHECK(Failover.handleHoldQuery({0, {hold}}).Holds.empty());
  run(milliseconds(400));
  CHECK(Calls.Holds.empty());
  CHECK(Calls.Promotions.empty());
}

TEST_CASE_FIXTURE(HoldingFixture,
                  "daemon asks for holds, only the failover leader knows "
                  "them") {
  losePrimary();
  run(milliseconds(40));
  auto kept = Failover.handleHoldQuery({});
  CHECK(kept.Leadership == 11);
  REQUIRE(kept.Holds.size() == 1);
  CHECK(kept.Holds[0] == lastHold());
  Failover.handleRecord(LeadershipRecord{VmName("b"), 3, 90, 154}, 6);
  CHECK(Failover.handleHoldQuery({}).Leadership == 0);
}

// Guards against positions that a leader compares after a suspension in which
// its hold has expired.
TEST_CASE_FIXTURE(HoldingFixture,
                  "leader suspended while it queries, writes are held again "
                  "and replicas queried anew") {
  Silent = {"s"};
  losePrimary();
  run(milliseconds(40));
  auto first = lastHold();
  confirm(first);
  run(milliseconds(200));
  Time.advance(std::chrono::seconds(9));
  Silent.clear();
  for (unsigned n = 0; n < 80 && lastHold().Id == first.Id; ++n) {
    run(milliseconds(20));
    reportFromPeers({8, 0});
  }
  CHECK(lastHold().Id > first.Id);
  CHECK(Calls.Promotions.empty());
  confirm(lastHold());
  run(milliseconds(200));
  CHECK(Calls.choices().size() == 1);
}
