/// \file
/// How long a statement waits for a target, and when one refused as busy is
/// tried again, by the time that its caller has left. Load: bursts that fill
/// the targets' queues for a part of a statement's limit. Pure decisions; the
/// time is passed in.

#ifndef PERIDOTFALL_PROXY_ATTEMPT_TIME_H
#define PERIDOTFALL_PROXY_ATTEMPT_TIME_H

#include "peridotfall/clock.h"

#include <chrono>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

using std::chrono::milliseconds;

/// Minimum time left for which an attempt is started.
inline constexpr milliseconds MinAttemptTime{20};
/// The same for a read, which may be cut off without harm: a round trip within
/// a region and the run time of a lookup.
inline constexpr milliseconds MinReadAttemptTime{5};
/// Share of the useful time left that a read waits for a connection to one
/// target, so that as much is left for another target.
inline constexpr double ReadWaitShare = 0.5;
/// Delay before a statement rejected as busy is sent to the same target again.
/// It grows by this much with each attempt, up to the maximum.
inline constexpr milliseconds BusyRetryDelay{15};
inline constexpr milliseconds MaxBusyRetryDelay{120};

} // namespace limits

/// \return the time below which a statement is not sent any more.
Duration minAttemptTime(bool writes);

/// \param goalLeft until the answer is of little use; zero or less if that is
/// over, empty if there is no such time.
/// \param left until the statement's limit.
/// \return how long a read waits for a connection to the chosen target.
Duration readWait(std::optional<Duration> goalLeft, Duration left);

/// \param refusals of this statement as busy, the last one included.
/// \param retryAfter when the target expects to have room; empty: not known.
/// \param until when the statement must have been sent.
/// \return when to try again; empty if that would be too late.
std::optional<TimePoint> busyRetryAt(unsigned refusals,
                                     std::optional<Duration> retryAfter,
                                     TimePoint until, TimePoint now);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ATTEMPT_TIME_H
