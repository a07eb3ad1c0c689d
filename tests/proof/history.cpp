#include "proof/history.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>

namespace peridotfall::proof {

namespace {

constexpr int StatementsPerTransaction = 2;

/// The history, indexed once for all checks.
struct Index {
  std::map<EffectId, int> Survived;        ///< Records with the effect.
  std::map<EffectId, TimePoint> Committed; ///< Of the surviving record.
  std::set<RequestId> RanFor;              ///< Requests whose change survived.
};

Index buildIndex(const History &it) {
  Index out;
  std::map<std::pair<Position, EffectId>, TimePoint> when;
  for (const auto &commit : it.Commits)
    when.try_emplace({commit.At, commit.Effect}, commit.When);
  for (const auto &record : it.Surviving) {
    std::set<EffectId> effects;
    for (const auto &change : record.Changes) {
      effects.insert(change.Effect);
      out.RanFor.insert(change.Request);
      auto found = when.find({record.At, change.Effect});
      if (found != when.end())
        out.Committed.try_emplace(change.Effect, found->second);
    }
    for (auto effect : effects)
      ++out.Survived[effect];
  }
  return out;
}

bool isDone(const CallerRequest &it) {
  return it.Answer && it.Answer->Effect == Outcome::Done;
}

bool changes(const CallerRequest &it) {
  return it.Kind != RequestKind::FreshRead;
}

using Violations = std::vector<Violation>;

void checkEffects(const History &it, const Index &index, Violations &out) {
  for (const auto &[effect, n] : index.Survived)
    if (n > 1)
      out.push_back(
          {ViolationKind::Doubled,
           fmt::format("effect {} stands {} times", effect.Value, n)});
  for (const auto &request : it.Requests) {
    if (!changes(request) || !request.Answer)
      continue;
    bool survived = index.Survived.count(request.Effect) != 0;
    if (isDone(request) && !survived)
      out.push_back(
          {ViolationKind::Lost,
           fmt::format("effect {} acknowledged at term {}",
                       request.Effect.Value, request.Answer->At.InTerm)});
    if (request.Answer->Effect == Outcome::NotRun &&
        index.RanFor.count(request.Id) != 0)
      out.push_back({ViolationKind::FalseNotRun,
                     fmt::format("request {}", request.Id.Value)});
  }
}

/// A record must be one complete unit of one caller: a single statement, or all
/// parts of one transaction.
void checkMixed(const History &it, Violations &out) {
  for (const auto &record : it.Surviving) {
    if (record.Changes.empty())
      continue;
    const auto &first = record.Changes.front();
    bool same = std::all_of(record.Changes.begin(), record.Changes.end(),
                            [&](const Change &change) {
                              return change.Effect == first.Effect &&
                                     change.Transaction == first.Transaction;
                            });
    std::size_t expected =
        first.Transaction.empty() ? 1 : StatementsPerTransaction;
    if (!same || record.Changes.size() != expected)
      out.push_back(
          {ViolationKind::Mixed,
           fmt::format("record {}.{} holds {} changes", record.At.InTerm,
                       record.At.Index, record.Changes.size())});
  }
}

/// An effect that a session's reads must see from a time on.
struct ExpectedEffect {
  TimePoint Since;
  EffectId Effect;
};

/// Includes committed writes of unknown outcome: a caller that does not see
/// such a write would order again.
std::vector<ExpectedEffect> expectedEffects(const Index &index,
                                            const CallerRequest &request) {
  std::vector<ExpectedEffect> out;
  if (!request.Answer)
    return out;
  const auto &answer = *request.Answer;
  if (request.Kind == RequestKind::FreshRead) {
    if (answer.Effect == Outcome::Done)
      for (auto effect : answer.Seen)
        out.push_back({answer.Ended, effect});
    return out;
  }
  auto committed = index.Committed.find(request.Effect);
  if (committed == index.Committed.end())
    return out;
  if (answer.Effect == Outcome::Done)
    out.push_back({answer.Ended, request.Effect});
  if (answer.Effect == Outcome::Unknown)
    out.push_back({std::max(answer.Ended, committed->second), request.Effect});
  return out;
}

void checkReads(const History &it, const Index &index, Violations &out) {
  std::map<SessionId, std::vector<ExpectedEffect>> expected;
  for (const auto &request : it.Requests)
    for (const auto &item : expectedEffects(index, request))
      expected[request.By].push_back(item);
  for (const auto &request : it.Requests) {
    if (request.Kind != RequestKind::FreshRead || !isDone(request))
      continue;
    for (const auto &item : expected[request.By])
      if (item.Since < request.Begun &&
          request.Answer->Seen.count(item.Effect) == 0)
        out.push_back({ViolationKind::OwnWriteUnseen,
                       fmt::format("request {} missed effect {}",
                                   request.Id.Value, item.Effect.Value)});
  }
}

/// A record appended after the promotion of a higher term is of a replaced
/// primary: it may not be acknowledged, even if its effect survives in another
/// record.
void checkReplaced(const History &it, Violations &out) {
  std::map<std::pair<Position, EffectId>, TimePoint> when;
  for (const auto &commit : it.Commits)
    when.try_emplace({commit.At, commit.Effect}, commit.When);
  for (const auto &request : it.Requests) {
    if (!changes(request) || !isDone(request))
      continue;
    auto found = when.find({request.Answer->At, request.Effect});
    if (found == when.end())
      continue;
    for (const auto &promotion : it.Promotions)
      if (promotion.InTerm > request.Answer->At.InTerm &&
          promotion.When < found->second)
        out.push_back(
            {ViolationKind::ReplacedPrimary,
             fmt::format("effect {} of term {} after term {} began",
                         request.Effect.Value, request.Answer->At.InTerm,
                         promotion.InTerm)});
  }
}

void checkAnswers(const History &it, Violations &out) {
  for (const auto &request : it.Requests) {
    if (!request.Answer)
      continue;
    bool wrong = request.Answer->Id != request.Id ||
                 (isDone(request) && request.Answer->Echo != request.Effect);
    if (wrong)
      out.push_back({ViolationKind::WrongAnswer,
                     fmt::format("request {} got the answer of {}, effect {}",
                                 request.Id.Value, request.Answer->Id.Value,
                                 request.Answer->Echo.Value)});
  }
}

void checkRevisions(const History &it, Violations &out) {
  std::map<std::pair<VmName, std::uint64_t>, std::uint64_t> last;
  for (const auto &seen : it.Revisions) {
    auto &highest = last[{seen.Vm, seen.Incarnation}];
    if (seen.Revision < highest)
      out.push_back({ViolationKind::RevisionFell,
                     fmt::format("{} from {} to {}", seen.Vm.Value, highest,
                                 seen.Revision)});
    highest = seen.Revision;
  }
}

void checkConfigurations(const History &it, Violations &out) {
  std::uint64_t accepted = 0;
  std::set<std::string> wereInForce;
  for (const auto &seen : it.Revisions)
    wereInForce.insert(seen.Id);
  for (const auto &applied : it.Applications) {
    if (applied.Reported == Outcome::Done)
      accepted = std::max(accepted, applied.Revision);
    if (applied.Reported == Outcome::NotRun &&
        wereInForce.count(applied.Id) != 0)
      out.push_back({ViolationKind::FalseRefusal, applied.Id});
  }
  for (const auto &seen : it.RevisionsAtEnd)
    if (seen.Revision < accepted)
      out.push_back({ViolationKind::ConfigurationMissing,
                     fmt::format("{} has {}, accepted is {}", seen.Vm.Value,
                                 seen.Revision, accepted)});
}

void checkProgress(const History &it, Violations &out) {
  if (!it.HealedAt)
    return;
  bool any = std::any_of(it.Requests.begin(), it.Requests.end(),
                         [&](const CallerRequest &request) {
                           return changes(request) && isDone(request) &&
                                  request.Begun >= *it.HealedAt + ProgressLimit;
                         });
  if (!any)
    out.push_back({ViolationKind::NoProgress, "after all was healed"});
}

void checkLeaving(const History &it, Violations &out) {
  for (const auto &work : it.AtLeaving)
    if (work.SinceLeaving > LeavingLimit)
      out.push_back(
          {ViolationKind::WorkAtLeaving,
           fmt::format("{} after {} ms", work.Target.Value,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           work.SinceLeaving)
                           .count())});
  if (it.CutByShutdown > 0)
    out.push_back({ViolationKind::CutByShutdown,
                   fmt::format("{} requests", it.CutByShutdown)});
}

} // namespace

