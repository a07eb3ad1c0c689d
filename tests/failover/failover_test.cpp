#include "failover/simulation.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace peridotfall;
using namespace peridotfall::simulation;

namespace {

constexpr std::chrono::seconds Calm{5};
constexpr std::chrono::seconds Long{10};
/// After which a leaving primary may get no new work.
constexpr milliseconds LeavingLimit{3'000};
/// Until daemons that own no target of the group know the new primary.
constexpr milliseconds Spread{500};

struct FailoverFixture {
  Simulation Sim{7};

  FailoverFixture() { Sim.runFor(Calm); }

  bool leads(std::size_t n) const { return Sim.leader() == n; }
  bool newLeader(Duration span) {
    return Sim.runUntil(
        [&] { return Sim.leader() != 0 && Sim.leader() != Domains; }, span);
  }
  /// An owner begins anew, with nothing known.
  void renewOwner(std::size_t n) {
    auto &owner = Sim.Owners[n];
    std::vector<OwnedTarget> owned;
    for (const auto &it : owner.Group.Targets)
      owned.push_back({it.Name, it.Owner});
    owner.Group =
        makeGroup(owner.Group.Database, owner.Vm, owned, {}, 1, Sim.now());
  }
  std::size_t failedFor(HandoverEnd why) const {
    return static_cast<std::size_t>(std::count_if(
        Sim.History.begin(), Sim.History.end(), [&](const auto &it) {
          const auto *failed = std::get_if<HandoverFailed>(&it.second);
          return failed && failed->Why == why;
        }));
  }
  template <class T> std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        Sim.History.begin(), Sim.History.end(),
        [](const auto &it) { return std::holds_alternative<T>(it.second); }));
  }
  bool runUntilAction(const std::function<bool(const Action &)> &wanted) {
    return Sim.runUntil(
        [&] {
          return std::any_of(Sim.History.begin(), Sim.History.end(),
                             [&](const auto &it) { return wanted(it.second); });
        },
        Long);
  }
};

