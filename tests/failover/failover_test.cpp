#include "failover/simulation.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace peridotfall;
using namespace peridotfall::simulation;

namespace {

constexpr std::chrono::seconds SettleTime{5};
constexpr std::chrono::seconds LongTime{10};
/// Time after which a leaving primary may get no new work.
constexpr milliseconds LeavingLimit{3'000};
/// Time until daemons that own no target of the group know the new primary.
constexpr milliseconds PropagationTime{500};

struct FailoverFixture {
  Simulation Sim{7};

  FailoverFixture() { Sim.runFor(SettleTime); }

  bool leads(std::size_t n) const { return Sim.leader() == n; }
  bool replacedWithin(Duration span) {
    return Sim.runUntil(
        [&] { return Sim.leader() != 0 && Sim.leader() != Domains; }, span);
  }
  /// Resets an owner's state as a restart of its daemon does.
  void restartOwner(std::size_t n) {
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
        LongTime);
  }
};

template <class T> bool isA(const Action &it) {
  return std::holds_alternative<T>(it);
}

} // namespace

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, without failures, publishes successors once and "
                  "keeps its primary") {
  REQUIRE(Sim.Platform.Object);
  CHECK(Sim.Platform.Writes == 1);
  CHECK(Sim.Platform.Object->Primary == Sim.Targets[0].Name);
  CHECK(Sim.Platform.Object->Successors.size() == 12);
  CHECK(leads(0));
  CHECK(count<PutObject>() == 1);
  CHECK(count<CampaignBegun>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, primary killed, gets a new primary and publishes "
                  "it") {
  // Writes fail for less than two seconds: both other owners miss the primary,
  // and rank 0 fences two targets and promotes one.
  Sim.Targets[0].Alive = false;
  CHECK(replacedWithin(std::chrono::seconds(2)));
  Sim.runFor(SettleTime);
  CHECK(Sim.Promotions == 1);
  CHECK(Sim.Platform.Object->InTerm ==
        Sim.Targets[Sim.leader()].Report.CurrentTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, primary frozen, changes as fast, and the old one "
                  "follows after resuming") {
  // The primary is paused for 5 s and resumes as primary of its old term. Its
  // record that no replica has is dropped when it follows the new primary.
  Sim.Targets[0].FrozenUntil = Sim.now() + std::chrono::seconds(5);
  Sim.Targets[0].Log.emplace_back(1, 99);
  CHECK(replacedWithin(std::chrono::seconds(2)));
  Sim.runFor(LongTime);
  CHECK_FALSE(Sim.Targets[0].Report.IsPrimary);
  CHECK(Sim.Targets[0].Log == Sim.Targets[Sim.leader()].Log);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, platform down, fails over three times with terms "
                  "assigned in advance") {
  // Each primary in turn dies and returns. The terms come from the object that
  // was read before the outage, so callers do not notice it.
  Sim.Platform.Down = true;
  for (int n = 0; n < 3; ++n) {
    auto old = Sim.leader();
    Sim.Targets[old].Alive = false;
    CHECK(Sim.runUntil(
        [&] { return Sim.leader() != old && Sim.leader() != Domains; },
        std::chrono::seconds(3)));
    Sim.runFor(std::chrono::seconds(1));
    Sim.Targets[old].Alive = true;
    Sim.runFor(SettleTime);
    CHECK(Sim.Targets[old].Report.Following == Sim.Targets[Sim.leader()].Name);
  }
  CHECK(Sim.Platform.Object->InTerm == 1);
  Sim.Platform.Down = false;
  Sim.runFor(std::chrono::seconds(60));
  CHECK(Sim.Platform.Object->InTerm ==
        Sim.Targets[Sim.leader()].Report.CurrentTerm);
  CHECK_FALSE(Sim.TwoPrimariesInTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group object, answer lost, is read back and no term is "
                  "assigned twice") {
  // The platform stores the object of a new primary, and its answer is lost.
  // The owner reads it back before it writes again, so one write suffices.
  auto before = Sim.Platform.Object->Successors;
  Sim.Platform.LoseAnswers = 1;
  Sim.Targets[0].Alive = false;
  REQUIRE(replacedWithin(std::chrono::seconds(2)));
  Sim.runFor(std::chrono::seconds(20));
  CHECK(Sim.Platform.Writes == 2);
  for (const auto &it : Sim.Platform.Object->Successors)
    for (const auto &old : before)
      CHECK((it.InTerm != old.InTerm || it.Nominee == old.Nominee));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "group, two candidates at once, ends with one primary") {
  // Two owners find at the same time that the primary does not answer, and both
  // start a campaign: the higher term wins, and no term has two primaries.
  Sim.Targets[0].Alive = false;
  Sim.runFor(milliseconds(550));
  for (std::size_t n : {1, 2}) {
    Sim.Owners[n].Group.AgreedSince = Sim.now() - std::chrono::seconds(3);
    Sim.Owners[n].Group.HighestAtAgreement = 100;
  }
  CHECK(replacedWithin(std::chrono::seconds(4)));
  Sim.runFor(LongTime);
  CHECK(Sim.leader() != Domains);
  CHECK_FALSE(Sim.TwoPrimariesInTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "candidate, frozen between fencing and promotion, is "
                  "replaced and refused after resuming") {
  // Rank 0 sends its fences and is paused for 6 s. The next rank promotes in a
  // later term; the target refuses the promotion of the resumed candidate.
  Sim.Targets[0].Alive = false;
  REQUIRE(runUntilAction(isA<Fence>));
  auto candidate = Sim.History.back().first;
  Sim.Owners[candidate].FrozenUntil = Sim.now() + std::chrono::seconds(6);
  CHECK(replacedWithin(std::chrono::seconds(4)));
  auto term = Sim.Targets[Sim.leader()].Report.CurrentTerm;
  Sim.runFor(LongTime);
  CHECK(Sim.Targets[Sim.leader()].Report.CurrentTerm == term);
  CHECK_FALSE(Sim.TwoPrimariesInTerm);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "nominee, found behind a fenced replica, is replaced by "
                  "it") {
  // t1 is the nominee by the owners' last observations, but when both are
  // fenced, t2 has a write that t1 lacks and that may be acknowledged. The
  // campaign continues in a term of t2.
  Sim.Targets[0].Alive = false;
  REQUIRE(runUntilAction(isA<Fence>));
  Sim.Targets[2].Log.emplace_back(1, 42);
  REQUIRE(replacedWithin(std::chrono::seconds(3)));
  Sim.runFor(SettleTime);
  CHECK(leads(2));
  CHECK(count<CampaignBegun>() == 2);
  for (auto n : {1, 2})
    CHECK(Sim.Targets[n].Log[1] == std::pair<Term, std::uint64_t>(1, 42));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "owner, alone in missing the primary, changes nothing") {
  // One failure domain is cut off from the primary's. Its owner finds that the
  // third one's still reaches the primary, and does not act.
  Sim.CutLinks[0][1] = true;
  Sim.runFor(LongTime);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture, "owner, cut off from all, fences nothing") {
  // If the owner fenced its own target, the only one that it reaches, the
  // target would refuse its primary's log, in a term in which no target can be
  // promoted.
  for (std::size_t n : {0, 1})
    Sim.CutLinks[2][n] = true;
  Sim.runFor(LongTime);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "owner of all targets by its own membership list, cut off, "
                  "fences nothing") {
  // Its list contains no other live daemon, so its own vote is a majority. It
  // reaches only one target and must not fence that.
  std::vector<OwnedTarget> all;
  for (const auto &it : Sim.Targets)
    all.push_back({it.Name, Sim.Owners[2].Vm});
  setTargets(Sim.Owners[2].Group, all, Sim.now());
  for (std::size_t n : {0, 1})
    Sim.CutLinks[2][n] = true;
  Sim.runFor(LongTime);
  CHECK(leads(0));
  CHECK(count<Fence>() == 0);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, below a majority in a higher term, is replaced at "
                  "once") {
  // A candidate fenced two replicas and failed. The old primary answers every
  // probe, but no write can be confirmed, so it counts as missed.
  for (auto n : {1, 2}) {
    Sim.Targets[n].Report.CurrentTerm = 3;
    Sim.Targets[n].Report.Following = TargetName();
  }
  CHECK(Sim.runUntil([&] { return Sim.leader() != Domains; },
                     milliseconds(1'500)));
  CHECK(Sim.Targets[Sim.leader()].Report.CurrentTerm > 3);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "nominee, longer log of an older term, is replaced by the "
                  "target with the newer term") {
  // One replica has a long unconfirmed tail of term 1, the other the records of
  // the last primary. Comparing by length alone would lose those.
  Sim.Targets[0].Alive = false;
  REQUIRE(replacedWithin(std::chrono::seconds(2)));
  Sim.Targets[0].Alive = true;
  Sim.runFor(SettleTime);
  auto old = Sim.leader();
  Sim.Targets[old].Alive = false;
  Sim.History.clear();
  REQUIRE(runUntilAction(isA<Fence>));
  const auto &running =
      Sim.Owners[Sim.History.back().first].Group.RunningCampaign;
  REQUIRE(running);
  auto behind = (old + 1) % Domains;
  if (Sim.Targets[behind].Name != running->Candidate.Nominee)
    behind = (old + 2) % Domains;
  auto ahead = Domains - old - behind;
  Sim.Targets[behind].Log.resize(1);
  for (std::uint64_t n = 0; n < 9; ++n)
    Sim.Targets[behind].Log.emplace_back(1, 50 + n);
  REQUIRE(Sim.runUntil(
      [&] { return Sim.leader() != old && Sim.leader() != Domains; },
      LongTime));
  CHECK(leads(ahead));
}

TEST_CASE("owner, paused for longer than the suspicion time, probes again "
          "before it acts") {
  // After the pause, its own missing answers and a late view of a peer would be
  // two votes of three. Both are from before the pause and must not count.
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
  auto more = onPeerView(group, VmName("3"), observationsOf(group, clock.now()),
                         clock.now());
  out.insert(out.end(), more.begin(), more.end());
  CHECK(std::none_of(out.begin(), out.end(), isA<Fence>));
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "replica, fenced by a candidate that failed, follows its "
                  "primary again") {
  // The replica would refuse its primary's log indefinitely. The primary is
  // promoted again in a higher term, and the replica follows.
  Sim.Targets[2].Report.CurrentTerm = 3;
  Sim.Targets[2].Report.Following = TargetName();
  Sim.runFor(LongTime);
  CHECK(leads(0));
  CHECK(Sim.Targets[0].Report.CurrentTerm > 3);
  CHECK(Sim.Targets[2].Report.Following == Sim.Targets[0].Name);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving, hands over with its whole log") {
  // Writes are held until a replica has caught up, so the old primary's last
  // write is in the new one's log.
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  REQUIRE(replacedWithin(std::chrono::seconds(3)));
  CHECK(count<HoldWrites>() >= 1);
  CHECK(Sim.Targets[Sim.leader()].Log[1].second == 5);
  Sim.runFor(SettleTime);
  CHECK(Sim.Promotions == 1);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving with its replicas behind, waits until one "
                  "has caught up") {
  // Replication takes 200 ms. If the old primary were fenced at once, it would
  // have the highest log and be promoted again.
  Sim.ReplicationLag = milliseconds(200);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  CHECK(replacedWithin(std::chrono::seconds(1)));
  CHECK(Sim.Targets[Sim.leader()].Log[1].second == 5);
}

TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving while another owner still writes, is "
                  "replaced within the limit") {
  // The target's owner changes as it leaves. For 0.6 s daemons that do not know
  // the new owner send writes through others, which the hold does not cover.
  // Whenever the old primary is fenced, it is ahead of the replica and is
  // promoted again. Each attempt uses up terms assigned in advance, and no new
  // ones can be assigned while the platform is down. Callers must not notice.
  constexpr milliseconds Unsettled{600};
  Sim.ReplicationLag = milliseconds(20);
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
  CHECK(replacedWithin(LeavingLimit - Unsettled));
}

// Guards against a leaving primary that stays without a reported reason.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, no replica answers, reports it once") {
  for (std::size_t n : {1, 2})
    Sim.CutLinks[0][n] = true;
  Sim.runFor(milliseconds(450));
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(milliseconds(400));
  CHECK(failedFor(HandoverEnd::NoReplica) == 1);
}

// Guards against a leaving primary that stays without a reported reason.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, replicas lagging, ends with the reason") {
  Sim.ReplicationLag = std::chrono::seconds(2);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  Sim.runFor(std::chrono::seconds(1));
  CHECK(failedFor(HandoverEnd::ReplicaBehind) > 0);
}

// Guards against a leaving primary that is not replaced because no term was
// assigned when it began to leave.
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
                         LeavingLimit - PropagationTime));
    }
}

