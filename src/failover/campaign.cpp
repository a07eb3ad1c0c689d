// One attempt at a change of primary: fences a majority of the targets and
// promotes the one with the highest log position.

#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Step retries for which a campaign with a fenced majority waits for the
/// nominee, or for the old primary of a hand-over, before it continues without.
constexpr int AttemptsToWait = 3;

Successor candidateFor(const GroupState &group, const TargetName &nominee) {
  auto above = highestTerm(group);
  if (group.RunningCampaign)
    above = std::max(above, group.RunningCampaign->Candidate.InTerm);
  return {successorTerm(group, nominee, above), nominee};
}

const TargetReport &highestFenced(const Campaign &it) {
  return std::max_element(it.Fenced.begin(), it.Fenced.end(),
                          [](const auto &a, const auto &b) {
                            return a.second.Last < b.second.Last;
                          })
      ->second;
}

TargetName nameOfHighest(const Campaign &it) {
  const auto &highest = highestFenced(it);
  for (const auto &[name, report] : it.Fenced)
    if (&report == &highest)
      return name;
  return {};
}

/// Restarts the campaign in a later term of the fenced target with the highest
/// log position.
void switchNominee(GroupState &group, TimePoint now, Actions &out) {
  auto to = nameOfHighest(*group.RunningCampaign);
  auto candidate = candidateFor(group, to);
  if (candidate.InTerm == 0) {
    failCampaign(group, now, out);
    out.push_back(TermsExhausted{});
    return;
  }
  group.RunningCampaign = Campaign{};
  group.RunningCampaign->Candidate = candidate;
  group.RunningCampaign->Began = now;
  group.RunningCampaign->NextAttempt = now;
  out.push_back(CampaignBegun{candidate});
  stepCampaign(group, now, out);
}

void sendPromote(GroupState &group, TimePoint now, Actions &out) {
  const auto &it = group.RunningCampaign->Candidate;
  group.RunningCampaign->NextAttempt = now + group.Limits.StepRetry;
  out.push_back(Promote{it.Nominee, it.InTerm});
}

/// A write confirmed in an older term may be on only one target of the fenced
/// majority; promoting another would lose an acknowledged write. Any majority
/// shares a target with the one that confirmed the write, and comparing (term,
/// index) finds the log that has it.
void evaluateFenced(GroupState &group, TimePoint now, Actions &out) {
  auto &it = *group.RunningCampaign;
  bool waited = now - it.Began >= group.Limits.StepRetry * AttemptsToWait;
  if (it.Fenced.size() < majorityOf(group.Targets.size()))
    return;
  bool oldMissing =
      !it.OldPrimary.empty() && it.Fenced.count(it.OldPrimary) == 0;
  if (oldMissing && !waited)
    return;
  auto nominee = it.Fenced.find(it.Candidate.Nominee);
  if (nominee == it.Fenced.end()) {
    if (waited)
      switchNominee(group, now, out);
    return;
  }
  // A record of the candidate's term can only come from the nominee: another
  // owner has already promoted it, and promoting it again changes nothing.
  const auto &highest = highestFenced(it);
  bool promoted = highest.Last.InTerm == it.Candidate.InTerm;
  if (nominee->second.Last < highest.Last && !promoted) {
    switchNominee(group, now, out);
    return;
  }
  it.CurrentPhase = Campaign::Phase::Promoting;
  sendPromote(group, now, out);
}

bool isCurrent(const GroupState &group, Term term, Campaign::Phase phase) {
  return group.RunningCampaign &&
         group.RunningCampaign->Candidate.InTerm == term &&
         group.RunningCampaign->CurrentPhase == phase;
}

} // namespace

TargetName pickNominee(const GroupState &group, TimePoint now) {
  const WatchedTarget *best = nullptr;
  std::size_t answering = 0;
  for (const auto &it : group.Targets) {
    if (!answersNow(group, it, now))
      continue;
    ++answering;
    auto keyOf = [](const WatchedTarget &n) {
      return std::pair(n.Report.Last, !n.Report.Leaving);
    };
    if (!best || keyOf(it) > keyOf(*best))
      best = &it;
  }
  // Without a majority of answers no campaign can succeed, so none begins. An
  // owner that is cut off together with one replica would only fence that
  // replica, and the primary would lose a target that confirms writes.
  return best && answering >= majorityOf(group.Targets.size()) ? best->Name
                                                               : TargetName{};
}