template <class T> bool isA(const Action &it) {
  return std::holds_alternative<T>(it);
}

} // namespace

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, in calm, publishes successors once and keeps its "
                  "primary") {
  REQUIRE(Sim.Platform.Object);
  CHECK(Sim.Platform.Writes == 1);
  CHECK(Sim.Platform.Object->Primary == Sim.Targets[0].Name);
  CHECK(Sim.Platform.Object->Successors.size() == 12);
  CHECK(leads(0));
  CHECK(count<PutObject>() == 1);
  CHECK(count<CampaignBegun>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, primary killed, is led by a replica and published") {
  // A caller's write fails for under two seconds, then goes on: both other
  // owners miss the primary, rank 0 fences two targets and promotes one.
  Sim.Targets[0].Alive = false;
  CHECK(newLeader(std::chrono::seconds(2)));
  Sim.runFor(Calm);
  CHECK(Sim.Promotions == 1);
  CHECK(Sim.Platform.Object->InTerm ==
        Sim.Targets[Sim.leader()].Report.CurrentTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, primary frozen, changes as fast, and the old one "
                  "follows on waking") {
  // The primary stops for 5 s and wakes believing that it leads. Its record
  // that no replica has is dropped as it follows the new one.
  Sim.Targets[0].FrozenUntil = Sim.now() + std::chrono::seconds(5);
  Sim.Targets[0].Log.emplace_back(1, 99);
  CHECK(newLeader(std::chrono::seconds(2)));
  Sim.runFor(Long);
  CHECK_FALSE(Sim.Targets[0].Report.IsPrimary);
  CHECK(Sim.Targets[0].Log == Sim.Targets[Sim.leader()].Log);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, platform down, fails over three times by terms "
                  "agreed beforehand") {
  // Callers notice nothing of the outage: each primary in turn dies and
  // comes back, and the terms come from the object read in calm times.
  Sim.Platform.Down = true;
  for (int n = 0; n < 3; ++n) {
    auto old = Sim.leader();
    Sim.Targets[old].Alive = false;
    CHECK(Sim.runUntil(
        [&] { return Sim.leader() != old && Sim.leader() != Domains; },
        std::chrono::seconds(3)));
    Sim.runFor(std::chrono::seconds(1));
    Sim.Targets[old].Alive = true;
    Sim.runFor(Calm);
    CHECK(Sim.Targets[old].Report.Following == Sim.Targets[Sim.leader()].Name);
  }
  CHECK(Sim.Platform.Object->InTerm == 1);
  Sim.Platform.Down = false;
  Sim.runFor(std::chrono::seconds(60));
  CHECK(Sim.Platform.Object->InTerm ==
        Sim.Targets[Sim.leader()].Report.CurrentTerm);
  CHECK_FALSE(Sim.TwoLedOneTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group object, answer lost, is read back and no term is "
                  "given twice") {
  // The platform stores the object of a new primary, and its answer is lost.
  // The owner reads it back before it writes again, so one write suffices.
  auto before = Sim.Platform.Object->Successors;
  Sim.Platform.LoseAnswers = 1;
  Sim.Targets[0].Alive = false;
  REQUIRE(newLeader(std::chrono::seconds(2)));
  Sim.runFor(std::chrono::seconds(20));
  CHECK(Sim.Platform.Writes == 2);
  for (const auto &it : Sim.Platform.Object->Successors)
    for (const auto &old : before)
      CHECK((it.InTerm != old.InTerm || it.Nominee == old.Nominee));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, two candidates at once, ends with one primary") {
  // Two owners are told at the same instant that the primary is dead, by
  // their own silence, and both act: the higher term wins, and no term is
  // led by two.
  Sim.Targets[0].Alive = false;
  Sim.runFor(milliseconds(550));
  for (std::size_t n : {1, 2}) {
    Sim.Owners[n].Group.AgreedSince = Sim.now() - std::chrono::seconds(3);
    Sim.Owners[n].Group.HighestAtAgreement = 100;
  }
  CHECK(newLeader(std::chrono::seconds(4)));
  Sim.runFor(Long);
  CHECK(Sim.leader() != Domains);
  CHECK_FALSE(Sim.TwoLedOneTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "candidate, frozen between fencing and promotion, is "
                  "replaced and refused on waking") {
  // Rank 0 fences and freezes for 6 s. The next rank promotes in a later
  // term; the sleeper wakes and its promotion is refused by the target.
  Sim.Targets[0].Alive = false;
  REQUIRE(runUntilAction(isA<Fence>));
  auto candidate = Sim.History.back().first;
  Sim.Owners[candidate].FrozenUntil = Sim.now() + std::chrono::seconds(6);
  CHECK(newLeader(std::chrono::seconds(4)));
  auto term = Sim.Targets[Sim.leader()].Report.CurrentTerm;
  Sim.runFor(Long);
  CHECK(Sim.Targets[Sim.leader()].Report.CurrentTerm == term);
  CHECK_FALSE(Sim.TwoLedOneTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "nominee, found behind a fenced replica, yields to it") {
  // The owners last saw t1 ahead; by the time both are fenced t2 has a write
  // that t1 lacks, and it may be an acknowledged one. t2's term is used.
  Sim.Targets[0].Alive = false;
  REQUIRE(runUntilAction(isA<Fence>));
  Sim.Targets[2].Log.emplace_back(1, 42);
  REQUIRE(newLeader(std::chrono::seconds(3)));
  Sim.runFor(Calm);
  CHECK(leads(2));
  CHECK(count<CampaignBegun>() == 2);
  for (auto n : {1, 2})
    CHECK(Sim.Targets[n].Log[1] == std::pair<Term, std::uint64_t>(1, 42));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "owner, alone in missing the primary, changes nothing") {
  // One failure domain is cut off from the primary's. Its owner finds that
  // the third still sees the primary, and does not act.
  Sim.Cuts[0][1] = true;
  Sim.runFor(Long);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture, "owner, cut off from all, fences nothing") {
  // Alone with its own target it could only harm: the target would refuse
  // its primary's log in a term that nobody can lead.
  for (std::size_t n : {0, 1})
    Sim.Cuts[2][n] = true;
  Sim.runFor(Long);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "owner of all targets by its own list, cut off, fences "
                  "nothing") {
  // Its list of live daemons shows nobody else, so its own silence is the
  // whole vote. It reaches one target only, and leaves that alone.
  std::vector<OwnedTarget> all;
  for (const auto &it : Sim.Targets)
    all.push_back({it.Name, Sim.Owners[2].Vm});
  setTargets(Sim.Owners[2].Group, all, Sim.now());
  for (std::size_t n : {0, 1})
    Sim.Cuts[2][n] = true;
  Sim.runFor(Long);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, below a majority in a higher term, is replaced at "
                  "once") {
  // A candidate fenced two replicas and vanished. The old primary answers
  // every probe, yet no write can be confirmed: it counts as missed.
  for (auto n : {1, 2}) {
    Sim.Targets[n].Report.CurrentTerm = 3;
    Sim.Targets[n].Report.Following = TargetName();
  }
  CHECK(Sim.runUntil([&] { return Sim.leader() != Domains; },
                     milliseconds(1'500)));
  CHECK(Sim.Targets[Sim.leader()].Report.CurrentTerm > 3);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "nominee, longer log of an older term, yields to the newer "
                  "term") {
  // A replica has a long tail of term 1 that nobody confirmed; the other has
  // the records of the last primary. Length alone would lose those.
  Sim.Targets[0].Alive = false;
  REQUIRE(newLeader(std::chrono::seconds(2)));
  Sim.Targets[0].Alive = true;
  Sim.runFor(Calm);
  auto old = Sim.leader();
  Sim.Targets[old].Alive = false;
  Sim.History.clear();
  REQUIRE(runUntilAction(isA<Fence>));
  const auto &running = Sim.Owners[Sim.History.back().first].Group.Running;
  REQUIRE(running);
  auto behind = (old + 1) % Domains;
  if (Sim.Targets[behind].Name != running->Candidate.Nominee)
    behind = (old + 2) % Domains;
  auto ahead = Domains - old - behind;
  Sim.Targets[behind].Log.resize(1);
  for (std::uint64_t n = 0; n < 9; ++n)
    Sim.Targets[behind].Log.emplace_back(1, 50 + n);
  REQUIRE(Sim.runUntil(
      [&] { return Sim.leader() != old && Sim.leader() != Domains; }, Long));
  CHECK(leads(ahead));
}

TEST_CASE("owner, paused past the suspicion, looks again before it acts") {
  // On waking its own silence and a late view of a peer would be two of
  // three. Both are from before the pause, so they count for nothing.
  ManualClock clock;
  std::vector<OwnedTarget> owned = {{TargetName("a"), VmName("1")},
                                    {TargetName("b"), VmName("2")},
                                    {TargetName("c"), VmName("3")}};
  auto group =
      makeGroup(DatabaseName("db"), VmName("2"), owned, {}, 1, clock.now());
  group.Object.Known =
      GroupObject{"id", 1, TargetName("a"), {{2, TargetName("b")}}};
  onTick(group, clock.now());
  for (const auto *name : {"a", "b", "c"})
    onStatus(group, TargetName(name),
             {1, std::string(name) == "a", {1, 1}, TargetName("a"), false},
             clock.now());
  clock.advance(std::chrono::seconds(3));
  auto out = onTick(group, clock.now());
  for (const auto *name : {"b", "c"}) // These answered first.
    onStatus(group, TargetName(name),
             {1, false, {1, 1}, TargetName("a"), false}, clock.now());
  auto more =
      onPeerView(group, VmName("3"), sightsOf(group, clock.now()), clock.now());
  out.insert(out.end(), more.begin(), more.end());
  CHECK(std::none_of(out.begin(), out.end(), isA<Fence>));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "replica, fenced by a candidate that gave up, is healed") {
  // Its primary's log would be refused for ever; the primary is promoted
  // again in a higher term, and the replica follows.
  Sim.Targets[2].Report.CurrentTerm = 3;
  Sim.Targets[2].Report.Following = TargetName();
  Sim.runFor(Long);
  CHECK(leads(0));
  CHECK(Sim.Targets[0].Report.CurrentTerm > 3);
  CHECK(Sim.Targets[2].Report.Following == Sim.Targets[0].Name);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving, hands over with its whole log") {
  // Writes are held for a moment, the replica draws level, and the old
  // primary's last write is in the new one's log.
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  REQUIRE(newLeader(std::chrono::seconds(3)));
  CHECK(count<HoldWrites>() >= 1);
  CHECK(Sim.Targets[Sim.leader()].Log[1].second == 5);
  Sim.runFor(Calm);
  CHECK(Sim.Promotions == 1);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving with its replicas behind, waits until one "
                  "is level") {
  // The log takes 200 ms to a replica. Fenced at once, the old primary would
  // be the highest and lead again, and the hand-over would begin anew.
  Sim.ShipLag = milliseconds(200);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  CHECK(newLeader(std::chrono::seconds(1)));
  CHECK(Sim.Targets[Sim.leader()].Log[1].second == 5);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving while another owner still writes, is "
                  "replaced within the limit") {
  // Callers see nothing. The target changes its owner as it leaves, and for
  // 0.6 s daemons that do not know the new one send writes by others, which
  // the hold does not reach. So the old primary has more than the replica
  // each time it is fenced, and leads again. Each try uses up terms that were
  // agreed beforehand, and no new ones come while the platform is away.
  constexpr milliseconds Unsettled{600};
  Sim.ShipLag = milliseconds(20);
  Sim.Platform.Down = true;
  Sim.Targets[0].Report.Leaving = true;
  auto settled = Sim.now() + Unsettled;
  std::size_t begun = 0;
  while (Sim.now() < settled) {
    auto before = std::exchange(begun, count<CampaignBegun>());
    if (begun != before)
      Sim.write(0, begun);
    Sim.runFor(std::chrono::microseconds(50));
  }
  CHECK(count<TermsExhausted>() == 0);
  CHECK(newLeader(LeavingLimit - Unsettled));
}

// Guards against a leaving primary that stays without a word why.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, no replica answers, tells so once") {
  for (std::size_t n : {1, 2})
    Sim.Cuts[0][n] = true;
  Sim.runFor(milliseconds(450));
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(milliseconds(400));
  CHECK(failedFor(HandoverEnd::NoReplica) == 1);
}

// Guards against a leaving primary that stays without a word why.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, replica that lags, ends with the reason") {
  Sim.ShipLag = std::chrono::seconds(2);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(std::chrono::seconds(1));
  CHECK(failedFor(HandoverEnd::ReplicaBehind) > 0);
}

// Guards against a leaving primary that keeps its work since no term was agreed
// when it left.
TEST_CASE("primary, leaving at any age of its group, is replaced within the "
          "limit") {
  constexpr milliseconds Step{50};
  constexpr std::uint64_t Seeds = 4;
  for (std::uint64_t seed = 1; seed <= Seeds; ++seed)
    for (milliseconds age{50}; age <= milliseconds(2'000); age += Step) {
      CAPTURE(seed);
      CAPTURE(age.count());
      Simulation sim(seed);
      sim.runFor(age);
      sim.Targets[0].Report.Leaving = true;
      CHECK(sim.runUntil([&] { return sim.leader() % Domains != 0; },
                         LeavingLimit - Spread));
    }
}

// Guards against a leaving primary that keeps its work since its new owner has
// read no term while the platform was silent.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as its owners change and the platform is "
                  "silent, is replaced within the limit") {
  for (std::size_t n = 0; n < Domains; ++n)
    renewOwner(n);
  Sim.Platform.Down = true;
  Sim.Targets[0].Report.Leaving = true;
  constexpr milliseconds Silent{1'000};
  Sim.runFor(Silent);
  Sim.Platform.Down = false;
  CHECK(newLeader(LeavingLimit - Silent - Spread));
}

// Guards against a leaving primary that keeps its work since its new owner can
// read no term while the platform is down.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as its owner changes and the platform is "
                  "down, is replaced by terms that another owner knows") {
  Sim.Platform.Down = true;
  renewOwner(0);
  Sim.Targets[0].Report.Leaving = true;
  CHECK(newLeader(std::chrono::seconds(1)));
}

// Guards against a leaving primary that keeps its work since the replica first
// chosen fails, though another one is level.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as a replica dies, is replaced by the "
                  "other in the first hold") {
  Sim.Targets[0].Report.Leaving = true;
  Sim.Targets[1].Alive = false;
  CHECK(newLeader(std::chrono::seconds(1)));
  CHECK(leads(2));
}

// Guards against a leaving primary that keeps its work for seconds after a hold
// that was too short.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving with both replicas frozen for a moment, is "
                  "replaced within the limit") {
  constexpr milliseconds Frozen{800};
  for (std::size_t n : {1, 2})
    Sim.Targets[n].FrozenUntil = Sim.now() + Frozen;
  Sim.Targets[0].Report.Leaving = true;
  CHECK(newLeader(LeavingLimit - Spread));
}

// Guards against an owner that holds writes and replaces no primary any more,
// since the leaving one got another owner during a hand-over.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, primary's owner changes, ends with the hold") {
  Sim.ShipLag = std::chrono::seconds(2);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  REQUIRE(runUntilAction(isA<HoldWrites>));
  auto &group = Sim.Owners[0].Group;
  REQUIRE(group.Leaving);
  setTargets(group,
             {{Sim.Targets[0].Name, Sim.Owners[1].Vm},
              {Sim.Targets[1].Name, Sim.Owners[1].Vm},
              {Sim.Targets[2].Name, Sim.Owners[0].Vm}},
             Sim.now());
  Sim.runFor(std::chrono::seconds(1));
  CHECK_FALSE(group.Leaving);
  CHECK(failedFor(HandoverEnd::Interrupted) == 1);
}

// Guards against an owner that goes on asking for a term for a primary that it
// owns no more.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary without a term, leaving and given to another owner, "
                  "is asked for no more") {
  Sim.Platform.Down = true;
  for (std::size_t n = 0; n < Domains; ++n)
    renewOwner(n);
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(milliseconds(500));
  auto &group = Sim.Owners[0].Group;
  REQUIRE(failedFor(HandoverEnd::NoTerm) == 1);
  setTargets(group,
             {{Sim.Targets[0].Name, Sim.Owners[1].Vm},
              {Sim.Targets[1].Name, Sim.Owners[1].Vm},
              {Sim.Targets[2].Name, Sim.Owners[0].Vm}},
             Sim.now());
  Sim.runFor(milliseconds(100));
  CHECK_FALSE(group.HandoverBlocked);
}

// Guards against a platform that is written to without a pause, since no write
// gives a leaving primary's replicas a term.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving below a fenced replica's term, writes the "
                  "object with pauses") {
  constexpr Term FarAhead = 50;
  Sim.Targets[2].Report.CurrentTerm = FarAhead;
  Sim.Targets[0].Report.Leaving = true;
  Sim.History.clear();
  Sim.runFor(std::chrono::seconds(1));
  auto writes =
      std::count_if(Sim.History.begin(), Sim.History.end(), [](const auto &it) {
        return it.first == 0 && isA<PutObject>(it.second);
      });
  CHECK(writes <= 4);
}

// Guards against writes that are held nearly always while no replica can draw
// level for longer than the limit.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving with both replicas frozen for long, holds "
                  "few writes after the limit") {
  for (std::size_t n : {1, 2})
    Sim.Targets[n].FrozenUntil = Sim.now() + std::chrono::minutes(1);
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(LeavingLimit + std::chrono::seconds(1));
  auto before = count<HoldWrites>();
  Sim.runFor(std::chrono::seconds(30));
  CHECK(count<HoldWrites>() - before <= 20);
}