// Guards against a leaving primary that is not replaced because its new owner
// could read no term while the platform did not answer.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as the owners change and the platform does "
                  "not answer, is replaced within the limit") {
  for (std::size_t n = 0; n < Domains; ++n)
    restartOwner(n);
  Sim.Platform.Down = true;
  Sim.Targets[0].Report.Leaving = true;
  constexpr milliseconds Silent{1'000};
  Sim.runFor(Silent);
  Sim.Platform.Down = false;
  CHECK(replacedWithin(LeavingLimit - Silent - PropagationTime));
}

// Guards against a leaving primary that is not replaced because its new owner
// can read no term while the platform is down.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as its owner changes and the platform is "
                  "down, is replaced with terms that another owner knows") {
  Sim.Platform.Down = true;
  restartOwner(0);
  Sim.Targets[0].Report.Leaving = true;
  CHECK(replacedWithin(std::chrono::seconds(1)));
}

// Guards against a leaving primary that is not replaced because the replica
// first selected fails, although another one has caught up.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving as a replica dies, is replaced by the "
                  "other in the first hold") {
  Sim.Targets[0].Report.Leaving = true;
  Sim.Targets[1].Alive = false;
  CHECK(replacedWithin(std::chrono::seconds(1)));
  CHECK(leads(2));
}

