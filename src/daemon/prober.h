/// \file
/// Probes the targets of the groups in which this daemon owns one.

#ifndef PERIDOTFALL_DAEMON_PROBER_H
#define PERIDOTFALL_DAEMON_PROBER_H

#include "config/in_force.h"
#include "daemon/fleet.h"
#include "daemon/targets.h"
#include "daemon/views.h"
#include "peridotfall/clock.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>

namespace peridotfall {

class Prober : public std::enable_shared_from_this<Prober> {
public:
  Prober(asio::io_context &loop, const Clock &clock,
         const ConfigurationInForce &config, Fleet &fleet, Targets &targets,
         GroupViews &views, std::chrono::milliseconds interval);

  void start();
  void stop();

private:
  void tick();
  bool ownsOneOf(const Configuration &config,
                 const DatabaseConfig &database) const;
  void probe(const DatabaseName &database, const TargetConfig &target);

  asio::steady_timer Timer;
  const Clock &Time;
  const ConfigurationInForce &Config;
  Fleet &Peers;
  Targets &Apis;
  GroupViews &Views;
  const std::chrono::milliseconds Interval;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_PROBER_H
