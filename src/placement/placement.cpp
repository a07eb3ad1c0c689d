#include "peridotfall/placement.h"

#include "base/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall {

namespace {

constexpr Duration InfiniteCost = Duration::max();

bool isFailure(AnswerCode it) {
  return it == AnswerCode::Unavailable || it == AnswerCode::ConnectionLost;
}

/// \return whether the target failed a read; empty if the answer says nothing
/// about the target, such as a refusal for load.
std::optional<bool> failedRead(const AnswerReport &it) {
  if (it.Mode == Access::Write)
    return std::nullopt;
  if (it.Code == AnswerCode::Ok)
    return false;
  if (isFailure(it.Code) || it.Code == AnswerCode::SqlError)
    return true;
  return std::nullopt;
}

} // namespace

Duration roundTripTime(Distance it) {
  using std::chrono::milliseconds;
  switch (it) {
  case Distance::SameDomain:
    return milliseconds(0);
  case Distance::SameRegion:
    return milliseconds(3);
  case Distance::OtherRegion:
    return milliseconds(16);
  }
  return {};
}

Duration Placement::lagOf(const Candidate &it, const TargetStats &stats) const {
  if (it.Age)
    return *it.Age;
  return stats.LagKnown ? stats.Lag : Duration(limits::UnknownLag);
}

std::optional<Duration> Placement::catchUpWait(const ReadDemand &demand,
                                               const Candidate &it,
                                               TimePoint now) const {
  if (it.IsPrimary)
    return Duration{};
  if (demand.PrimaryOnly)
    return std::nullopt;
  auto known = StatsByTarget.find(it.Name);
  const TargetStats none;
  const auto &stats = known == StatsByTarget.end() ? none : known->second;
  auto lag = lagOf(it, stats);
  if (demand.Mode == Access::StaleRead) {
    if (lag > demand.MaxAge)
      return std::nullopt;
    return Duration{};
  }
  if (std::max(it.Applied, stats.Applied) >= demand.NotBefore)
    return Duration{};
  auto wait = Head.committedBy(demand.NotBefore, now) + lag - now;
  if (wait > limits::MaxCatchUpWait)
    return std::nullopt;
  return std::max(wait, Duration{});
}

/// \return expected time until the answer. Includes the requests of this entry
/// daemon that the target has not answered yet: load reports are delayed, so
/// without them a burst would go to a single target.
Duration Placement::expectedCost(const Candidate &it, TimePoint now) const {
  auto out = roundTripTime(it.TargetDistance);
  if (it.TargetDistance == Distance::OtherRegion)
    out += limits::LinkPenalty;
  if (it.IsPrimary)
    out += limits::PrimaryPenalty;
  auto known = StatsByTarget.find(it.Name);
  if (known == StatsByTarget.end())
    return out;
  const auto &stats = known->second;
  double fade =
      std::exp(-std::chrono::duration<double>(now - stats.WaitReportedAt) /
               std::chrono::duration<double>(limits::ReportFade));
  return out + stats.Service.Value + scaled(stats.Wait, std::min(fade, 1.0)) +
         stats.Service.Value * stats.Outstanding;
}

bool Placement::ejected(const TargetName &target, TimePoint now) const {
  auto it = StatsByTarget.find(target);
  return it != StatsByTarget.end() && now < it->second.EjectedUntil;
}

/// \return whether the target takes this read: not while it is ejected, and
/// with a rising probability after that.
bool Placement::isAdmitted(const Candidate &it, TimePoint now) {
  auto known = StatsByTarget.find(it.Name);
  if (it.IsPrimary || known == StatsByTarget.end() ||
      known->second.Ejections == 0)
    return true;
  auto since = now - known->second.EjectedUntil;
  if (since < Duration{})
    return false;
  if (since >= limits::RampUp)
    return true;
  double share =
      limits::RampStart +
      (1 - limits::RampStart) * (std::chrono::duration<double>(since) /
                                 std::chrono::duration<double>(limits::RampUp));
  return std::uniform_real_distribution<>(0, 1)(Random) < share;
}

Choice Placement::choose(const ReadDemand &demand,
                         const std::vector<Candidate> &candidates,
                         bool linkOpen, TimePoint now) {
  Choice best;
  auto lowestCost = InfiniteCost;
  // Used if no other target can serve the read: one that is ejected, refused
  // the read before, or is behind a link whose budget is spent.
  Choice fallback;
  auto fallbackCost = InfiniteCost;
  for (const auto &it : candidates) {
    auto wait = catchUpWait(demand, it, now);
    if (!wait || !it.Reachable || it.Leaving)
      continue;
    bool overLink = it.TargetDistance == Distance::OtherRegion;
    auto total = expectedCost(it, now) + *wait;
    bool usable = it.Name != demand.Avoid && (linkOpen || !overLink) &&
                  isAdmitted(it, now);
    auto &limit = usable ? lowestCost : fallbackCost;
    if (total >= limit)
      continue;
    limit = total;
    (usable ? best : fallback) = {it.Name, *wait, overLink};
  }
  return best.Target.empty() ? fallback : best;
}

void Placement::started(const TargetName &target) {
  ++StatsByTarget[target].Outstanding;
}

