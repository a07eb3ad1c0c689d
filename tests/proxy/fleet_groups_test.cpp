// The groups of a large fleet, of which a daemon uses few.

#include "fixture.h"
#include "proxy/failover_controller.h"
#include "proxy/peers.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr std::size_t TargetsPerGroup = 3;
constexpr milliseconds Tick{20};

GroupName groupName(std::size_t n) {
  return GroupName("group-" + std::to_string(n));
}

TargetName targetName(std::size_t group, std::size_t n) {
  return TargetName(std::to_string(group) + "-" + std::to_string(n));
}

/// Counts what is sent to other daemons, which answer nothing.
struct CountingRelay final : RelayPort {
  void begin(const VmName &, LeaseId, const LeaseRequest &request, Batch,
             OnBatch done) override {
    ++ByTarget[request.Target];
    Unanswered.push_back(std::move(done));
  }
  void run(LeaseId, Batch, OnBatch) override {}
  void abandon(LeaseId) override {}
  bool owns(LeaseId) const override { return false; }

  /// Answers all with a failure of the path.
  void failAll() {
    for (auto &it : std::exchange(Unanswered, {})) {
      BatchResult result;
      result.Error = {ErrorKind::Busy, "no answer"};
      result.TargetUnreachable = true;
      it(std::move(result));
    }
  }
  std::size_t total() const {
    std::size_t out = 0;
    for (const auto &[target, n] : ByTarget)
      out += n;
    return out;
  }

  std::map<TargetName, std::size_t> ByTarget;
  std::vector<OnBatch> Unanswered;
};

struct FleetGroupsFixture {
  ManualClock Time;
  FakeTargets Links;
  CountingRelay Relay;
  Locality Self{VmName("vm-0"), DomainName("domain-0"), RegionName("tartu")};
  Groups Fleet{Self, Links, Relay, Time};
  TargetList Entries;
  std::vector<Member> Live;

  /// \param primaries whether the primaries are listed.
  void start(std::size_t groups, std::size_t daemons, bool primaries) {
    for (std::size_t n = 0; n < daemons; ++n) {
      Member it;
      it.Vm = VmName("vm-" + std::to_string(n));
      it.Domain = DomainName("domain-" + std::to_string(n % 6));
      it.Region = RegionName("tartu");
      Live.push_back(it);
    }
    std::map<GroupName, GroupSettings> settings;
    for (std::size_t n = 0; n < groups; ++n) {
      settings[groupName(n)] = {228, false};
      for (std::size_t k = 0; k < TargetsPerGroup; ++k)
        addTarget(n, k, primaries && k == 0);
    }
    Fleet.setMembers(Live);
    Fleet.updateTargets(Entries);
    Fleet.applySettings(settings);
  }
  void addTarget(std::size_t group, std::size_t n, bool primary) {
    auto it =
        targetEntry(targetName(group, n), groupName(group),
                    DomainName("domain-" + std::to_string(n + 1)), primary);
    it.Revision = Entries.size() + 1;
    Entries[it.Name] = it;
  }
  void run(Duration span) {
    for (Duration done{}; done < span; done += Tick) {
      Time.advance(Tick);
      Fleet.tick();
      Relay.failAll();
    }
  }
};

} // namespace

