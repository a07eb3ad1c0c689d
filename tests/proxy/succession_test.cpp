#include "fixture.h"
#include "proxy/succession.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

struct FakeCalls final : SuccessionPort {
  struct Promotion {
    TargetName Target;
    std::uint64_t Number = 0;

    auto operator<=>(const Promotion &) const = default;
  };

  void writeRecord(const DutyRecord &record, std::uint64_t revision) override {
    Written = record;
    WrittenOver = revision;
  }
  void readRecord() override { ++Reads; }
  void promote(const GroupName &, const TargetName &target,
               std::uint64_t number) override {
    Promotions.push_back({target, number});
  }
  /// \return the promotions, each one once: a silent call is made again.
  std::vector<Promotion> choices() const {
    auto out = Promotions;
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
  }
  void readTargets() override {}
  void askPeers(const GroupName &) override { ++Asked; }

  std::optional<DutyRecord> Written;
  std::uint64_t WrittenOver = 0;
  unsigned Reads = 0;
  unsigned Asked = 0;
  std::vector<Promotion> Promotions;
};

/// The daemon "vm" holds the duty; the primary "p" and the replicas are played
/// by the test.
struct SuccessionFixture : ProxyFixture {
  static constexpr std::uint64_t Incarnation = 7;

  FakeCalls Calls;
  Succession Duty{{VmName("vm"), DomainName("press"), RegionName("tartu")},
                  Incarnation,
                  All,
                  Calls,
                  Counts,
                  Time};
  bool PrimaryAnswers = true;
  std::map<std::string, Position> Received{{"r", {InTerm, 90}},
                                           {"s", {InTerm, 95}}};
  std::set<std::string> Silent;

  static Member member(const char *vm, std::uint64_t incarnation) {
    Member it;
    it.Vm = VmName(vm);
    it.Incarnation = incarnation;
    return it;
  }
  void hold(std::uint64_t first = 11) {
    Duty.takeMembers({member("vm", Incarnation)});
    Duty.takeRecord(DutyRecord{VmName("vm"), Incarnation, first, first + 64},
                    5);
  }
  /// The other daemons and the store answer.
  void hear(const PeerEvidence &evidence) {
    Duty.takeEvidence(GroupName("ledger"), evidence);
    Duty.takeTargetsRead();
  }
  Answer answerOf(const std::string &target, const Statement &it) {
    if (it.Kind == StatementKind::Status) {
      auto out = success(it, TransactionState::Idle);
      out.Status = TargetStatus{false, InTerm, Received[target]};
      return out;
    }
    bool leads = target == "p";
    if (it.Kind == StatementKind::Begin && !leads)
      return failure(ErrorKind::ReadOnly, TransactionState::Idle);
    bool begins = it.Kind == StatementKind::Begin;
    return success(it,
                   begins ? TransactionState::Open : TransactionState::Idle);
  }
  bool answers(const std::string &target) {
    return !Silent.contains(target) && (target != "p" || PrimaryAnswers);
  }
  /// Targets that answer do so at once; the primary's connections are refused
  /// when it does not.
  void playTargets() {
    auto opening = std::exchange(Links.Opening, {});
    for (auto id : opening) {
      auto target = Links.Lines.at(id).Target;
      bool up = answers(target.Value);
      All.withPools(target, [&](TargetPool &pool) {
        if (up)
          pool.opened(id);
        else
          pool.openFailed(id, std::nullopt);
      });
    }
    for (const char *target : {"p", "r", "s"})
      while (answers(target)) {
        auto id = busyAt(target);
        if (!id)
          break;
        answer(*id, answerOf(target, Links.Lines.at(*id).Unanswered.front()));
      }
  }
  void run(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      playTargets();
      All.use(GroupName("ledger"));
      All.tick();
      Duty.tick();
      playTargets();
    }
  }
  void crashPrimary() {
    PrimaryAnswers = false;
    std::vector<ConnectionId> open;
    for (const auto &[id, it] : Links.Lines)
      if (it.Open && it.Target.Value == "p")
        open.push_back(id);
    for (auto id : open)
      All.withPools(TargetName("p"),
                    [&](TargetPool &pool) { pool.closed(id); });
  }
  /// The primary crashes under a holder of the duty, which then suspects it.
  void missPrimary() {
    hold();
    run(milliseconds(1'000));
    crashPrimary();
    run(milliseconds(680));
  }
};

} // namespace

