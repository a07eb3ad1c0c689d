#include "peridotfall/membership.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peridotfall;
using namespace std::chrono_literals;

namespace {

struct MembershipFixture {
  ManualClock Time;
  Membership View{daemon("vm-1", 1), {}, 1};

  static Member daemon(const std::string &vm, std::uint64_t incarnation = 0) {
    return {VmName(vm), DomainName("d"), RegionName("r"),
            vm + ":1",  incarnation,     false,
            false};
  }

  static MemberRecord record(const std::string &vm, std::uint64_t incarnation,
                             std::uint64_t version = 0,
                             std::set<VmName> suspecting = {}) {
    return {daemon(vm, incarnation), version, std::move(suspecting)};
  }

  void list(const std::vector<std::string> &vms) {
    std::vector<Member> members;
    for (const auto &it : vms)
      members.push_back(daemon(it));
    View.updateList(members, Time.now());
  }

  bool isLive(const std::string &vm) const {
    auto all = View.live();
    return std::any_of(all.begin(), all.end(),
                       [&](const Member &it) { return it.Vm.Value == vm; });
  }

  bool ownsAnything(const std::string &vm) const {
    for (int n = 0; n < 100; ++n)
      if (rankOwners(View.live(), TargetName(std::to_string(n)),
                     DomainName("d"), RegionName("r"))
              .front()
              .Vm.Value == vm)
        return true;
    return false;
  }

  /// Probes for \p length; the VMs with an entry in \p answers answer with it.
  void run(Duration length,
           const std::map<std::string, MemberRecord> &answers) {
    for (auto end = Time.now() + length; Time.now() < end; Time.advance(100ms))
      for (const auto &it : View.probesDue(Time.now())) {
        auto found = answers.find(it.InnerAddress);
        if (found == answers.end())
          View.handleMiss(it, Time.now());
        else
          View.handleAnswer(it, found->second, Time.now());
      }
  }
};

} // namespace

// A daemon fails while the platform still lists it. Without probes the targets
// that it owns would get no work until the list is updated, which may take half
// a minute.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, listed daemon silent, owns nothing") {
  list({"vm-1", "vm-2", "vm-3"});
  CHECK(ownsAnything("vm-2"));
  run(3s, {{"vm-3:1", record("vm-3", 5)}});
  CHECK_FALSE(isLive("vm-2"));
  CHECK_FALSE(ownsAnything("vm-2"));
  CHECK(isLive("vm-3"));
  REQUIRE(View.takeObserved().size() == 1);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, one probe lost, suspects nobody") {
  list({"vm-1", "vm-2"});
  run(100ms, {});
  run(3s, {{"vm-2:1", record("vm-2", 5)}});
  CHECK(View.takeObserved().empty());
  CHECK(isLive("vm-2"));
}

// vm-2 was replaced: vm-9 now listens on its address and answers its probes.
// Without a check of the name, vm-2 would count as alive forever.
TEST_CASE_FIXTURE(
    MembershipFixture,
    "membership, address reused by another VM, are distinguished") {
  list({"vm-1", "vm-2"});
  run(3s, {{"vm-2:1", record("vm-9", 7)}});
  CHECK_FALSE(isLive("vm-2"));
  CHECK(isLive("vm-9"));
}

// A suspected VM is replaced under the same name. A late answer or suspicion of
// the previous incarnation must not count against the new one.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, VM replaced under its name, is live again") {
  list({"vm-1", "vm-2"});
  View.handleContact(record("vm-2", 5, 3), Time.now());
  View.handleGossip({record("vm-2", 5, 3, {VmName("a"), VmName("b")})},
                    Time.now());
  CHECK_FALSE(isLive("vm-2"));
  View.handleContact(record("vm-2", 6), Time.now());
  CHECK(isLive("vm-2"));
  View.handleGossip({record("vm-2", 5, 9, {VmName("a"), VmName("b")})},
                    Time.now());
  View.handleMiss(daemon("vm-2", 5), Time.now());
  View.handleMiss(daemon("vm-2", 5), Time.now());
  CHECK(isLive("vm-2"));
}

// A daemon with a broken link reports all others as unreachable.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, a single reporter, moves no ownership") {
  list({"vm-1", "vm-2", "vm-3"});
  View.handleGossip({record("vm-2", 0, 0, {VmName("vm-3")})}, Time.now());
  CHECK(isLive("vm-2"));
  View.handleGossip({record("vm-2", 0, 0, {VmName("vm-4")})}, Time.now());
  CHECK_FALSE(isLive("vm-2"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, itself suspected, refutes by a new version") {
  View.handleGossip({record("vm-1", 1, 0, {VmName("a"), VmName("b")})},
                    Time.now());
  auto reported = View.takeObserved();
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].Version == 1);
  Membership other(daemon("vm-2", 1), {}, 2);
  other.handleGossip({record("vm-1", 1, 0, {VmName("a"), VmName("b")})},
                     Time.now());
  CHECK(other.isSuspected(VmName("vm-1")));
  other.handleGossip(reported, Time.now());
  CHECK_FALSE(other.isSuspected(VmName("vm-1")));
}

