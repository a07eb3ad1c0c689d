/// \file
/// Confirmation of writes: a write is acknowledged only after a replica of the
/// same term has it.

#ifndef PERIDOTFALL_DAEMON_CONFIRM_H
#define PERIDOTFALL_DAEMON_CONFIRM_H

#include "daemon/targets.h"
#include "failover/confirmation.h"
#include "peridotfall/clock.h"
#include "peridotfall/configuration.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace peridotfall {

using OnConfirmed = std::function<void(bool confirmed)>;

/// Runs confirmation rounds for the primaries that this daemon owns. The clock
/// must outlive all calls on targets; the state of a primary is shared with
/// their callbacks.
class Confirmer {
public:
  Confirmer(const Clock &clock, Targets &targets)
      : Time(clock), Apis(targets) {}

  /// Queries the group's replicas, and then the primary again, whether a
  /// position is safe. Must be called after the commit.
  /// \param done called once, on any thread.
  void confirmPosition(const DatabaseConfig &database,
                       const TargetName &primary, Position at,
                       std::chrono::milliseconds limit, OnConfirmed done);
  /// Answers calls whose time limit has passed: not confirmed.
  void expire();

private:
  struct PrimaryRounds;
  using RoundsPtr = std::shared_ptr<PrimaryRounds>;
  using Step =
      std::function<failover::ConfirmActions(failover::ConfirmState &)>;

  static void run(const Clock &clock, const RoundsPtr &rounds,
                  const Step &step);
  static void query(const Clock &clock, const RoundsPtr &rounds,
                    const failover::QueryReplicas &it);
  static void query(const Clock &clock, const RoundsPtr &rounds,
                    const failover::QueryPrimary &it);

  const Clock &Time;
  Targets &Apis;
  std::mutex Lock;
  std::map<TargetName, RoundsPtr> RoundsByPrimary;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CONFIRM_H
