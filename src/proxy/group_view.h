/// \file
/// What one daemon knows of a group: which target leads, and how far its log
/// had come at which time.

#ifndef PERIDOTFALL_PROXY_GROUP_VIEW_H
#define PERIDOTFALL_PROXY_GROUP_VIEW_H

#include "peridotfall/clock.h"
#include "proxy/directory.h"

#include <deque>
#include <map>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

/// Positions remembered of a log's head, and the least time between two.
/// Reason: 128 at 25 ms cover 3.2 s, more than the longest staleness bound.
inline constexpr std::size_t HeadSamples = 128;
inline constexpr milliseconds HeadSpacing{25};

} // namespace limits

/// Not synchronised. Times are of a clock that counts suspended time: a
/// position seen before a suspension is as old as callers think it is.
class GroupView {
public:
  /// Takes the platform's list. It is a hint of who leads: a change of an
  /// entry's claim is newer than what was believed, an old claim is not.
  void takeEntries(const std::vector<TargetEntry> &targets);
  /// A statement that only a primary runs has succeeded.
  /// \param asked when it was sent: what was acknowledged before is in \p head.
  /// \return whether the leader changed.
  bool noteLead(const TargetName &target, Position head, TimePoint asked);
  /// The target said that it does not lead.
  void noteNotLeading(const TargetName &target);

  const std::optional<TargetName> &leader() const { return Leader; }
  Term term() const { return LeaderTerm; }
  std::optional<TimePoint> lastProof() const { return Proof; }
  /// \return the newest position seen of a primary's log.
  std::optional<Position> lastHead() const;
  /// \return the least position that holds all that was acknowledged longer
  /// than \p maxAge ago; nothing when no position is known young enough.
  std::optional<Position> positionFor(Duration maxAge, TimePoint now) const;
  /// \return how old a view is at most that holds the log up to \p at.
  Duration ageOf(Position at, TimePoint now) const;

private:
  struct Claim {
    bool Leads = false;
    std::uint64_t Revision = 0;
    std::uint64_t Born = 0;
  };
  struct HeadSample {
    TimePoint Asked;
    Position Head;
  };

  std::map<TargetName, Claim> Claims;
  std::optional<TargetName> Leader;
  Term LeaderTerm = 0;
  std::optional<TimePoint> Proof;
  std::deque<HeadSample> Samples;
  TargetName SampledAt;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GROUP_VIEW_H