// This daemon suspected a paused one, which then resumes. Others still send
// this daemon's old suspicion, which must not be merged as its own.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, contact after a suspicion, is live") {
  list({"vm-1", "vm-2"});
  run(3s, {});
  CHECK_FALSE(isLive("vm-2"));
  View.handleContact(record("vm-2", 0), Time.now());
  CHECK(isLive("vm-2"));
  View.handleGossip({record("vm-2", 0, 0, {VmName("vm-1")})}, Time.now());
  CHECK(isLive("vm-2"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, a daemon leaving, owns nothing and is live") {
  list({"vm-1", "vm-2"});
  auto reported = record("vm-2", 5, 1);
  reported.Info.Leaving = true;
  View.handleContact(reported, Time.now());
  CHECK(isLive("vm-2"));
  CHECK_FALSE(ownsAnything("vm-2"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, the list says leaving, overrides the daemon's "
                  "own report") {
  auto leaving = daemon("vm-2");
  leaving.Leaving = true;
  View.updateList({leaving}, Time.now());
  View.handleContact(record("vm-2", 5, 1), Time.now());
  CHECK_FALSE(ownsAnything("vm-2"));
}

// The platform's list lags: it lacks a daemon that has just started, and still
// has one that is gone.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, the list lags, keeps recently added daemons") {
  View.handleContact(record("vm-5", 5), Time.now());
  list({"vm-1"});
  CHECK(isLive("vm-5"));
  Time.advance(31s);
  list({"vm-1"});
  CHECK_FALSE(isLive("vm-5"));
}

// With 1,700 daemons, each sends as many probes per second as with ten.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, 1,700 members, probes a few") {
  std::vector<Member> all;
  for (int n = 1; n <= 1'700; ++n) {
    auto it = daemon("vm-" + std::to_string(n));
    it.Domain = DomainName("d" + std::to_string(n % 7));
    all.push_back(it);
  }
  View.updateList(all, Time.now());
  std::size_t probes = 0;
  for (int n = 0; n < 100; ++n, Time.advance(100ms))
    for (const auto &it : View.probesDue(Time.now())) {
      ++probes;
      View.handleAnswer(it, {it, 0, {}}, Time.now());
    }
  CHECK(probes <= 10 * 4);
}

// The clock was set back between two starts of a daemon. Without a higher
// incarnation others would mistake it for its predecessor, which they suspect.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, own incarnation raised, never goes down") {
  auto before = View.self().Info.Incarnation;
  View.raiseIncarnation(before + 10);
  CHECK(View.self().Info.Incarnation == before + 10);
  View.raiseIncarnation(before);
  CHECK(View.self().Info.Incarnation == before + 10);
}

// Guards against updates without end in a fleet that is cut: each further
// daemon that suspects a member changes its record, but not who is live.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, more daemons suspect a suspected member, live "
                  "members count as unchanged") {
  list({"vm-1", "vm-2", "vm-3"});
  View.handleGossip({record("vm-2", 5, 0, {VmName("vm-3"), VmName("vm-4")})},
                    Time.now());
  REQUIRE_FALSE(isLive("vm-2"));
  auto before = View.generation();
  View.handleGossip({record("vm-2", 5, 0, {VmName("vm-5")})}, Time.now());
  View.handleGossip({record("vm-2", 5, 0, {VmName("vm-6")})}, Time.now());
  CHECK(View.generation() == before);
  View.handleGossip({record("vm-2", 5, 1)}, Time.now());
  CHECK(isLive("vm-2"));
  CHECK(View.generation() != before);
}

// Guards against daemons that get no work for seconds after hundreds have
// restarted together: gossip has room for a few records a message.
TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, list names a suspected daemon's next start, it "
                  "is live") {
  list({"vm-1", "vm-2", "vm-3"});
  View.handleGossip({record("vm-2", 5, 3, {VmName("vm-3"), VmName("vm-4")})},
                    Time.now());
  REQUIRE_FALSE(isLive("vm-2"));
  auto listed = daemon("vm-2", 5);
  View.updateList({daemon("vm-1", 1), listed, daemon("vm-3", 1)}, Time.now());
  CHECK_FALSE(isLive("vm-2"));
  listed.Incarnation = 6;
  View.updateList({daemon("vm-1", 1), listed, daemon("vm-3", 1)}, Time.now());
  CHECK(isLive("vm-2"));
  // A report on the earlier process says nothing about this one.
  View.handleGossip({record("vm-2", 5, 4, {VmName("vm-3"), VmName("vm-4")})},
                    Time.now());
  CHECK(isLive("vm-2"));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "membership, recent changes, come newest first and once") {
  View.handleContact(record("vm-2", 5), Time.now());
  Time.advance(100ms);
  View.handleContact(record("vm-3", 5), Time.now());
  Time.advance(100ms);
  View.handleContact(record("vm-2", 6), Time.now());
  auto recent = View.recentChanges(Time.now(), 10);
  REQUIRE(recent.size() == 2);
  CHECK(recent[0].Info.Vm.Value == "vm-2");
  CHECK(recent[0].Info.Incarnation == 6);
  CHECK(recent[1].Info.Vm.Value == "vm-3");
  CHECK(View.recentChanges(Time.now(), 1).size() == 1);
  Time.advance(20s);
  CHECK(View.recentChanges(Time.now(), 10).empty());
}

// Guards against members that nobody probes: each one is the next of another
// on the ring of its failure domain.
TEST_CASE("membership, fleet of one domain, every member is probed by two") {
  constexpr std::size_t Daemons = 40;
  std::vector<Member> members;
  for (std::size_t n = 0; n < Daemons; ++n)
    members.push_back(
        MembershipFixture::daemon("vm-" + std::to_string(n), n + 1));
  ManualClock time;
  std::map<VmName, std::size_t> probed;
  for (const auto &self : members) {
    MembershipOptions options;
    options.ComparePeriod = std::chrono::hours(1);
    options.FleetNeighbours = 0;
    Membership view(self, options, 1);
    view.updateList(members, time.now());
    for (const auto &it : view.probesDue(time.now()))
      view.handleAnswer(it, {it, 0, {}}, time.now());
    time.advance(2s);
    for (const auto &it : view.probesDue(time.now()))
      ++probed[it.Vm];
  }
  for (const auto &it : members)
    CHECK(probed[it.Vm] == 2);
}
