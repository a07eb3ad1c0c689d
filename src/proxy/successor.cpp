#include "proxy/successor.h"

#include <algorithm>
#include <tuple>

namespace peridotfall::proxy {

namespace {

SuccessorDecision promote(const PrimaryChange &change,
                          const ReplicaReport &replica) {
  SuccessorDecision out;
  out.Step = SuccessorStep::Promote;
  out.Target = replica.Name;
  out.Received = replica.Status->Received;
  if (auto last = std::max(change.LastHead, change.PrimaryAt);
      last && last->InTerm == out.Received.InTerm &&
      last->Index > out.Received.Index)
    out.MissingRecords = last->Index - out.Received.Index;
  return out;
}

/// Of a group whose commits do not wait for replicas.
SuccessorDecision selectMostAdvanced(const PrimaryChange &change) {
  std::size_t candidates = 0;
  std::size_t answered = 0;
  for (const auto &it : change.Replicas) {
    candidates += isCandidate(false, it.Leaving);
    answered += isCandidate(false, it.Leaving) && it.Status;
  }
  if (answered < candidates && change.Waited < limits::SilentReplicaTimeout)
    return {SuccessorStep::QueryMissing};
  const ReplicaReport *best = nullptr;
  for (const auto &it : change.Replicas) {
    if (!isCandidate(false, it.Leaving) || !it.Status || it.Status->IsPrimary ||
        (it.PromotionFailed && answered > 1))
      continue;
    if (!best || it.Status->Received > best->Status->Received)
      best = &it;
  }
  if (!best)
    return {SuccessorStep::NoneLeft};
  auto out = promote(change, *best);
  if (change.Planned && out.MissingRecords > 0 &&
      change.Waited < limits::CatchUpTimeout)
    return {SuccessorStep::QueryAll};
  return out;
}

/// \return of the replicas that have all records up to \p at, preferably one
/// that stays and whose promotion has not failed; null if there is none.
const ReplicaReport *findComplete(const PrimaryChange &change, Position at,
                                  bool mayLeave) {
  auto keyOf = [](const ReplicaReport &it) {
    return std::tuple(!it.PromotionFailed, !it.Leaving, it.Status->Received);
  };
  const ReplicaReport *best = nullptr;
  for (const auto &it : change.Replicas)
    if (it.Status && it.Status->Received >= at && (mayLeave || !it.Leaving) &&
        (!best || keyOf(it) > keyOf(*best)))
      best = &it;
  return best;
}

/// Of a group whose commits wait for a replica.
SuccessorDecision selectComplete(const PrimaryChange &change) {
  const SuccessorDecision wait{SuccessorStep::QueryAll};
  // The group has a primary already, which the list does not name yet.
  for (const auto &it : change.Replicas)
    if (it.Status && it.Status->IsPrimary)
      return wait;
  if (change.Planned && change.PrimaryAt) {
    const auto *it = findComplete(change, *change.PrimaryAt, false);
    return it ? promote(change, *it) : wait;
  }
  if (change.Planned && change.Waited < limits::SilentReplicaTimeout)
    return wait;
  if (change.Replicas.empty())
    return {SuccessorStep::NoneLeft};
  // Any replica may be the only one that has the last acknowledged commits.
  Position most;
  for (const auto &it : change.Replicas) {
    if (!it.Status)
      return wait;
    most = std::max(most, it.Status->Received);
  }
  if (change.HeadAtLoss > most && change.Waited < limits::PrimaryReturnTimeout)
    return wait;
  return promote(change, *findComplete(change, most, true));
}

} // namespace

bool isCandidate(bool waitsForReplica, bool leaving) {
  return waitsForReplica || !leaving;
}

SuccessorDecision selectSuccessor(const PrimaryChange &change) {
  return change.WaitsForReplica ? selectComplete(change)
                                : selectMostAdvanced(change);
}

} // namespace peridotfall::proxy
