/// \file
/// The other daemons: who they are, and one connection to each.

#ifndef PERIDOTFALL_DAEMON_FLEET_H
#define PERIDOTFALL_DAEMON_FLEET_H

#include "http/channel.h"
#include "http/loops.h"
#include "peridotfall/clock.h"
#include "peridotfall/configuration.h"
#include "peridotfall/membership.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall {

/// From any thread.
class Fleet {
public:
  Fleet(http::Loops &loops, Member self, http::ChannelOptions options,
        MembershipOptions membership = {});

  /// As the daemon was started; whether it leaves is in members().
  const Member &self() const { return Self; }
  /// \return this daemon and all it holds alive, leaving ones included.
  std::vector<Member> members() const;
  /// Takes the platform's list. \return whether the live members changed.
  bool setMembers(const std::vector<Member> &members);
  /// \return a member, also one that is suspected.
  std::optional<Member> find(const VmName &vm) const;
  /// The daemons that own a target or step in, by rank, a few at most.
  std::vector<Member> ranked(const Configuration &config,
                             const TargetConfig &target) const;
  /// Completes the own address once the daemon listens.
  void listeningOn(std::uint16_t port);
  std::shared_ptr<http::Channel> channel(const std::string &address);
  /// Closes connections that were not asked for lately.
  void closeIdle();
  void close();

  /// Runs \p action on the membership under its lock; it must not block.
  template <class Action> auto withMembership(Action action) {
    std::lock_guard guard(Lock);
    return action(View);
  }

private:
  struct Line {
    std::shared_ptr<http::Channel> Channel;
    TimePoint UsedAt;
  };
  /// Ranks of a target for one view and one configuration.
  struct Ranks {
    std::uint64_t Generation = 0;
    std::uint64_t Revision = 0;
    std::vector<Member> Members;
  };

  http::Loops &Loops;
  const Member Self;
  const http::ChannelOptions Options;
  SystemClock Time;
  mutable std::mutex Lock;
  Membership View;
  mutable std::map<TargetName, Ranks> RankCache;
  std::mutex ChannelLock;
  std::map<std::string, Line> Channels;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_FLEET_H