std::string toString(ViolationKind it) {
  switch (it) {
  case ViolationKind::Doubled:
    return "doubled";
  case ViolationKind::Lost:
    return "lost";
  case ViolationKind::Mixed:
    return "mixed";
  case ViolationKind::OwnWriteUnseen:
    return "own write unseen";
  case ViolationKind::FalseNotRun:
    return "false not run";
  case ViolationKind::ReplacedPrimary:
    return "replaced primary";
  case ViolationKind::WrongAnswer:
    return "wrong answer";
  case ViolationKind::RevisionFell:
    return "revision fell";
  case ViolationKind::WorkAtLeaving:
    return "work at leaving target";
  case ViolationKind::CutByShutdown:
    return "cut by shutdown";
  case ViolationKind::ConfigurationMissing:
    return "configuration missing";
  case ViolationKind::FalseRefusal:
    return "false refusal";
  case ViolationKind::NoProgress:
    return "no progress";
  }
  return "";
}

std::vector<Violation> checkHistory(const History &it) {
  auto index = buildIndex(it);
  Violations out;
  checkEffects(it, index, out);
  checkMixed(it, out);
  checkReads(it, index, out);
  checkReplaced(it, out);
  checkAnswers(it, out);
  checkRevisions(it, out);
  checkConfigurations(it, out);
  checkLeaving(it, out);
  checkProgress(it, out);
  return out;
}

} // namespace peridotfall::proof
