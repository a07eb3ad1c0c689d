/// \file
/// The other daemons: who they are, and one connection to each.

#ifndef PERIDOTFALL_DAEMON_FLEET_H
#define PERIDOTFALL_DAEMON_FLEET_H

#include "http/channel.h"
#include "http/loops.h"
#include "peridotfall/configuration.h"
#include "peridotfall/membership.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall {

class Fleet {
public:
  Fleet(http::Loops &loops, Member self, http::ChannelOptions options);

  const Member &self() const { return Self; }
  std::vector<Member> members() const;
  /// \return whether the list differs from the one before.
  bool setMembers(std::vector<Member> members);
  std::optional<Member> find(const VmName &vm) const;
  /// The daemons that own a target or step in, by rank.
  std::vector<Member> ranked(const Configuration &config,
                             const TargetConfig &target) const;
  std::shared_ptr<http::Channel> channel(const std::string &address);
  void close();

private:
  http::Loops &Loops;
  const Member Self;
  const http::ChannelOptions Options;
  mutable std::mutex Lock;
  std::vector<Member> Members;
  std::map<std::string, std::shared_ptr<http::Channel>> Channels;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_FLEET_H
