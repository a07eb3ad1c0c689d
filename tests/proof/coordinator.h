/// \file
/// Drives the failover state machine of include/peridotfall/failover.h with the
/// fakes: performs its actions and reports their results.

#ifndef PERIDOTFALL_PROOF_COORDINATOR_H
#define PERIDOTFALL_PROOF_COORDINATOR_H

#include "proof/fake_platform.h"
#include "proof/fake_target.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace peridotfall::proof {

/// The group's primary and leaving targets, as one daemon sees them.
struct GroupView {
  Term InTerm = 0;
  TargetName Primary;
  std::set<TargetName> Leaving;

  auto operator<=>(const GroupView &) const = default;
};

class Coordinator {
public:
  struct Dependencies {
    std::vector<FakeTarget *> Targets;
    FakePlatform *Platform = nullptr;
    /// \return a daemon's coordinator; null: unknown.
    std::function<Coordinator *(const VmName &)> Peer;
    std::function<void(const GroupView &)> OnView;
    std::function<void(TimePoint)> HoldWrites;
  };

  Coordinator(RunContext context, NodeId self, VmName vm,
              Dependencies dependencies)
      : Context(context), Self(self), Vm(std::move(vm)),
        Deps(std::move(dependencies)) {}

  /// \param owned all targets with their owners, as this daemon sees them. It
  /// takes part in failover while it owns one.
  void tick(const std::vector<failover::OwnedTarget> &owned);
  void reset() { Group.reset(); }
  NodeId node() const { return Self; }
  bool observes() const { return Group.has_value(); }
  bool leads() const { return Group && Group->RunningCampaign; }

private:
  void perform(const failover::Actions &actions);
  void perform(const failover::Probe &it);
  void perform(const failover::QueryPeer &it);
  void perform(const failover::Fence &it);
  void perform(const failover::Promote &it);
  void perform(const failover::Follow &it);
  void perform(const failover::GetObject &it);
  void perform(const failover::PutObject &it);
  void perform(const failover::HoldWrites &it);
  void perform(const failover::PrimaryChanged &it);
  void perform(const failover::CampaignBegun &it);
  void perform(const failover::CampaignFailed &) {}
  void perform(const failover::TermsExhausted &) {}
  void perform(const failover::HandoverFailed &) {}

  FakeTarget *find(const TargetName &name) const;
  void fenced(Term term);
  std::set<TargetName> leaving() const;

  RunContext Context;
  NodeId Self;
  VmName Vm;
  Dependencies Deps;
  std::optional<failover::GroupState> Group;
  Term FencedTerm = 0; ///< The term of FencedCount.
  int FencedCount = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_COORDINATOR_H
