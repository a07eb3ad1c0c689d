/// \file
/// The daemons of the membership, and one connection to each.

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

/// Thread-safe.
class Fleet {
public:
  Fleet(http::Loops &loops, Member self, http::ChannelOptions options,
        MembershipOptions membership = {});

  /// State at the start; members() shows whether this daemon is leaving.
  const Member &self() const { return Self; }
  /// \return this daemon and all it considers alive, including leaving ones.
  std::vector<Member> members() const;
  /// Updates the members from the platform's list. \return whether the live
  /// members changed.
  bool setMembers(const std::vector<Member> &members);
  /// \return a member, even if it is suspected.
  std::optional<Member> find(const VmName &vm) const;
  /// \return the daemon that owns a target and a few substitutes, by rank.
  std::vector<Member> membersByRank(const Configuration &config,
                                    const TargetConfig &target) const;
  /// Announces the inner address with the port that the daemon listens on.
  void setListenPort(std::uint16_t port);
  std::shared_ptr<http::Channel> channel(const std::string &address);
  /// Closes connections that were not used recently.
  void closeIdle();
  void close();

  /// Runs \p action on the membership under the lock; it must not block.
  template <class Action> auto withMembership(Action action) {
    std::lock_guard guard(Lock);
    return action(View);
  }

private:
  struct Connection {
    std::shared_ptr<http::Channel> Channel;
    TimePoint LastUse;
  };
  /// Ranked members of a target, for one membership view and one
  /// configuration.
  struct CachedRanks {
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
  mutable std::map<TargetName, CachedRanks> RankCache;
  std::mutex ChannelLock;
  std::map<std::string, Connection> Channels;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_FLEET_H