// Guards against a storm of queries while a fleet starts: targets register one
// after the other, and each daemon asked the targets of each group whose
// primary was not listed yet ten times a second.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, primaries not listed yet, groups not in use are not "
                  "queried") {
  start(300, 100, false);
  run(milliseconds(2'000));
  CHECK(Relay.total() == 0);
  CHECK(Links.Last == 0);
  Fleet.markUsed(groupName(7));
  run(milliseconds(500));
  CHECK(Relay.total() > 0);
  for (const auto &[target, n] : Relay.ByTarget)
    CHECK(Entries.at(target).Group == groupName(7));
}

// Guards against work at each tick in proportion to all groups.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, one group in use, only it is active") {
  start(1'000, 30, true);
  run(milliseconds(100));
  CHECK(Fleet.active().empty());
  Fleet.markUsed(groupName(3));
  run(milliseconds(100));
  REQUIRE(Fleet.active().size() == 1);
  CHECK(Fleet.active()[0]->Name == groupName(3));
  run(proxy::limits::GroupIdle + milliseconds(100));
  CHECK(Fleet.active().empty());
}

// Guards against a fleet whose daemons send ten queries for each statement: one
// that uses a group once asked for its log head for five seconds.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, group used once, its log head is not queried; used "
                  "again and again, it is") {
  start(20, 30, true);
  Fleet.markUsed(groupName(3));
  run(milliseconds(800));
  CHECK(Relay.total() == 0);
  for (int n = 0; n < 4; ++n) {
    Fleet.markUsed(groupName(3));
    run(milliseconds(400));
  }
  CHECK(Relay.total() > 0);
}

// Guards against statements that are sent to a target that left long ago: when
// it was announced, nobody used its group.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, primary leaves while its group is not in use, it "
                  "gets no new work after the limit") {
  start(10, 30, true);
  Entries[targetName(4, 0)].Leaving = true;
  Fleet.updateTargets(Entries);
  run(proxy::limits::LeavingLimit);
  auto *group = Fleet.markUsed(groupName(4));
  CHECK_FALSE(Fleet.writablePrimary(*group).has_value());
}

