/// \file
/// Holds of a group's writes while its primary is replaced. Where commits wait
/// for replicas, the failover leader has all connection holders hold the writes
/// before it compares the replicas' logs. Else the old primary could
/// acknowledge commits that the successor has not received. Pure decisions; the
/// time is passed in.

#ifndef PERIDOTFALL_PROXY_WRITE_HOLD_H
#define PERIDOTFALL_PROXY_WRITE_HOLD_H

#include "peridotfall/clock.h"
#include "peridotfall/membership.h"
#include "proxy/directory.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Longest time between two ticks without a suspension of the process.
inline constexpr milliseconds MaxTickInterval{300};
/// The failover leader waits this long for confirmations. A daemon that does
/// not confirm has ended, or has been suspended for longer than MaxTickInterval
/// and passes on no success of a write when it wakes up.
inline constexpr milliseconds HoldConfirmTimeout{400};
static_assert(HoldConfirmTimeout > MaxTickInterval);
/// Writes that were sent before a hold have this long to be answered; the
/// outcome of the others is unknown. Several times the usual answer time.
inline constexpr milliseconds WriteDrain{100};
/// Between two messages about one hold to a daemon, and after a failed one.
inline constexpr milliseconds HoldRefresh{1'000};
inline constexpr milliseconds HoldRetryPause{100};
/// A hold that was not refreshed for this long is queried at the failover
/// leader; between two queries.
inline constexpr milliseconds HoldQueryAge{2'500};
inline constexpr milliseconds HoldQueryPause{200};
/// A hold that is neither refreshed nor released ends after this long. Longer
/// than it takes until another daemon is failover leader and holds the writes.
inline constexpr milliseconds HoldLimit{8'000};
/// A daemon that was started or suspended may have missed a hold. Without an
/// answer of the failover leader its writes wait this long, by which time most
/// changes of primary have ended.
inline constexpr milliseconds UnknownHoldLimit{2'500};

} // namespace limits

/// Later holds of a group have higher ids.
struct HoldId {
  std::uint64_t Leadership = 0; ///< First promotion number of the leader.
  std::uint64_t Count = 0;

  auto operator<=>(const HoldId &) const = default;
};

struct WriteHold {
  GroupName Group;
  HoldId Id;
  /// Empty: the writes to all targets of the group are held.
  TargetName Target;
  bool Ends = false; ///< The hold with this id is over.

  auto operator<=>(const WriteHold &) const = default;
};

/// The hold of one group at one connection holder.
class HeldWrites {
public:
  /// \return whether \p hold is in force or over now; not if the group has had
  /// one with a higher id.
  bool apply(const WriteHold &hold, TimePoint now);
  /// \return whether a hold has expired.
  bool expire(TimePoint now);
  /// \return whether writes to the target are held.
  bool covers(const TargetName &target) const;
  const std::optional<WriteHold> &current() const { return Current; }
  /// \return the time since the hold was last applied.
  Duration age(TimePoint now) const { return now - AppliedAt; }

private:
  HoldId Ended; ///< Highest id of those that are over.
  std::optional<WriteHold> Current;
  TimePoint AppliedAt{};
};

/// What the failover leader knows of one hold at the connection holders.
class HoldRound {
public:
  explicit HoldRound(WriteHold hold) : Hold(std::move(hold)) {}

  const WriteHold &hold() const { return Hold; }
  /// \param daemons that may have connections to the group's targets.
  /// \return those that are to be told now.
  std::vector<VmName> due(const std::vector<VmName> &daemons, TimePoint now);
  void answered(const VmName &daemon, bool confirmed, TimePoint now);
  /// \return those of \p daemons that have not confirmed the hold.
  std::vector<VmName> missing(const std::vector<VmName> &daemons) const;
  /// \return all daemons that were told.
  std::vector<VmName> told() const;

private:
  struct Daemon {
    bool Calling = false;
    bool Confirmed = false;
    TimePoint NextCall{};
  };

  WriteHold Hold;
  std::map<VmName, Daemon> Daemons;
};

/// The holds that the failover leader keeps, in answer to a daemon's query.
struct HoldList {
  /// First promotion number of the leader; 0: the answering daemon is not the
  /// failover leader.
  std::uint64_t Leadership = 0;
  std::vector<WriteHold> Holds;

  auto operator<=>(const HoldList &) const = default;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_WRITE_HOLD_H