TEST_CASE("group, an hour with jitter and pauses under the limit, keeps its "
          "primary") {
  // Targets and owners stop for just less than the limit, again and again;
  // no caller may notice a change of primary.
  Timings limits;
  Simulation sim(11, Thaali, limits);
  auto most = pauseLimit(limits, milliseconds(20));
  CHECK(most == milliseconds(400));
  constexpr int Rounds = 360;
  for (int n = 0; n < Rounds; ++n) {
    sim.runFor(std::chrono::seconds(9) + milliseconds(sim.below(1'000)));
    auto until = sim.now() + most - milliseconds(1);
    if (n % 2 == 0)
      sim.Targets[sim.below(Domains)].FrozenUntil = until;
    else
      sim.Owners[sim.below(Domains)].FrozenUntil = until;
  }
  CHECK(sim.Promotions == 0);
}

TEST_CASE("group object, written and parsed, is the same; terms that fall are "
          "findings") {
  GroupObject it{"id-1", 4, TargetName("a"), {{5, TargetName("b")}}};
  auto parsed = parseGroupObject(writeGroupObject(it));
  REQUIRE(parsed);
  CHECK(parsed.value() == it);
  it.Successors.push_back({5, TargetName("c")});
  auto bad = parseGroupObject(writeGroupObject(it));
  REQUIRE_FALSE(bad);
  CHECK(bad.error().front().Place == "/successors/1/term");
}