bool beginCampaign(GroupState &group, const TargetName &nominee, TimePoint now,
                   Actions &out) {
  auto candidate = candidateFor(group, nominee);
  group.NextCampaign = now + group.Limits.CampaignLimit;
  if (candidate.InTerm == 0) {
    group.Object.MustRead = true;
    out.push_back(TermsExhausted{});
    return false;
  }
  group.RunningCampaign = Campaign{};
  group.RunningCampaign->Candidate = candidate;
  group.RunningCampaign->Began = now;
  group.RunningCampaign->NextAttempt = now;
  out.push_back(CampaignBegun{candidate});
  stepCampaign(group, now, out);
  return true;
}

void failCampaign(GroupState &group, TimePoint now, Actions &out) {
  out.push_back(CampaignFailed{group.RunningCampaign->Candidate});
  group.RunningCampaign.reset();
  // Keeps two candidates from rejecting each other in lockstep: ranks wait for
  // different times, and jitter separates equal ones.
  auto stagger = group.Limits.Stagger;
  auto jitter = static_cast<std::int64_t>(
      nextRandom(group, static_cast<std::uint64_t>(stagger.count())));
  group.NextCampaign =
      now + stagger * static_cast<int>(rankOf(group)) + milliseconds(jitter);
}

void stepCampaign(GroupState &group, TimePoint now, Actions &out) {
  auto &it = *group.RunningCampaign;
  if (now - it.Began > group.Limits.CampaignLimit) {
    failCampaign(group, now, out);
    return;
  }
  if (now < it.NextAttempt)
    return;
  if (it.CurrentPhase == Campaign::Phase::Promoting) {
    sendPromote(group, now, out);
    return;
  }
  it.NextAttempt = now + group.Limits.StepRetry;
  for (const auto &target : group.Targets)
    if (it.Fenced.count(target.Name) == 0)
      out.push_back(Fence{target.Name, it.Candidate.InTerm});
  evaluateFenced(group, now, out);
}

Actions onFenced(GroupState &group, const TargetName &target, Term term,
                 StepOutcome outcome, const TargetReport &report,
                 TimePoint now) {
  Actions out;
  if (outcome == StepOutcome::Done)
    recordReport(group, target, report, now, out);
  if (!isCurrent(group, term, Campaign::Phase::Fencing))
    return out;
  if (outcome == StepOutcome::Refused) {
    // Another candidate has a higher term and takes precedence. The probe
    // reports that term, so that this owner's next attempt is above it.
    if (auto *it = findWatched(group, target))
      it->NextProbe = now;
    failCampaign(group, now, out);
  } else if (outcome == StepOutcome::Done && report.CurrentTerm == term) {
    group.RunningCampaign->Fenced[target] = report;
    evaluateFenced(group, now, out);
  }
  return out;
}

Actions onPromoted(GroupState &group, const TargetName &target, Term term,
                   StepOutcome outcome, const TargetReport &report,
                   TimePoint now) {
  Actions out;
  if (outcome == StepOutcome::Done)
    recordReport(group, target, report, now, out);
  if (!isCurrent(group, term, Campaign::Phase::Promoting))
    return out;
  if (outcome == StepOutcome::Refused) {
    // This owner was paused between fencing and promotion, and a higher term
    // was accepted meanwhile. The target's refusal prevents a second primary.
    failCampaign(group, now, out);
  } else if (outcome == StepOutcome::Done && report.IsPrimary) {
    group.RunningCampaign.reset();
    group.AgreedSince.reset();
    for (auto &it : group.Targets)
      if (it.Name != target) {
        it.NextFollow = now + group.Limits.StepRetry;
        out.push_back(Follow{it.Name, term, target});
      }
  }
  return out;
}

} // namespace peridotfall::failover
