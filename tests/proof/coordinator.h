/// \file
/// Drives the failover state machine of include/peridotfall/failover.h with
/// the fakes: performs its actions and reports what came of them.

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

/// Who leads, as one daemon believes.
struct GroupView {
  Term InTerm = 0;
  TargetName Primary;
  std::set<TargetName> Leaving;

  auto operator<=>(const GroupView &) const = default;
};

class Coordinator {
public:
  struct Links {
    std::vector<FakeTarget *> Targets;
    FakePlatform *Platform = nullptr;
    /// \return node and coordinator of a daemon; null: unknown.
    std::function<Coordinator *(const VmName &)> Peer;
    std::function<void(const GroupView &)> OnView;
    std::function<void(TimePoint)> HoldWrites;
  };

  Coordinator(Setting setting, NodeId self, VmName vm, Links links)
      : At(setting), Self(self), Vm(std::move(vm)), Out(std::move(links)) {}

  /// \param owned all targets with their owners, as this daemon sees it. It
  /// takes part while it owns one.
  void tick(const std::vector<failover::OwnedTarget> &owned);
  void reset() { Group.reset(); }
  NodeId node() const { return Self; }
  bool observes() const { return Group.has_value(); }
  bool leads() const { return Group && Group->RunningCampaign; }

private:
  void perform(const failover::Actions &actions);
  void perform(const failover::Probe &it);
  void perform(const failover::AskPeer &it);
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

  Setting At;
  NodeId Self;
  VmName Vm;
  Links Out;
  std::optional<failover::GroupState> Group;
  Term CountedTerm = 0; ///< Of the fences counted.
  int FencedInTerm = 0;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_COORDINATOR_H
