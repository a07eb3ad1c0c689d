/// \file
/// Keeps the configuration and the list of members up to date from the
/// platform.

#ifndef PERIDOTFALL_DAEMON_PLATFORM_SYNC_H
#define PERIDOTFALL_DAEMON_PLATFORM_SYNC_H

#include "config/in_force.h"
#include "daemon/fleet.h"
#include "platform/platform.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace peridotfall {

class PlatformSync : public std::enable_shared_from_this<PlatformSync> {
public:
  PlatformSync(asio::io_context &loop, platform::Api api,
               ConfigurationInForce &config, Fleet &fleet);

  void start();
  void stop();

private:
  void watchConfiguration(std::uint64_t after);
  void takeConfiguration(const platform::Object &object);
  void listMembers();
  void later(asio::steady_timer &timer, std::function<void()> action);

  asio::steady_timer ConfigurationTimer;
  asio::steady_timer MembersTimer;
  platform::Api Api;
  ConfigurationInForce &Config;
  Fleet &Peers;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_PLATFORM_SYNC_H
