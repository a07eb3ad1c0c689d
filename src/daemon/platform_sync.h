/// \file
/// Reads the configuration and the list of VMs from the platform, if this
/// daemon is one of its failure domain's watchers.

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

/// All state is confined to one event loop. A new daemon knows no other
/// members and is therefore a watcher until it has the list of VMs.
class PlatformSync : public std::enable_shared_from_this<PlatformSync> {
public:
  PlatformSync(asio::io_context &loop, const Clock &clock, platform::Api api,
               std::shared_ptr<ConfigurationRelay> relay, Fleet &fleet);

  void start();
  void stop();
  /// \return the platform's last answer or error, for /readyz.
  std::string lastAnswer() const;

private:
  void tick();
  void watch();
  void handleWatchAnswer(std::uint64_t attempt,
                         const Result<platform::Object> &it);
  void relayConfiguration(Configuration config);
  void listVms();
  void handleAnswer(const char *call, const std::string &error);

  asio::io_context &Loop;
  asio::steady_timer Timer;
  const Clock &Time;
  platform::Api Api;
  std::shared_ptr<ConfigurationRelay> Relay;
  Fleet &Peers;
  bool Stopped = false;
  bool Failing = false; ///< The last call failed.
  std::uint64_t Version = 0;
  std::uint64_t Attempt = 0; ///< Of the current watch; older answers are late.
  bool ConfigurationRead = false;
  bool IsWatcher = true;
  bool WatchPending = false;
  TimePoint NextRoleCheck{};
  TimePoint NextWatch{};
  TimePoint NextList{};
  mutable std::mutex AnswerLock;
  std::string LastAnswer = "no answer yet";
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_PLATFORM_SYNC_H