void Placement::dropped(const TargetName &target) {
  auto it = StatsByTarget.find(target);
  if (it != StatsByTarget.end() && it->second.Outstanding > 0)
    --it->second.Outstanding;
}

void Placement::updateLag(const AnswerReport &report, TargetStats &stats,
                          TimePoint now) {
  constexpr double NewWeight = 0.2;
  stats.Applied = std::max(stats.Applied, report.At);
  if (report.Age) {
    stats.Lag = stats.LagKnown ? scaled(stats.Lag, 1 - NewWeight) +
                                     scaled(*report.Age, NewWeight)
                               : *report.Age;
    stats.LagKnown = true;
    return;
  }
  if (report.FromPrimary)
    return;
  if (report.At != Position{})
    updateApplied(report.At, stats, now);
  if (report.Code != AnswerCode::Behind)
    return;
  // It lacks the required position, so its lag is at least that position's
  // age.
  auto minLag = now - Head.committedBy(report.NotBefore, now) +
                Duration(limits::UnknownLag);
  stats.Lag = stats.LagKnown ? std::max(stats.Lag, minLag) : minLag;
  stats.LagKnown = true;
}

/// Sets the lag from the applied position, up or down. If the lag could only
/// grow, all reads of a replica that has long caught up would go to the
/// primary, which cannot run them all.
void Placement::updateApplied(Position at, TargetStats &stats, TimePoint now) {
  stats.Applied = std::max(stats.Applied, at);
  auto lag = now - Head.committedBy({at.InTerm, at.Index + 1}, now);
  stats.Lag = std::max(lag, Duration(limits::UnknownLag));
  stats.LagKnown = true;
}

void Placement::noteApplied(const TargetName &target, Position at,
                            TimePoint now) {
  updateApplied(at, StatsByTarget[target], now);
}

bool Placement::lagsBy(const TargetName &target, Duration lag) const {
  auto it = StatsByTarget.find(target);
  return it != StatsByTarget.end() && it->second.LagKnown &&
         it->second.Lag >= lag;
}

void Placement::answered(const AnswerReport &report, std::size_t replicas,
                         TimePoint now) {
  auto &stats = StatsByTarget[report.Target];
  dropped(report.Target);
  if (auto failed = failedRead(report)) {
    stats.Recent.add(*failed);
    if (*failed && !report.FromPrimary && failsMoreThanPeers(report.Target))
      eject(report.Target, replicas, now);
  }
  if (isFailure(report.Code)) {
    if (++stats.FailuresInRow >= limits::EjectFailures && !report.FromPrimary)
      eject(report.Target, replicas, now);
    return;
  }
  stats.FailuresInRow = 0;
  if (report.Code == AnswerCode::Overloaded) {
    stats.Wait =
        report.Wait.value_or(report.RetryAfter.value_or(limits::ReportFade));
    stats.WaitReportedAt = now;
    return;
  }
  if (report.Mode == Access::Write)
    return;
  updateLag(report, stats, now);
  if (report.Code != AnswerCode::Ok)
    return;
  stats.Wait = report.Wait.value_or(Duration{});
  stats.WaitReportedAt = now;
  if (report.Ran)
    stats.Service.add(*report.Ran);
  if (!report.FromPrimary && stats.Service.Seen >= limits::EjectSamples &&
      isTooSlow(report.Target))
    eject(report.Target, replicas, now);
}

bool Placement::isTooSlow(const TargetName &target) const {
  auto fastest = InfiniteCost;
  for (const auto &[name, it] : StatsByTarget)
    if (name != target && it.Service.Seen >= limits::EjectSamples)
      fastest = std::min(fastest, it.Service.Value);
  return fastest != InfiniteCost &&
         StatsByTarget.at(target).Service.Value >
             scaled(fastest, limits::EjectFactor) + limits::EjectSlack;
}

bool Placement::failsMoreThanPeers(const TargetName &target) const {
  std::vector<RecentAnswers> peers;
  for (const auto &[name, it] : StatsByTarget)
    if (name != target)
      peers.push_back(it.Recent);
  return isFailureOutlier(StatsByTarget.at(target).Recent, peers);
}

/// Ejects a slow or failing target, but never more than half of the replicas: a
/// fault of this daemon or of the network makes all targets look faulty, and
/// the primary would get every read.
void Placement::eject(const TargetName &target, std::size_t replicas,
                      TimePoint now) {
  if (ejected(target, now))
    return;
  auto out = std::count_if(
      StatsByTarget.begin(), StatsByTarget.end(),
      [&](const auto &it) { return now < it.second.EjectedUntil; });
  if (static_cast<std::size_t>(out) + 1 > replicas / 2)
    return;
  auto &stats = StatsByTarget[target];
  constexpr Duration ForgetAfter = 2 * Duration(limits::LongestEjection);
  if (now - stats.EjectedUntil > ForgetAfter)
    stats.Ejections = 0;
  auto length = Duration(limits::FirstEjection) * (1U << stats.Ejections);
  stats.EjectedUntil =
      now + std::min(length, Duration(limits::LongestEjection));
  constexpr std::uint32_t MaxDoublings = 4;
  stats.Ejections = std::min(stats.Ejections + 1, MaxDoublings);
  stats.FailuresInRow = 0;
  stats.Service = {}; // Unknown after the ejection.
  stats.Recent = {};
}

} // namespace peridotfall
