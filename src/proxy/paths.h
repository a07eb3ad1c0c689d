/// \file
/// By which daemon a target is reached. A target takes few connections, so a
/// few daemons hold them and run statements for the others.

#ifndef PERIDOTFALL_PROXY_PATHS_H
#define PERIDOTFALL_PROXY_PATHS_H

#include "peridotfall/clock.h"
#include "peridotfall/names.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Connections that each holder of a target's connections should have. Load:
/// transactions that pause, each on a connection of its own. Harm of fewer: a
/// holder with one or two makes a statement wait behind a pause while another
/// holder's connections are idle. Harm of more: too few holders, so that the
/// loss of one takes most of the target's connections for three seconds.
inline constexpr std::size_t ConnectionsPerHolder = 5;
/// Share of a target's connections that the daemons open by plan; the rest
/// is for those whose list of daemons is older.
inline constexpr double PlannedShare = 0.95;
/// Statements sent to a target at once for each of its slots, over all
/// holders. Load: a target that has more to do than it can. Harm of more: it
/// refuses what is beyond its queue, orders and lookups alike, and all waits
/// where no priority counts. Reason: six statements a slot keep it busy over
/// any round trip and wait for five statements' time at the most.
inline constexpr std::size_t RunningPerSlot = 6;
/// The same at the least for one holder: with fewer a single busy VM could not
/// fill the target's slots. So holders are no more than the slots allow: as
/// many as the connections allow would each send their least at once, and the
/// target would refuse what is beyond its queue.
inline constexpr std::size_t LeastRunning = 3;
/// Between two probes of a path that failed.
inline constexpr std::chrono::milliseconds PathProbe{250};

} // namespace limits

/// How the daemons share a target's connections and slots.
struct HolderPlan {
  std::size_t Holders = 1;     ///< Daemons that hold connections.
  std::size_t Connections = 1; ///< Of each.
  std::size_t Running = 1;     ///< Statements that each sends at once.

  auto operator<=>(const HolderPlan &) const = default;
};

/// \param connections that the target takes. \param slots of the target.
HolderPlan planHolders(std::size_t connections, std::size_t slots,
                       std::size_t daemons);

/// The paths to one target. Not synchronised.
class Paths {
public:
  /// \param holders in the order of their ranks; paths that stay keep their
  /// record.
  void setHolders(const std::vector<VmName> &holders);
  const std::vector<VmName> &holders() const { return Holders; }

  /// \param self is preferred when it is a holder and \p selfFree.
  /// \return the path to use; one that failed only when all have.
  std::optional<VmName> choose(const VmName &self, bool selfFree) const;
  void started(const VmName &by);
  /// \param failed the path, by the target's fault or the daemon's.
  void ended(const VmName &by, bool failed, TimePoint now);
  /// What was started was given up; it tells nothing of the path.
  void dropped(const VmName &by);
  /// \return the paths that failed and are to be tried again now.
  std::vector<VmName> probesDue(TimePoint now);
  /// \return since when every path has failed; nothing: one has not.
  std::optional<TimePoint> unreachableSince() const;

private:
  struct Path {
    std::optional<TimePoint> FailingSince;
    TimePoint NextProbe{};
    std::size_t Outstanding = 0;
  };

  std::vector<VmName> Holders;
  std::map<VmName, Path> States;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_PATHS_H