// Guards against a failover leader that cannot serve anything else when a
// region is lost, and against groups that never get their turn.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, leader watches hundreds of groups without a primary, "
                  "queries them in turn at a bounded rate") {
  constexpr std::size_t Lost = 40;
  start(Lost, 100, false);
  Fleet.setWatchesAll(true);
  CHECK(Fleet.active().size() == Lost);
  run(milliseconds(2'000));
  std::size_t ticks = milliseconds(2'000) / Tick;
  CHECK(Relay.total() <=
        ticks * TargetsPerGroup * (proxy::limits::MaxWatchedPerTick + 1));
  for (std::size_t n = 0; n < Lost; ++n)
    CHECK(Relay.ByTarget[targetName(n, 1)] > 0);
}

// Guards against a primary that is never replaced: the failover leader of a
// large fleet does not use the group and so does not notice.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, primary fails where its group is in use, is reported "
                  "and found missing by the leader") {
  start(50, 30, true);
  std::vector<GroupName> reported;
  Fleet.OnPrimaryMissing = [&](const GroupName &it) { reported.push_back(it); };
  for (int n = 0; n < 10; ++n) {
    Fleet.markUsed(groupName(8));
    run(milliseconds(500));
  }
  REQUIRE_FALSE(reported.empty());
  CHECK(reported[0] == groupName(8));
  CHECK(reported.size() <= 2);

  FleetGroupsFixture leader;
  leader.start(50, 30, true);
  leader.Fleet.setWatchesAll(true);
  leader.run(milliseconds(1'000));
  REQUIRE(leader.Relay.total() == 0);
  leader.Fleet.handleMissingReport(groupName(8));
  leader.run(milliseconds(400));
  auto *group = leader.Fleet.find(groupName(8));
  CHECK(group->LeaderMissingSince.has_value());
  for (const auto &[target, n] : leader.Relay.ByTarget)
    CHECK(leader.Entries.at(target).Group == groupName(8));
}

// Guards against state for each target that was ever used.
TEST_CASE_FIXTURE(FleetGroupsFixture,
                  "fleet, target not used for long, its paths are forgotten") {
  start(5, 30, true);
  LeaseRequest request;
  request.Target = targetName(2, 0);
  request.Wait = milliseconds(100);
  request.Total = milliseconds(200);
  Batch batch;
  batch.Statements = {makeProxyStatement(StatementKind::Status)};
  batch.EndsLease = true;
  Fleet.begin(request, batch, nullptr);
  run(milliseconds(100));
  CHECK(Fleet.unreachableSince(request.Target).has_value() == false);
  for (int n = 0; n < 4; ++n) {
    Fleet.begin(request, batch, nullptr);
    run(milliseconds(100));
  }
  CHECK(Fleet.unreachableSince(request.Target).has_value());
  run(proxy::limits::TargetIdle + milliseconds(100));
  CHECK_FALSE(Fleet.unreachableSince(request.Target).has_value());
}

TEST_CASE("peers, more than are queried, are chosen from all over the list") {
  std::vector<std::string> all;
  for (int n = 0; n < 100; ++n)
    all.push_back(std::to_string(n));
  CHECK(chooseEvenly(all, 4) ==
        std::vector<std::string>{"0", "25", "50", "75"});
  CHECK(chooseEvenly({"a", "b"}, 4) == std::vector<std::string>{"a", "b"});
}

// Guards against a daemon that keeps a connection to each other one that it
// ever called: in a large fleet these exceed its descriptors.
TEST_CASE("channels, no call for long, are closed unless a lease needs them") {
  asio::io_context loop;
  Channels channels(loop);
  auto held = [](const std::string &it) { return it == "127.0.0.1:2"; };
  TimePoint now{milliseconds(1'000)};
  channels.to("127.0.0.1:1");
  channels.to("127.0.0.1:2");
  channels.closeIdle(now, held);
  channels.closeIdle(now + proxy::limits::ChannelIdleTimeout / 2, held);
  CHECK(channels.open() == 2);
  channels.closeIdle(now + proxy::limits::ChannelIdleTimeout, held);
  CHECK(channels.open() == 1);
}

namespace {

/// The failover leader of a fleet whose platform and daemons answer.
struct LostRegionFixture : FleetGroupsFixture, FailoverPort {
  ProxyMetrics Metrics = makeProxyMetrics();
  FailoverController Failover{Self, 7, Fleet, *this, Metrics, Time};
  std::size_t TargetReads = 0;
  std::size_t ReadsPending = 0;
  std::size_t MostReadsPending = 0;
  std::size_t MostQueriesInTick = 0;
  std::vector<GroupName> Queried;
  std::set<GroupName> Promoted;

  void writeRecord(const LeadershipRecord &, std::uint64_t) override {}
  void readRecord() override {}
  void holdWrites(const VmName &, const WriteHold &) override {}
  void promote(const GroupName &group, const TargetName &,
               std::uint64_t) override {
    Promoted.insert(group);
  }
  void readTargets() override {
    ++TargetReads;
    MostReadsPending = std::max(MostReadsPending, ++ReadsPending);
  }
  void queryPeers(const GroupName &group) override { Queried.push_back(group); }

  void startLeader(std::size_t groups, bool primaries) {
    start(groups, 30, primaries);
    Failover.updateMembers(Live);
    Failover.handleRecord(LeadershipRecord{Self.Vm, 7, 1, 1'000}, 5);
  }
  void runLeader(Duration span) {
    for (Duration done{}; done < span; done += Tick) {
      Time.advance(Tick);
      Fleet.tick();
      Failover.tick();
      MostQueriesInTick = std::max(MostQueriesInTick, Queried.size());
      for (const auto &it : std::exchange(Queried, {}))
        Failover.handlePeerReports(it, {15, 0});
      if (ReadsPending > 0) {
        --ReadsPending;
        Failover.handleTargetsRead();
      }
      Relay.failAll();
    }
  }
};

} // namespace

// Guards against a leader that asks for all groups at once when a region is
// lost: each of hundreds of lists replaced the one before it, and thousands of
// calls kept the VM from answering.
TEST_CASE_FIXTURE(LostRegionFixture,
                  "failover leader, primaries of 200 groups vanish, suspects a "
                  "few at a time with one list for all") {
  startLeader(200, true);
  runLeader(milliseconds(200));
  for (std::size_t n = 0; n < 200; ++n)
    Entries.erase(targetName(n, 0));
  Fleet.updateTargets(Entries);
  runLeader(milliseconds(3'000));
  CHECK(MostQueriesInTick <= proxy::limits::MaxSuspectedPerTick);
  CHECK(MostReadsPending == 1);
  CHECK(TargetReads > 0);
}

// Guards against replicas that are promoted because their primary registers
// later than they do.
TEST_CASE_FIXTURE(LostRegionFixture,
                  "failover leader, primary not listed yet, is not suspected "
                  "before its entry could be gone") {
  startLeader(1, false);
  runLeader(milliseconds(5'000));
  CHECK(TargetReads == 0);
  runLeader(milliseconds(2'000));
  CHECK(TargetReads > 0);
}
