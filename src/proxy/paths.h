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
/// Between two probes of a path that failed.
inline constexpr std::chrono::milliseconds PathProbe{250};

} // namespace limits

/// \return how many daemons hold connections to a target.
/// \param connections that they share.
std::size_t holderCount(std::size_t connections, std::size_t daemons);

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
