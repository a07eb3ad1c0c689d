/// \file
/// What the parts of the change of primary share.

#ifndef PERIDOTFALL_FAILOVER_GROUP_H
#define PERIDOTFALL_FAILOVER_GROUP_H

#include "peridotfall/failover.h"

namespace peridotfall::failover {

inline std::size_t majorityOf(std::size_t n) { return n / 2 + 1; }

/// \return null where the group has no such target.
WatchedTarget *findWatched(GroupState &group, const TargetName &name);
const WatchedTarget *findWatched(const GroupState &group,
                                 const TargetName &name);

// Detection (detection.cpp).

/// Whether a target answers now, as far as the last probes can tell.
bool answersNow(const GroupState &group, const WatchedTarget &it,
                TimePoint now);
bool hasLeader(const GroupState &group, TimePoint now);
/// Highest term known to be accepted, published or tried.
Term highestTerm(const GroupState &group);
/// Whether the owners of a majority of the targets miss a primary.
bool majorityMissesLeader(const GroupState &group, TimePoint now);
/// This owner's place in the order in which owners act, the one of the
/// primary last: it is likely to have failed with it.
std::size_t rankOf(const GroupState &group);
/// Takes a report as an answer of the target.
void learn(GroupState &group, const TargetName &target,
           const TargetReport &report, TimePoint now, Actions &out);
/// \return a number from 0 to \p below, from the group's seed.
std::uint64_t draw(GroupState &group, std::uint64_t below);

// One attempt (campaign.cpp).

/// \return whether one could begin.
bool beginCampaign(GroupState &group, const TargetName &nominee, TimePoint now,
                   Actions &out);
void failCampaign(GroupState &group, TimePoint now, Actions &out);
void stepCampaign(GroupState &group, TimePoint now, Actions &out);
/// The target that answers with the highest last record. Empty: no majority
/// of the targets answers here, and nothing must be fenced then.
TargetName pickNominee(const GroupState &group, TimePoint now);

// Planned hand-over (handover.cpp).

void stepHandover(GroupState &group, TimePoint now, Actions &out);
void endHandover(GroupState &group, TimePoint now, Actions &out);
/// Ends one that did not replace the primary.
void failHandover(GroupState &group, HandoverEnd why, TimePoint now,
                  Actions &out);

// The platform's object (publication.cpp).

/// Whether a primary leaves and no replica has an agreed term.
bool lacksTerm(const GroupState &group);
/// \return the nominee's lowest term above \p above, or 0.
Term successorTerm(const GroupState &group, const TargetName &nominee,
                   Term above);
void stepPublication(GroupState &group, TimePoint now, Actions &out);

} // namespace peridotfall::failover

#endif // PERIDOTFALL_FAILOVER_GROUP_H
