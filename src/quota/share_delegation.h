/// \file
/// Delegation of quota shares. Each registered daemon owns an equal share of
/// every limit and delegates it to at most one counter at a time, for a bounded
/// time. For fleets whose network is partitioned: the shares that counters hold
/// sum to at most one limit, whichever of them can reach each other. Decisions
/// only; times are of a clock that advances while the machine is suspended.

#ifndef PERIDOTFALL_QUOTA_SHARE_DELEGATION_H
#define PERIDOTFALL_QUOTA_SHARE_DELEGATION_H

#include "messages/quota.h"
#include "peridotfall/clock.h"
#include "quota/paced_bucket.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotfall::quota {

namespace limits {

/// Partitions of the accounts. The number is fixed, so that all daemons agree
/// on an account's partition whichever members they see.
inline constexpr std::uint32_t Partitions = 16;
/// Validity of a delegation from the issue of its challenge. Longer leaves the
/// share of a lost counter or of a restarted daemon unused; shorter ends
/// delegations when a busy VM answers late.
inline constexpr std::chrono::seconds DelegationTime{1};
/// Time for which a counter remembers a delegation that has ended. It exceeds
/// the validity of any challenge that a late report may echo.
inline constexpr std::chrono::seconds EndedDelegationAge{5};
/// Age up to which a counter reuses the sum of the shares that it holds.
/// Summing 300 delegations for each operation would take a small VM's time.
inline constexpr std::chrono::milliseconds ShareSumAge{50};

} // namespace limits

std::uint32_t partitionOf(const AccountName &account);

/// The daemon's side: to whom its share of each partition is delegated. Not
/// synchronised.
class ShareOwner {
public:
  /// \param usableFrom when the delegations of a predecessor have ended.
  ShareOwner(VmName self, TimePoint usableFrom);

  bool isUsable(TimePoint now) const { return now >= UsableFrom; }
  /// No counter holds a delegation of a predecessor any more.
  void setUsable(TimePoint now) { UsableFrom = std::min(UsableFrom, now); }
  /// \return the partitions to list as delegated in a report to the counter
  /// that is sent now: those of \p wanted that no other counter may still use.
  std::vector<std::uint32_t> delegate(const VmName &counter,
                                      const std::vector<std::uint32_t> &wanted,
                                      TimePoint now);
  /// \return the partitions delegated to the counter that aren't in \p wanted.
  std::vector<std::uint32_t>
  releasable(const VmName &counter, const std::vector<std::uint32_t> &wanted,
             TimePoint now) const;
  /// Uses the share here if no other counter may still use it.
  /// \return whether it is used here.
  bool useHere(std::uint32_t partition, TimePoint now);
  void handleAnswer(const VmName &counter, const messages::UseAnswer &answer,
                    TimePoint now);
  std::optional<messages::Challenge> lastChallenge(const VmName &counter) const;
  /// \return whether the counter may use a share of this daemon.
  bool isDelegated(const VmName &counter, TimePoint now) const;
  /// \return the counter that may use the share; empty if none.
  VmName holder(std::uint32_t partition, TimePoint now) const;

private:
  struct Share {
    VmName Holder;
    TimePoint Until{};              ///< The holder may use it until then.
    std::uint64_t IssuedMicros = 0; ///< Of the last challenge echoed with it.
  };
  struct Peer {
    messages::Challenge Last;
    TimePoint ReceivedAt{};
  };

  VmName Self;
  TimePoint UsableFrom;
  std::array<Share, limits::Partitions> Shares;
  std::map<VmName, Peer> Peers;
};

/// The counter's side: the shares delegated to this daemon. Not synchronised.
class ShareCounter {
public:
  explicit ShareCounter(std::uint64_t incarnation) : Incarnation(incarnation) {}

  /// Drops all shares if the incarnation differs: delegations name it.
  void setIncarnation(std::uint64_t incarnation);
  /// \param daemons registered daemons that this daemon knows.
  void setDaemons(std::uint32_t daemons);
  messages::Challenge issueChallenge(TimePoint now) const;
  /// Applies the delegations of a report.
  /// \return the partitions whose release is confirmed.
  std::vector<std::uint32_t> handle(const messages::Delegation &it,
                                    TimePoint now);
  /// Counts this daemon's own share until it is dropped.
  void holdOwn(const VmName &self, std::uint32_t partition, TimePoint now);
  void drop(const VmName &vm, std::uint32_t partition);
  /// \return the shares of a partition, with the time for which each has been
  /// held since \p since.
  HeldShares shares(std::uint32_t partition, TimePoint since, TimePoint now);
  /// \return the daemons among which the shares were divided when they were
  /// last summed.
  double daemons(std::uint32_t partition) const {
    return All[partition].Daemons;
  }

private:
  struct Held {
    TimePoint Since{};
    TimePoint Until{};
    std::uint32_t Daemons = 0;
    /// Challenges issued up to then no longer delegate.
    std::uint64_t ReleasedMicros = 0;
  };
  struct Partition {
    std::map<VmName, Held> Delegations;
    double Sum = 0;
    double Daemons = 0;
    TimePoint SumUntil{};
    TimePoint LastBegin{}; ///< When the newest of the shares began.
  };

  void sum(Partition &it, TimePoint now) const;

  std::uint64_t Incarnation;
  std::uint64_t LastReleaseMicros = 0;
  std::uint32_t OwnDaemons = 0;
  std::array<Partition, limits::Partitions> All;
};

} // namespace peridotfall::quota

#endif // PERIDOTFALL_QUOTA_SHARE_DELEGATION_H
