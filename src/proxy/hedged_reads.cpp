// Second copies of reads: when they are sent, and what becomes of the copy that
// is not used.

#include "proxy/sessions.h"

#include <utility>

namespace peridotfall::proxy {

void Sessions::hedgeIfLate(Session &session, TimePoint now) {
  auto &run = *session.Current;
  auto *group = Targets.find(run.AssignedRoute.Group);
  if (!run.Demand || run.Hedged || !group ||
      !Hedges.mayHedge(now - run.SentAt, group->BusyAt, now))
    return;
  if (chooseHedge(run, *group).empty())
    return;
  run.Hedged = true;
  Hedges.spend();
  admitOperation(session, &Sessions::handleHedgeAdmission);
}

TargetName Sessions::chooseHedge(const StatementRun &run, Group &group) {
  auto now = Time.now();
  auto demand = *run.Demand;
  demand.Avoid = run.Target;
  auto choice =
      group.ReadPlacement.choose(demand, Targets.candidates(group), true, now);
  // Placement falls back to targets that it avoids; none is worth a copy.
  if (choice.Target == run.Target ||
      choice.WaitBefore > limits::NegligibleWait ||
      group.ReadPlacement.ejected(choice.Target, now))
    return {};
  return choice.Target;
}

void Sessions::handleHedgeAdmission(Session &session,
                                    const QuotaDecision &decision) {
  auto &run = *session.Current;
  auto *group = Targets.find(run.AssignedRoute.Group);
  // The first copy may have ended while the question was under way.
  if (!decision.Run || !run.InFlight || run.Hedge || !run.Demand || !group)
    return;
  auto target = chooseHedge(run, *group);
  if (!target.empty())
    sendHedge(session, *group, target);
}

void Sessions::sendHedge(Session &session, Group &group,
                         const TargetName &target) {
  auto &run = *session.Current;
  auto now = Time.now();
  if (run.Deadline - now < minAttemptTimeOf(run))
    return;
  Metrics.HedgesSent->Increment();
  group.ReadPlacement.started(target);
  ReadCopy copy;
  copy.Target = target;
  copy.SentAt = now;
  copy.Sent = composeFirstBatch(session, false, run.Demand->NotBefore);
  copy.Sent.Timeout = run.Deadline - now;
  copy.Lease =
      Targets.begin(makeRequest(run, target, readWaitOf(run)), copy.Sent,
                    ifStillCurrent(session, &Sessions::handleHedgeResult));
  run.Hedge = std::move(copy);
}

void Sessions::handleHedgeResult(Session &session, const BatchResult &result) {
  auto &run = *session.Current;
  // The first copy has failed, and this one has taken its place.
  if (!run.Hedge) {
    handleFirstResult(session, result);
    return;
  }
  swapCopies(run);
  if (result.End == BatchEnd::Complete && result.Answers[0].ok()) {
    Metrics.HedgesUsed->Increment();
    handleFirstResult(session, result);
    return;
  }
  if (auto *group = Targets.find(run.AssignedRoute.Group))
    report(run, *group, result);
  swapCopies(run);
  run.Hedge.reset();
}

void Sessions::swapCopies(StatementRun &run) {
  std::swap(run.Target, run.Hedge->Target);
  std::swap(run.Lease, run.Hedge->Lease);
  std::swap(run.Sent, run.Hedge->Sent);
  std::swap(run.SentAt, run.Hedge->SentAt);
}

/// The copy isn't abandoned: its answer, or its silence, tells placement about
/// its target, which would otherwise never be found slow. Its batch ends its
/// lease, and it times out by itself.
void Sessions::leaveToEnd(StatementRun &run) {
  if (!run.Hedge)
    return;
  auto &copy = UnusedCopies[run.Serial];
  copy = run;
  swapCopies(copy);
  copy.Hedge.reset();
  run.Hedge.reset();
}

void Sessions::endUnusedCopy(std::uint64_t serial, const BatchResult &result) {
  auto it = UnusedCopies.find(serial);
  if (it == UnusedCopies.end())
    return;
  auto copy = std::move(it->second);
  UnusedCopies.erase(it);
  if (result.LeaseKept)
    releaseLease(copy.Lease);
  if (auto *group = Targets.find(copy.AssignedRoute.Group))
    report(copy, *group, result);
}

} // namespace peridotfall::proxy
