/// \file
/// Converts results of targets and the platform to inputs of the failover state
/// machine.

#ifndef PERIDOTFALL_DAEMON_FAILOVER_CALLS_H
#define PERIDOTFALL_DAEMON_FAILOVER_CALLS_H

#include "peridotfall/configuration.h"
#include "peridotfall/failover.h"
#include "target/target.h"

namespace peridotfall {

/// Leaves Following empty; the second form resolves it to a target's name.
failover::TargetReport toReport(const target::Status &it);
failover::TargetReport toReport(const target::Status &it,
                                const DatabaseConfig &database);
template <class T> failover::StepOutcome toOutcome(const Result<T> &it) {
  if (it)
    return failover::StepOutcome::Done;
  return it.error().Code == ErrorCode::Conflict
             ? failover::StepOutcome::Refused
             : failover::StepOutcome::Unknown;
}

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_FAILOVER_CALLS_H