// Callers cannot write. The primary refuses connections, no other daemon
// reaches it, and the replica that has received most takes its place.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "primary dead, replica with most records is promoted") {
  hold();
  run(milliseconds(1'000));
  CHECK(Calls.Asked == 0);
  crashPrimary();
  run(milliseconds(680));
  CHECK(Calls.Asked == 1);
  CHECK(Calls.Promotions.empty());
  hear({8, 0});
  run(milliseconds(100));
  CHECK(Calls.Promotions ==
        std::vector<FakeCalls::Promotion>{{TargetName("s"), 11}});
}

// Writes fail for the time from the primary's death to its successor's first
// answer; which part of that took how long is counted.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "primary replaced, each part of the gap is counted") {
  missPrimary();
  hear({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.Promotions.size() == 1);
  Time.advance(milliseconds(40));
  Duty.takePromoted(GroupName("ledger"), CallOutcome::Done);
  Entries.at(TargetName("s")).ClaimsPrimary = true;
  Entries.at(TargetName("s")).Revision = 9;
  All.takeTargets(Entries);
  run(milliseconds(100));
  auto text = writeText(Counts, {});
  for (const char *part : {"notice", "evidence", "choice", "call", "lead"}) {
    CAPTURE(part);
    CHECK(text.find("peridotfall_primary_change_seconds_count{part=\"" +
                    std::string(part) + "\"} 1\n") != std::string::npos);
  }
}

TEST_CASE_FIXTURE(SuccessionFixture,
                  "primary missed, most others reach it, it is not replaced") {
  missPrimary();
  hear({8, 6});
  run(milliseconds(400));
  CHECK(Calls.Promotions.empty());
}

// A call without an answer may be carried out seconds later. The choice that
// follows it carries a higher number, so that the late one is refused.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "promotion without an answer, next choice has a new number") {
  missPrimary();
  hear({8, 0});
  run(milliseconds(100));
  Duty.takePromoted(GroupName("ledger"), CallOutcome::Unknown);
  REQUIRE(Calls.Promotions.size() == 2);
  CHECK(Calls.Promotions[0] == Calls.Promotions[1]);
  Duty.takePromoted(GroupName("ledger"), CallOutcome::Unknown);
  run(milliseconds(240));
  hear({8, 0});
  run(milliseconds(300));
  REQUIRE(Calls.choices().size() == 2);
  CHECK(Calls.choices()[1] == FakeCalls::Promotion{TargetName("r"), 12});
}

