/// \file
/// Chooses the daemon through which a target is reached. A target accepts few
/// connections, so a few daemons (its connection holders) have them and run
/// statements for the others. The path via a holder is healthy or failed.

#ifndef PERIDOTFALL_PROXY_HOLDER_PATHS_H
#define PERIDOTFALL_PROXY_HOLDER_PATHS_H

#include "peridotfall/client_account.h"
#include "peridotfall/clock.h"
#include "peridotfall/names.h"
#include "proxy/lease.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Connections that each holder of a target should have. With one or two,
/// statements wait behind a transaction that pauses on its connection while
/// another holder's connections are idle. With many, there are too few holders,
/// and the loss of one takes most of the target's connections for three
/// seconds.
inline constexpr std::size_t ConnectionsPerHolder = 5;
/// Share of a target's connections that the plan hands out; the rest is for
/// daemons that use an older member list.
inline constexpr double PlannedShare = 0.95;
/// The same where a connection serves one client account. All planned
/// connections are then open most of the time. A target counts those of VMs
/// that lost power for some seconds; if these were nearly all, the daemons that
/// are back could open none meanwhile.
inline constexpr double PlannedShareByAccount = 0.5;
/// Statements sent to a target at once per slot, over all holders. An
/// overloaded target refuses what is beyond its queue, orders and lookups
/// alike, and its queue knows no priorities. Six statements per slot keep it
/// busy over any round trip, and none waits there for longer than five
/// statements' time.
inline constexpr std::size_t RunningPerSlot = 6;
/// Minimum of such statements for one holder; with fewer a single busy VM
/// couldn't use all of the target's slots. It also bounds the number of holders
/// by the slots: as many holders as the connections allow would each send this
/// minimum at once, and the target would refuse what is beyond its queue.
inline constexpr std::size_t MinRunningPerHolder = 3;
/// Holders among which an account's statements for one target are divided. With
/// one, an account in a burst would wait at its holder while others have room;
/// with all, each account would need connections at every holder.
inline constexpr std::size_t HoldersPerAccount = 3;
/// Leases by which an account's holder may be busier than the next one. A new
/// connection takes about as long as this many statements.
inline constexpr std::size_t AffinityMargin = 3;
/// Age up to which a holder's reported queue is used. By then the leases that
/// were queued have been served.
inline constexpr std::chrono::milliseconds QueueReportAge{200};
/// Interval between probes of a failed path.
inline constexpr std::chrono::milliseconds PathProbeInterval{250};

} // namespace limits

/// How daemons share a target's connections and slots.
struct HolderPlan {
  std::size_t Holders = 1;     ///< Daemons that have connections.
  std::size_t Connections = 1; ///< Of each holder.
  std::size_t Running = 1;     ///< Statements that each holder sends at once.

  auto operator<=>(const HolderPlan &) const = default;
};

/// \param connections that the target accepts.
/// \param slots of the target.
/// \param plannedShare of the connections that are divided.
HolderPlan planHolders(std::size_t connections, std::size_t slots,
                       std::size_t daemons,
                       double plannedShare = limits::PlannedShare);

/// The paths to one target, one per connection holder. Not synchronised.
///
/// A connection serves one client account. With many accounts and a few
/// connections at each holder, statements that go to any holder mostly find
/// connections of other accounts and have new ones opened. So all daemons send
/// an account's statements to the same holders.
class HolderPaths {
public:
  /// \param holders by rank. Holders that stay keep their state.
  void setHolders(const std::vector<VmName> &holders);
  const std::vector<VmName> &holders() const { return Holders; }

  /// \param self is preferred if it is a holder and \p selfFree.
  /// \return the holder to use. A failed path is used only if all have failed.
  std::optional<VmName> choose(const VmName &self, bool selfFree) const;
  /// \param selfIdle whether \p self has an idle connection of the account.
  /// \return the holder for a statement of the account, by rendezvous hashing;
  /// the next ones if it is much busier.
  std::optional<VmName> chooseFor(const AccountName &account,
                                  const VmName &self, bool selfIdle,
                                  TimePoint now) const;
  void started(const VmName &by);
  /// \param failed whether the path failed, due to the target or the holder.
  /// \param load that the holder reported.
  void ended(const VmName &by, bool failed,
             const std::optional<TargetLoad> &load, TimePoint now);
  /// The work was abandoned; this says nothing about the path.
  void dropped(const VmName &by);
  /// \return the failed paths that are due for a probe, and schedules their
  /// next one.
  std::vector<VmName> probesDue(TimePoint now);
  bool hasFailedPath() const;
  /// \return since when all paths have failed; nothing if one is healthy.
  std::optional<TimePoint> unreachableSince() const;

private:
  struct PathState {
    std::optional<TimePoint> FailingSince;
    TimePoint NextProbe{};
    std::size_t Outstanding = 0;
    std::size_t Queued = 0; ///< Last reported.
    std::optional<TimePoint> ReportedAt;
  };

  static std::size_t loadOf(const PathState &it, TimePoint now);

  std::vector<VmName> Holders;
  std::map<VmName, PathState> States;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_HOLDER_PATHS_H
