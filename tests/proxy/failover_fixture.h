/// \file
/// The failover leader, three fake targets and fake calls to the platform and
/// to other daemons, in virtual time.

#ifndef PERIDOTFALL_TESTS_PROXY_FAILOVER_FIXTURE_H
#define PERIDOTFALL_TESTS_PROXY_FAILOVER_FIXTURE_H

#include "fixture.h"
#include "proxy/failover_controller.h"

#include <algorithm>

namespace peridotfall::proxy {

struct FakeCalls final : FailoverPort {
  struct Promotion {
    TargetName Target;
    std::uint64_t Number = 0;

    auto operator<=>(const Promotion &) const = default;
  };

  void writeRecord(const LeadershipRecord &record,
                   std::uint64_t revision) override {
    Written = record;
    WrittenOver = revision;
  }
  void readRecord() override { ++Reads; }
  void promote(const GroupName &, const TargetName &target,
               std::uint64_t number) override {
    Promotions.push_back({target, number});
  }
  /// \return the promotions without the repeated calls of each.
  std::vector<Promotion> choices() const {
    auto out = Promotions;
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
  }
  void readTargets() override {}
  void queryPeers(const GroupName &) override { ++PeerQueries; }
  void holdWrites(const VmName &daemon, const WriteHold &hold) override {
    Holds.emplace_back(daemon, hold);
  }

  std::optional<LeadershipRecord> Written;
  std::uint64_t WrittenOver = 0;
  unsigned Reads = 0;
  unsigned PeerQueries = 0;
  std::vector<Promotion> Promotions;
  /// Messages to other daemons.
  std::vector<std::pair<VmName, WriteHold>> Holds;
};

/// The daemon "vm" is the failover leader; the test simulates the primary "p"
/// and the replicas.
struct FailoverControllerFixture : ProxyFixture {
  static constexpr std::uint64_t Incarnation = 7;

  FakeCalls Calls;
  virtual ~FailoverControllerFixture() = default;

  FailoverController Failover{
      {VmName("vm"), DomainName("press"), RegionName("tartu")},
      Incarnation,
      TargetGroups,
      Calls,
      Metrics,
      Time};
  bool PrimaryAnswers = true;
  std::map<std::string, Position> Received{{"r", {InTerm, 90}},
                                           {"s", {InTerm, 95}}};
  std::set<std::string> Silent;
  ConnectionId Answering; ///< The one whose statement is answered now.

  static Member member(const char *vm, std::uint64_t incarnation) {
    Member it;
    it.Vm = VmName(vm);
    it.Incarnation = incarnation;
    return it;
  }
  void becomeLeader(std::uint64_t first = 11) {
    Failover.updateMembers({member("vm", Incarnation)});
    Failover.handleRecord(
        LeadershipRecord{VmName("vm"), Incarnation, first, first + 64}, 5);
  }
  /// Answers for the other daemons and the store.
  void reportFromPeers(const PeerReports &evidence) {
    Failover.handlePeerReports(GroupName("ledger"), evidence);
    Failover.handleTargetsRead();
  }
  virtual Answer answerOf(const std::string &target, const Statement &it) {
    if (it.Kind == StatementKind::Status) {
      auto out = success(it, TransactionState::Idle);
      out.Status = target == "p"
                       ? TargetStatus{true, InTerm, Head}
                       : TargetStatus{false, InTerm, Received[target]};
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
  /// Targets answer at once. Those that are silent or crashed refuse new
  /// connections.
  void simulateTargets() {
    auto opening = std::exchange(Links.Opening, {});
    for (auto id : opening) {
      auto target = Links.Connections.at(id).Target;
      bool up = answers(target.Value);
      TargetGroups.withPool(target, id, [&](TargetPool &pool) {
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
        Answering = *id;
        answer(*id,
               answerOf(target, Links.Connections.at(*id).Unanswered.front()));
      }
  }
  void run(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      simulateTargets();
      TargetGroups.markUsed(GroupName("ledger"));
      TargetGroups.tick();
      Failover.tick();
      simulateTargets();
    }
  }
  void crashPrimary() {
    PrimaryAnswers = false;
    std::vector<ConnectionId> open;
    for (const auto &[id, it] : Links.Connections)
      if (it.Open && it.Target.Value == "p")
        open.push_back(id);
    for (auto id : open)
      TargetGroups.withPool(TargetName("p"), id,
                            [&](TargetPool &pool) { pool.closed(id); });
  }
  /// The primary crashes and the failover leader suspects it.
  void suspectPrimary() {
    becomeLeader();
    run(milliseconds(1'000));
    crashPrimary();
    run(milliseconds(680));
  }
};

/// Commits are acknowledged once one replica has them.
struct SynchronousGroupFixture : FailoverControllerFixture {
  SynchronousGroupFixture() {
    TargetGroups.applySettings({{GroupName("ledger"), {16, true}}});
    becomeLeader();
    run(milliseconds(1'000));
  }
  void setLeaving(const char *target) {
    Entries.at(TargetName(target)).Leaving = true;
    TargetGroups.updateTargets(Entries);
  }
  void removeEntry(const char *target) {
    Entries.erase(TargetName(target));
    TargetGroups.updateTargets(Entries);
  }
  /// The primary crashes, and its failure is confirmed.
  void losePrimary() {
    crashPrimary();
    run(milliseconds(680));
    reportFromPeers({8, 0});
  }
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_TESTS_PROXY_FAILOVER_FIXTURE_H
