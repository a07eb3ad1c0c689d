/// \file
/// Confirmation: no write is acknowledged before a replica of the same term
/// holds it.

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

/// Runs the rounds of confirmation for the primaries that this daemon owns.
/// Outlives its calls: the adapters of its targets hold a part of it.
class Confirmer {
public:
  Confirmer(const Clock &clock, Targets &targets)
      : Time(clock), Apis(targets) {}

  /// Asks the group's other targets, and then the primary once more, whether
  /// a position is safe. Begun after the commit.
  /// \param done called once, on any thread.
  void confirmPosition(const DatabaseConfig &database,
                       const TargetName &primary, Position at,
                       std::chrono::milliseconds limit, OnConfirmed done);
  /// Answers what is past its limit.
  void giveUpLate();

private:
  struct Line;
  using LinePtr = std::shared_ptr<Line>;
  using Step =
      std::function<failover::ConfirmActions(failover::ConfirmState &)>;

  static void run(const Clock &clock, const LinePtr &line, const Step &step);
  static void ask(const Clock &clock, const LinePtr &line,
                  const failover::AskReplicas &it);
  static void ask(const Clock &clock, const LinePtr &line,
                  const failover::AskPrimary &it);

  const Clock &Time;
  Targets &Apis;
  std::mutex Lock;
  std::map<TargetName, LinePtr> Lines; ///< By primary.
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CONFIRM_H