// Guards against a leaving primary that is not replaced for seconds after a
// hold that was too short.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving with both replicas frozen for a moment, is "
                  "replaced within the limit") {
  constexpr milliseconds Frozen{800};
  for (std::size_t n : {1, 2})
    Sim.Targets[n].FrozenUntil = Sim.now() + Frozen;
  Sim.Targets[0].Report.Leaving = true;
  CHECK(replacedWithin(LeavingLimit - PropagationTime));
}

// Guards against an owner that goes on holding writes and replaces no primary
// after the leaving one got another owner during a hand-over.
TEST_CASE_FIXTURE(FailoverFixture,
                  "hand-over, primary's owner changes, ends with the hold") {
  Sim.ReplicationLag = std::chrono::seconds(2);
  REQUIRE(Sim.write(0, 5));
  Sim.Targets[0].Report.Leaving = true;
  REQUIRE(runUntilAction(isA<HoldWrites>));
  auto &group = Sim.Owners[0].Group;
  REQUIRE(group.RunningHandover);
  setTargets(group,
             {{Sim.Targets[0].Name, Sim.Owners[1].Vm},
              {Sim.Targets[1].Name, Sim.Owners[1].Vm},
              {Sim.Targets[2].Name, Sim.Owners[0].Vm}},
             Sim.now());
  Sim.runFor(std::chrono::seconds(1));
  CHECK_FALSE(group.RunningHandover);
  CHECK(failedFor(HandoverEnd::Interrupted) == 1);
}

