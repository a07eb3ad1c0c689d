/// \file
/// Runs the failover state machine of each group in which this daemon owns a
/// target: probes targets, queries the other owners, performs the actions.

#ifndef PERIDOTFALL_DAEMON_FAILOVER_DRIVER_H
#define PERIDOTFALL_DAEMON_FAILOVER_DRIVER_H

#include "config/in_force.h"
#include "daemon/fleet.h"
#include "daemon/targets.h"
#include "daemon/views.h"
#include "peridotfall/clock.h"
#include "peridotfall/failover.h"
#include "platform/platform.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall {

class FailoverDriver : public std::enable_shared_from_this<FailoverDriver> {
public:
  FailoverDriver(asio::io_context &loop, const Clock &clock,
                 const ConfigurationInForce &config, Fleet &fleet,
                 Targets &targets, GroupViews &views, platform::Api platform,
                 const failover::Timings &limits);

  /// \param onTick called with each tick, on the loop.
  void start(std::function<void()> onTick);
  void stop();
  /// Answers another owner's query for a group view. Thread-safe.
  /// \return the response body, or nothing if this daemon owns no target of the
  /// group.
  std::optional<std::string> answerView(const std::string &body) const;

private:
  struct Group {
    Group(DatabaseConfig config, failover::GroupState state)
        : State(std::move(state)), Config(std::move(config)) {}

    std::mutex Lock;
    failover::GroupState State;
    const DatabaseConfig Config;
    std::map<TargetName, unsigned> MissedProbes; ///< In a row.
  };
  using GroupPtr = std::shared_ptr<Group>;
  using Step = std::function<failover::Actions(failover::GroupState &)>;

  void tick();
  void refreshGroups();
  /// \return the existing group, or a new one if its configuration has changed.
  GroupPtr makeGroup(const DatabaseConfig &database,
                     const std::vector<failover::OwnedTarget> &owners) const;
  std::optional<std::vector<failover::OwnedTarget>>
  ownersOf(const Configuration &config, const DatabaseConfig &database) const;
  GroupPtr find(const DatabaseName &database) const;
  /// Runs a step of the state machine under the group's lock, then performs the
  /// resulting actions without it.
  void run(const GroupPtr &group, const Step &step);

  void perform(const GroupPtr &group, const failover::Probe &it);
  void perform(const GroupPtr &group, const failover::QueryPeer &it);
  void perform(const GroupPtr &group, const failover::Fence &it);
  void perform(const GroupPtr &group, const failover::Promote &it);
  void perform(const GroupPtr &group, const failover::Follow &it);
  void perform(const GroupPtr &group, const failover::GetObject &it);
  void perform(const GroupPtr &group, const failover::PutObject &it);
  void perform(const GroupPtr &group, const failover::HoldWrites &it);
  void perform(const GroupPtr &group, const failover::PrimaryChanged &it);
  void perform(const GroupPtr &group, const failover::CampaignBegun &it);
  void perform(const GroupPtr &group, const failover::CampaignFailed &it);
  void perform(const GroupPtr &group, const failover::TermsExhausted &it);
  void perform(const GroupPtr &group, const failover::HandoverFailed &it);
  void publishStatus(const GroupPtr &group, const TargetName &target,
                     const Result<target::Status> &status);
  /// Closes the connections of targets, other than the primary, that missed at
  /// least this many probes in a row.
  void disconnectUnreachable(const GroupPtr &group, unsigned missed);
  void handleObject(const GroupPtr &group, const Result<platform::Object> &it);

  asio::steady_timer Timer;
  bool Stopped = false; ///< Used on the loop only.
  const Clock &Time;
  const ConfigurationInForce &Config;
  Fleet &Peers;
  Targets &Apis;
  GroupViews &Views;
  const platform::Api Platform;
  const failover::Timings Limits;
  std::function<void()> OnTick;

  /// The configuration and the members from which Groups was built.
  std::uint64_t Revision = 0;
  std::vector<Member> Members;
  mutable std::mutex Lock;
  std::map<DatabaseName, GroupPtr> Groups;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_FAILOVER_DRIVER_H