// Callers cannot write. The platform's answer to the promotion is lost; asked
// again beside the silent call, it answers at once. Whichever of the two it
// carries out, number and target are the same.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "promotion silent, is asked for again beside it") {
  missPrimary();
  hear({8, 0});
  run(milliseconds(100));
  REQUIRE(Calls.Promotions.size() == 1);
  run(milliseconds(160));
  REQUIRE(Calls.Promotions.size() == 2);
  CHECK(Calls.Promotions[0] == Calls.Promotions[1]);
  run(milliseconds(1'000));
  CHECK(Calls.Promotions.size() == proxy::limits::MostPromotionCalls);
  // One that ends without an answer leaves the others to be waited for.
  Duty.takePromoted(GroupName("ledger"), CallOutcome::Unknown);
  Duty.takePromoted(GroupName("ledger"), CallOutcome::Done);
  run(milliseconds(500));
  for (const auto &it : Calls.Promotions)
    CHECK(it == Calls.Promotions[0]);
}

// Callers lose what the new primary has acknowledged. The duty's new holder
// was cut off while another promoted "s"; "s" is silent for it still, and the
// old primary is the only one that answers.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "one of two replicas silent, choice waits for it") {
  hold();
  run(milliseconds(1'000));
  crashPrimary();
  Silent.insert("s");
  run(milliseconds(680));
  hear({8, 0});
  run(milliseconds(600));
  CHECK(Calls.Promotions.empty());
  run(milliseconds(600));
  REQUIRE(Calls.choices().size() == 1);
  CHECK(Calls.choices()[0].Target.Value == "r");
}

// Callers lose acknowledged records. A daemon that was cut off takes the duty
// as the cut heals, and acts on a primary that it has missed all the while.
// Commits of the group are acknowledged once one replica has them. The replica
// that has the last ones is silent for two seconds after the primary's death;
// were the other one promoted, acknowledged records would be gone.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "synchronous replica silent for long, choice waits for it") {
  All.takeSettings({{GroupName("ledger"), {16, true}}});
  hold();
  run(milliseconds(1'000));
  Silent = {"s"};
  crashPrimary();
  run(milliseconds(680));
  hear({8, 0});
  run(milliseconds(2'000));
  CHECK(Calls.Promotions.empty());
  Silent.clear();
  run(milliseconds(700));
  CHECK(Calls.choices() ==
        std::vector<FakeCalls::Promotion>{{TargetName("s"), 11}});
}

// A holder of the duty that was frozen goes on as if no time had passed, while
// another daemon has taken the duty. It asks who holds it before anything else.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "holder frozen, reads the record when it wakes") {
  hold();
  run(milliseconds(200));
  auto before = Calls.Reads;
  Time.advance(std::chrono::seconds(4));
  Duty.tick();
  CHECK(Calls.Reads == before + 1);
}

TEST_CASE_FIXTURE(SuccessionFixture,
                  "duty just taken, primary is suspected only from then on") {
  Duty.takeMembers({member("vm", Incarnation)});
  crashPrimary();
  run(milliseconds(3'000));
  hold();
  run(milliseconds(400));
  CHECK(Calls.Asked == 0);
  run(milliseconds(400));
  CHECK(Calls.Asked == 1);
}

// Two daemons promote in turn. One that is cut from the store and from the
// holder cannot tell whether the holder lives; it claims the duty only when
// the store has answered and the holder is still missed a while after that.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "holder missed, duty is claimed a lease after the store "
                  "was read") {
  DutyRecord other{VmName("other"), 3, 1, 64};
  Duty.takeRecord(other, 9);
  Duty.takeMembers({member("vm", Incarnation)});
  run(milliseconds(5'000));
  CHECK_FALSE(Calls.Written);
  CHECK(Calls.Reads >= 1);
  Duty.takeRecord(other, 9);
  run(milliseconds(600));
  CHECK_FALSE(Calls.Written);
  run(milliseconds(1'000));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->First == 65);
  CHECK(Calls.WrittenOver == 9);
}

// All daemons are killed at once, and a primary fails just after they are back.
// The record names the process that was killed; the one that follows it on the
// same VM knows that it has ended, and does not wait for its lease.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "holder started anew, takes its duty back at once") {
  Duty.takeRecord(DutyRecord{VmName("vm"), Incarnation - 1, 1, 64}, 9);
  Duty.takeMembers({member("vm", Incarnation), member("other", 3)});
  run(milliseconds(40));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->Incarnation == Incarnation);
  CHECK(Calls.Written->First == 65);
  CHECK(Calls.WrittenOver == 9);
}

TEST_CASE_FIXTURE(SuccessionFixture,
                  "holder missed and heard again, duty is not claimed") {
  DutyRecord other{VmName("other"), 3, 1, 64};
  Duty.takeRecord(other, 9);
  Duty.takeMembers({member("vm", Incarnation)});
  run(milliseconds(4'000));
  Duty.takeRecord(other, 9);
  Duty.takeMembers({member("vm", Incarnation), member("other", 3)});
  run(milliseconds(4'000));
  CHECK_FALSE(Calls.Written);
}

TEST_CASE_FIXTURE(SuccessionFixture, "no record, duty is claimed at once") {
  Duty.takeRecord(std::nullopt, 0);
  Duty.takeMembers({member("vm", Incarnation)});
  run(milliseconds(100));
  REQUIRE(Calls.Written);
  CHECK(Calls.Written->First == 1);
  CHECK(Calls.WrittenOver == 0);
}

// Callers' writes wait until the hand-over; none is lost by it. The primary
// drains, and its successor must have received all that it has.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "primary leaving, promotion waits for a level replica") {
  hold();
  run(milliseconds(1'000));
  Entries.at(TargetName("p")).Leaving = true;
  All.takeTargets(Entries);
  run(milliseconds(400));
  CHECK(Calls.Promotions.empty());
  Received["s"] = Head;
  run(milliseconds(200));
  REQUIRE(Calls.Promotions.size() == 1);
  CHECK(Calls.Promotions[0].Target.Value == "s");
}

// The primary was replaced by another holder while this one was cut off. The
// list that is read before the decision names the new primary.
TEST_CASE_FIXTURE(SuccessionFixture,
                  "primary suspected, list names a new one, none is promoted") {
  missPrimary();
  REQUIRE(Calls.Asked == 1);
  Entries.at(TargetName("s")).ClaimsPrimary = true;
  Entries.at(TargetName("s")).Revision = 20;
  All.takeTargets(Entries);
  hear({8, 0});
  run(milliseconds(100));
  CHECK(Calls.Promotions.empty());
}
