/// \file
/// Internal declarations shared by the sources of the failover state machine.

#ifndef PERIDOTFALL_FAILOVER_GROUP_H
#define PERIDOTFALL_FAILOVER_GROUP_H

#include "peridotfall/failover.h"

namespace peridotfall::failover {

inline std::size_t majorityOf(std::size_t n) { return n / 2 + 1; }

/// \return null if the group has no such target.
WatchedTarget *findWatched(GroupState &group, const TargetName &name);
const WatchedTarget *findWatched(const GroupState &group,
                                 const TargetName &name);

// Detection (detection.cpp).

/// Whether a target answers, according to the last probes.
bool answersNow(const GroupState &group, const WatchedTarget &it,
                TimePoint now);
bool hasLeader(const GroupState &group, TimePoint now);
/// Highest term known to be accepted by a target or published.
Term highestTerm(const GroupState &group);
/// Whether the owners of a majority of the targets miss a primary.
bool majorityMissesLeader(const GroupState &group, TimePoint now);
/// This owner's index in the order in which owners act. The primary's owner is
/// last: it is likely to have failed with the primary.
std::size_t rankOf(const GroupState &group);
/// Records a report as the target's latest answer.
void recordReport(GroupState &group, const TargetName &target,
                  const TargetReport &report, TimePoint now, Actions &out);
/// \return a pseudo-random number below \p below; 0 if that is 0.
std::uint64_t nextRandom(GroupState &group, std::uint64_t below);

// Campaign: one attempt at a change of primary (campaign.cpp).

/// \return whether a campaign has begun.
bool beginCampaign(GroupState &group, const TargetName &nominee, TimePoint now,
                   Actions &out);
void failCampaign(GroupState &group, TimePoint now, Actions &out);
void stepCampaign(GroupState &group, TimePoint now, Actions &out);
/// \return the target that answers with the highest last record. Empty if no
/// majority of the targets answers this owner; then nothing may be fenced.
TargetName pickNominee(const GroupState &group, TimePoint now);

// Planned hand-over (handover.cpp).

void stepHandover(GroupState &group, TimePoint now, Actions &out);
void endHandover(GroupState &group, TimePoint now, Actions &out);
/// Ends a hand-over that did not replace the primary.
void failHandover(GroupState &group, HandoverEnd why, TimePoint now,
                  Actions &out);

// Group object at the platform (publication.cpp).

/// Whether a primary is leaving and no replica has an assigned term.
bool lacksTerm(const GroupState &group);
/// \return the nominee's lowest term above \p above, or 0.
Term successorTerm(const GroupState &group, const TargetName &nominee,
                   Term above);
void stepPublication(GroupState &group, TimePoint now, Actions &out);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_GROUP_H
