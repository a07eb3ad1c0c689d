#include "proxy/group_view.h"

#include <algorithm>

namespace peridotfall::proxy {

void GroupView::takeEntries(const std::vector<TargetEntry> &targets) {
  std::map<TargetName, Claim> next;
  const TargetEntry *newest = nullptr;
  for (const auto &it : targets) {
    auto before = Claims.find(it.Name);
    bool known = before != Claims.end() && before->second.Born == it.Born;
    bool news = it.ClaimsPrimary && !(known && before->second.Leads);
    next[it.Name] = {it.ClaimsPrimary, it.Revision, it.Born};
    if (news && (!newest || newest->Revision < it.Revision))
      newest = &it;
    // A process that started anew leads nothing that it led before.
    bool reborn = before != Claims.end() && !known;
    bool gaveUp = known && before->second.Leads && !it.ClaimsPrimary;
    if (Leader == it.Name && (reborn || gaveUp))
      Leader.reset();
  }
  Claims = std::move(next);
  if (Leader && !Claims.contains(*Leader))
    Leader.reset();
  if (newest)
    Leader = newest->Name;
}

bool GroupView::noteLead(const TargetName &target, Position head,
                         TimePoint asked) {
  // The answer of a primary that has been replaced meanwhile.
  if (head.InTerm < LeaderTerm)
    return false;
  bool changed = Leader != target;
  // What the old leader had last may be missing in this one's log.
  if (!Samples.empty() && SampledAt != target)
    Samples.clear();
  SampledAt = target;
  Leader = target;
  LeaderTerm = head.InTerm;
  Proof = std::max(Proof.value_or(asked), asked);
  if (Samples.empty() || asked - Samples.back().Asked >= limits::HeadSpacing)
    Samples.push_back({asked, head});
  if (Samples.size() > limits::HeadSamples)
    Samples.pop_front();
  return changed;
}

void GroupView::noteNotLeading(const TargetName &target) {
  if (Leader == target)
    Leader.reset();
}

std::optional<Position> GroupView::lastHead() const {
  if (Samples.empty())
    return std::nullopt;
  return Samples.back().Head;
}

std::optional<Position> GroupView::positionFor(Duration maxAge,
                                               TimePoint now) const {
  auto it = std::find_if(Samples.begin(), Samples.end(), [&](const auto &s) {
    return s.Asked + maxAge >= now;
  });
  if (it == Samples.end())
    return std::nullopt;
  return it->Head;
}

Duration GroupView::ageOf(Position at, TimePoint now) const {
  if (Samples.empty())
    return {};
  // All that was in the log when a head no later than this was asked for.
  auto held = Samples.front().Asked;
  for (const auto &it : Samples)
    if (it.Head <= at)
      held = it.Asked;
  return Samples.back().Head <= at ? Duration{} : now - held;
}

} // namespace peridotfall::proxy
