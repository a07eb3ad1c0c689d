// One attempt at a change of primary: fence a majority, promote the highest.

#include "failover/group.h"

#include <algorithm>
#include <utility>

namespace peridotfall::failover {

namespace {

/// Tries that a fenced majority waits for the nominee, or for the old primary
/// of a hand-over, before it goes on without.
constexpr int TriesToWait = 3;

Successor candidateFor(const GroupState &group, const TargetName &nominee) {
  auto above = highestTerm(group);
  if (group.Running)
    above = std::max(above, group.Running->Candidate.InTerm);
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

/// Goes on with a later term of the replica that has more.
void switchNominee(GroupState &group, TimePoint now, Actions &out) {
  auto to = nameOfHighest(*group.Running);
  auto candidate = candidateFor(group, to);
  if (candidate.InTerm == 0) {
    failCampaign(group, now, out);
    out.push_back(TermsExhausted{});
    return;
  }
  group.Running = Campaign{};
  group.Running->Candidate = candidate;
  group.Running->Began = now;
  group.Running->NextTry = now;
  out.push_back(CampaignBegun{candidate});
  stepCampaign(group, now, out);
}

void sendPromote(GroupState &group, TimePoint now, Actions &out) {
  const auto &it = group.Running->Candidate;
  group.Running->NextTry = now + group.Limits.StepRetry;
  out.push_back(Promote{it.Nominee, it.InTerm});
}

/// Failure: a write confirmed in an older term is on one target of the
/// majority only. Symptom: another is promoted without it, and an
/// acknowledged write is lost. Any majority shares a target with the one that
/// confirmed it, and comparing (term, index) finds the log that has it.
void weighFenced(GroupState &group, TimePoint now, Actions &out) {
  auto &it = *group.Running;
  bool waited = now - it.Began >= group.Limits.StepRetry * TriesToWait;
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
  // A record of this very term can only come from the nominee: another owner
  // has promoted it already, and promoting it again changes nothing.
  const auto &highest = highestFenced(it);
  bool promoted = highest.Last.InTerm == it.Candidate.InTerm;
  if (nominee->second.Last < highest.Last && !promoted) {
    switchNominee(group, now, out);
    return;
  }
  it.Step = Campaign::Phase::Promoting;
  sendPromote(group, now, out);
}

bool isCurrent(const GroupState &group, Term term, Campaign::Phase phase) {
  return group.Running && group.Running->Candidate.InTerm == term &&
         group.Running->Step == phase;
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
  // Failure: this owner is cut off together with one replica. Symptom: it
  // fences that replica for nothing, and the primary loses a confirmer. Where
  // no majority answers no campaign can succeed, so none begins.
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
  group.Running = Campaign{};
  group.Running->Candidate = candidate;
  group.Running->Began = now;
  group.Running->NextTry = now;
  out.push_back(CampaignBegun{candidate});
  stepCampaign(group, now, out);
  return true;
}

void failCampaign(GroupState &group, TimePoint now, Actions &out) {
  out.push_back(CampaignFailed{group.Running->Candidate});
  group.Running.reset();
  // Two candidates that refuse each other must not do so in step for ever:
  // the ranks wait for different times, and chance parts equal ones.
  auto stagger = group.Limits.Stagger;
  auto chance = static_cast<std::int64_t>(
      draw(group, static_cast<std::uint64_t>(stagger.count())));
  group.NextCampaign =
      now + stagger * static_cast<int>(rankOf(group)) + milliseconds(chance);
}

void stepCampaign(GroupState &group, TimePoint now, Actions &out) {
  auto &it = *group.Running;
  if (now - it.Began > group.Limits.CampaignLimit) {
    failCampaign(group, now, out);
    return;
  }
  if (now < it.NextTry)
    return;
  if (it.Step == Campaign::Phase::Promoting) {
    sendPromote(group, now, out);
    return;
  }
  it.NextTry = now + group.Limits.StepRetry;
  for (const auto &target : group.Targets)
    if (it.Fenced.count(target.Name) == 0)
      out.push_back(Fence{target.Name, it.Candidate.InTerm});
  weighFenced(group, now, out);
}

Actions onFenced(GroupState &group, const TargetName &target, Term term,
                 StepOutcome outcome, const TargetReport &report,
                 TimePoint now) {
  Actions out;
  if (outcome == StepOutcome::Done)
    learn(group, target, report, now, out);
  if (!isCurrent(group, term, Campaign::Phase::Fencing))
    return out;
  if (outcome == StepOutcome::Refused) {
    // A higher term is under way; its candidate goes first. The probe tells
    // which term, so that the next try here is above it.
    if (auto *it = findWatched(group, target))
      it->NextProbe = now;
    failCampaign(group, now, out);
  } else if (outcome == StepOutcome::Done && report.CurrentTerm == term) {
    group.Running->Fenced[target] = report;
    weighFenced(group, now, out);
  }
  return out;
}

Actions onPromoted(GroupState &group, const TargetName &target, Term term,
                   StepOutcome outcome, const TargetReport &report,
                   TimePoint now) {
  Actions out;
  if (outcome == StepOutcome::Done)
    learn(group, target, report, now, out);
  if (!isCurrent(group, term, Campaign::Phase::Promoting))
    return out;
  if (outcome == StepOutcome::Refused) {
    // Frozen between fencing and promotion, and a higher term was accepted
    // meanwhile: the target's own refusal is what keeps this harmless.
    failCampaign(group, now, out);
  } else if (outcome == StepOutcome::Done && report.IsPrimary) {
    group.Running.reset();
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