// Guards against an owner that goes on requesting a term for a primary that it
// no longer owns.
TEST_CASE_FIXTURE(FailoverFixture,
                  "primary, leaving without a term and moved to another owner, "
                  "stops the old owner's requests for a term") {
  Sim.Platform.Down = true;
  for (std::size_t n = 0; n < Domains; ++n)
    restartOwner(n);
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

// Guards against continuous writes to the platform when no write can give the
// replicas of a leaving primary a usable term.
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

// Guards against holding writes nearly all the time while no replica can catch
// up for longer than the limit.
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
  // Targets and owners are paused repeatedly for just less than the limit; no
  // pause may cause a change of primary.
  Timings limits;
  Simulation sim(11, Thaali, limits);
  auto longestPause = pauseLimit(limits, milliseconds(20));
  CHECK(longestPause == milliseconds(400));
  constexpr int Rounds = 360;
  for (int n = 0; n < Rounds; ++n) {
    sim.runFor(std::chrono::seconds(9) + milliseconds(sim.below(1'000)));
    auto until = sim.now() + longestPause - milliseconds(1);
    if (n % 2 == 0)
      sim.Targets[sim.below(Domains)].FrozenUntil = until;
    else
      sim.Owners[sim.below(Domains)].FrozenUntil = until;
  }
  CHECK(sim.Promotions == 0);
}

TEST_CASE("group object, written and parsed, is the same; terms that do not "
          "ascend are findings") {
  GroupObject it{"id-1", 4, TargetName("a"), {{5, TargetName("b")}}};
  auto parsed = parseGroupObject(writeGroupObject(it));
  REQUIRE(parsed);
  CHECK(parsed.value() == it);
  it.Successors.push_back({5, TargetName("c")});
  auto bad = parseGroupObject(writeGroupObject(it));
  REQUIRE_FALSE(bad);
  CHECK(bad.error().front().Place == "/successors/1/term");
}
