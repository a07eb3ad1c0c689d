/// \file
/// Reads the configuration and the list of VMs from the platform, where this
/// daemon is one of those that do so for its failure domain.

#ifndef PERIDOTFALL_DAEMON_PLATFORM_SYNC_H
#define PERIDOTFALL_DAEMON_PLATFORM_SYNC_H

#include "daemon/configuration_relay.h"
#include "daemon/fleet.h"
#include "peridotfall/clock.h"
#include "platform/platform.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <string>

namespace peridotfall {

/// Its state is confined to one loop. A new daemon knows no others, so that it
/// is a watcher in its own view until it has the list of VMs.
class PlatformSync : public std::enable_shared_from_this<PlatformSync> {
public:
  PlatformSync(asio::io_context &loop, const Clock &clock, platform::Api api,
               std::shared_ptr<ConfigurationRelay> relay, Fleet &fleet);

  void start();
  void stop();
  /// \return what the platform last answered, for /readyz.
  std::string lastAnswer() const;

private:
  void tick();
  void watch();
  void watched(std::uint64_t attempt, const Result<platform::Object> &it);
  void offer(Configuration config);
  void listVms();
  void answered(const char *call, const std::string &error);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  const Clock &Time;
  platform::Api Api;
  std::shared_ptr<ConfigurationRelay> Relay;
  Fleet &Peers;
  bool Stopped = false;
  bool Failing = false; ///< The last answer was a failure.
  std::uint64_t Version = 0;
  std::uint64_t Attempt = 0; ///< Of the watch; answers to older ones are late.
  bool Begun = false;        ///< A configuration was read.
  bool Watcher = true;
  bool Watching = false;
  TimePoint NextRole{};
  TimePoint NextWatch{};
  TimePoint NextList{};
  mutable std::mutex AnswerLock;
  std::string LastAnswer = "not asked yet";
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_PLATFORM_SYNC_H
