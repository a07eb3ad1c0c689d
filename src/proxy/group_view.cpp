#include "proxy/group_view.h"

#include <algorithm>

namespace peridotfall::proxy {

void GroupView::updateEntries(const std::vector<TargetEntry> &targets) {
  std::map<TargetName, Claim> next;
  const TargetEntry *newest = nullptr;
  for (const auto &it : targets) {
    auto before = Claims.find(it.Name);
    bool known = before != Claims.end() && before->second.StartId == it.StartId;
    bool isNewClaim = it.ClaimsPrimary && !(known && before->second.Leads);
    next[it.Name] = {it.ClaimsPrimary, it.Revision, it.StartId};
    if (isNewClaim && (!newest || newest->Revision < it.Revision))
      newest = &it;
    // A target that was restarted does not lead until it claims to.
    bool restarted = before != Claims.end() && !known;
    bool withdrewClaim = known && before->second.Leads && !it.ClaimsPrimary;
    if (Leader == it.Name && (restarted || withdrewClaim))
      Leader.reset();
  }
  Claims = std::move(next);
  if (Leader && !Claims.contains(*Leader))
    Leader.reset();
  if (newest)
    Leader = newest->Name;
}

bool GroupView::noteLeading(const TargetName &target, Position head,
                            TimePoint sent) {
  // The answer of a primary that has since been replaced.
  if (head.InTerm < LeaderTerm)
    return false;
  bool changed = Leader != target;
  // The old leader's last records may be missing from this one's log.
  if (!Samples.empty() && SampledLeader != target)
    Samples.clear();
  SampledLeader = target;
  Leader = target;
  LeaderTerm = head.InTerm;
  ConfirmedAt = std::max(ConfirmedAt.value_or(sent), sent);
  if (Samples.empty() || sent - Samples.back().SentAt >= limits::HeadSpacing)
    Samples.push_back({sent, head});
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
    return s.SentAt + maxAge >= now;
  });
  if (it == Samples.end())
    return std::nullopt;
  return it->Head;
}

Duration GroupView::maxAgeOf(Position at, TimePoint now) const {
  if (Samples.empty())
    return {};
  // The view includes all that was acknowledged before the query that returned
  // the last head not beyond it.
  auto upToDateAt = Samples.front().SentAt;
  for (const auto &it : Samples)
    if (it.Head <= at)
      upToDateAt = it.SentAt;
  return Samples.back().Head <= at ? Duration{} : now - upToDateAt;
}

} // namespace peridotfall::proxy
