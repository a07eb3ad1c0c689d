/// \file
/// One daemon's view of a group: its leader, and the leader's log positions
/// over time.

#ifndef PERIDOTFALL_PROXY_GROUP_VIEW_H
#define PERIDOTFALL_PROXY_GROUP_VIEW_H

#include "peridotfall/clock.h"
#include "proxy/directory.h"

#include <deque>
#include <map>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

/// Samples kept of the log head, and the minimum time between two of them.
/// 128 at 25 ms cover 3.2 s, more than the longest staleness bound.
inline constexpr std::size_t HeadSamples = 128;
inline constexpr milliseconds HeadSpacing{25};

} // namespace limits

/// Not synchronised. The clock must include suspended time, so that the age of
/// a position seen before a suspension is its real age.
class GroupView {
public:
  /// Updates the view from the platform's list. An entry's claim to lead is
  /// only a hint: a new claim replaces the known leader, an old one does not.
  void updateEntries(const std::vector<TargetEntry> &targets);
  /// Call when a statement that only a primary runs has succeeded.
  /// \param sent when it was sent; \p head includes every commit that was
  /// acknowledged before.
  /// \return whether the leader changed.
  bool noteLeading(const TargetName &target, Position head, TimePoint sent);
  /// Call when the target answered that it is not the primary.
  void noteNotLeading(const TargetName &target);

  const std::optional<TargetName> &leader() const { return Leader; }
  Term term() const { return LeaderTerm; }
  std::optional<TimePoint> lastConfirmed() const { return ConfirmedAt; }
  /// \return the last position seen of the primary's log.
  std::optional<Position> lastHead() const;
  /// \return the primary of that log.
  const TargetName &headSource() const { return SampledLeader; }
  /// \return the lowest known position that includes every commit acknowledged
  /// longer than \p maxAge ago; empty if all samples are older than that.
  std::optional<Position> positionFor(Duration maxAge, TimePoint now) const;
  /// \return the maximum age of a view that includes the log up to \p at.
  Duration maxAgeOf(Position at, TimePoint now) const;

private:
  struct Claim {
    bool Leads = false;
    std::uint64_t Revision = 0;
    std::uint64_t StartId = 0;
  };
  struct HeadSample {
    TimePoint SentAt;
    Position Head;
  };

  std::map<TargetName, Claim> Claims;
  std::optional<TargetName> Leader;
  Term LeaderTerm = 0;
  std::optional<TimePoint> ConfirmedAt;
  std::deque<HeadSample> Samples;
  TargetName SampledLeader;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_GROUP_VIEW_H
