#include "peridotfall/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotfall {

namespace {

constexpr Duration NoCost = Duration::max();

Duration scaled(Duration it, double by) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(it.count()) * by));
}

bool isFailure(AnswerCode it) {
  return it == AnswerCode::Unavailable || it == AnswerCode::ConnectionLost;
}

} // namespace

Duration wayOf(Distance it) {
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

Duration Placement::lagOf(const Candidate &it, const Load &load) const {
  if (it.Age)
    return *it.Age;
  return load.LagKnown ? load.Lag : Duration(limits::UnknownLag);
}

std::optional<Duration> Placement::catchUp(const ReadDemand &demand,
                                           const Candidate &it,
                                           TimePoint now) const {
  if (it.IsPrimary)
    return Duration{};
  if (demand.PrimaryOnly)
    return std::nullopt;
  auto known = Loads.find(it.Name);
  const Load none;
  const auto &load = known == Loads.end() ? none : known->second;
  auto lag = lagOf(it, load);
  if (demand.Mode == Access::StaleRead) {
    if (lag > demand.MaxAge)
      return std::nullopt;
    return Duration{};
  }
  if (std::max(it.Applied, load.Applied) >= demand.NotBefore)
    return Duration{};
  auto wait = Head.committedBy(demand.NotBefore, now) + lag - now;
  if (wait > limits::MostCatchUp)
    return std::nullopt;
  return std::max(wait, Duration{});
}

/// What an answer is expected to take. What this entry has under way there
/// counts too: reports come late, and without it a burst goes to one target.
Duration Placement::cost(const Candidate &it, TimePoint now) const {
  auto out = wayOf(it.Far);
  if (it.Far == Distance::OtherRegion)
    out += limits::LinkPenalty;
  if (it.IsPrimary)
    out += limits::PrimaryPenalty;
  auto known = Loads.find(it.Name);
  if (known == Loads.end())
    return out;
  const auto &load = known->second;
  double fade = std::exp(-std::chrono::duration<double>(now - load.WaitAt) /
                         std::chrono::duration<double>(limits::ReportFade));
  return out + load.Service.Value + scaled(load.Wait, std::min(fade, 1.0)) +
         load.Service.Value * load.Outstanding;
}

bool Placement::ejected(const TargetName &target, TimePoint now) const {
  auto it = Loads.find(target);
  return it != Loads.end() && now < it->second.EjectedUntil;
}

/// Whether a target that may be ejected or coming back takes this read.
bool Placement::admitted(const Candidate &it, TimePoint now) {
  auto known = Loads.find(it.Name);
  if (it.IsPrimary || known == Loads.end() || known->second.Ejections == 0)
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
  auto least = NoCost;
  // Serves the read if nothing better does: ejected, refused before, or
  // behind a link whose budget is spent. A slow answer beats none.
  Choice reserve;
  auto leastReserve = NoCost;
  for (const auto &it : candidates) {
    auto wait = catchUp(demand, it, now);
    if (!wait || !it.Reachable || it.Leaving)
      continue;
    bool overLink = it.Far == Distance::OtherRegion;
    auto total = cost(it, now) + *wait;
    bool usable =
        it.Name != demand.Avoid && (linkOpen || !overLink) && admitted(it, now);
    auto &limit = usable ? least : leastReserve;
    if (total >= limit)
      continue;
    limit = total;
    (usable ? best : reserve) = {it.Name, *wait, overLink};
  }
  return best.Target.empty() ? reserve : best;
}

void Placement::started(const TargetName &target) {
  ++Loads[target].Outstanding;
}

void Placement::dropped(const TargetName &target) {
  auto it = Loads.find(target);
  if (it != Loads.end() && it->second.Outstanding > 0)
    --it->second.Outstanding;
}

void Placement::learnLag(const AnswerReport &report, Load &load,
                         TimePoint now) {
  constexpr double NewWeight = 0.2;
  load.Applied = std::max(load.Applied, report.At);
  if (report.Age) {
    load.Lag = load.LagKnown ? scaled(load.Lag, 1 - NewWeight) +
                                   scaled(*report.Age, NewWeight)
                             : *report.Age;
    load.LagKnown = true;
    return;
  }
  if (report.FromPrimary)
    return;
  if (report.At != Position{})
    learnApplied(report.At, load, now);
  if (report.Code != AnswerCode::Behind)
    return;
  // It lacks a position, so its lag is at least that one's age.
  auto least = now - Head.committedBy(report.NotBefore, now) +
               Duration(limits::UnknownLag);
  load.Lag = load.LagKnown ? std::max(load.Lag, least) : least;
  load.LagKnown = true;
}

/// Failure: a lag that was learnt once is believed for good. Symptom: long
/// after the replica has caught up all its reads go to the primary, which
/// cannot run them all. What the replica has applied tells its lag either way.
void Placement::learnApplied(Position at, Load &load, TimePoint now) {
  load.Applied = std::max(load.Applied, at);
  auto lag = now - Head.committedBy({at.InTerm, at.Index + 1}, now);
  load.Lag = std::max(lag, Duration(limits::UnknownLag));
  load.LagKnown = true;
}

void Placement::noteApplied(const TargetName &target, Position at,
                            TimePoint now) {
  learnApplied(at, Loads[target], now);
}

bool Placement::lagsBy(const TargetName &target, Duration lag) const {
  auto it = Loads.find(target);
  return it != Loads.end() && it->second.LagKnown && it->second.Lag >= lag;
}

void Placement::answered(const AnswerReport &report, std::size_t replicas,
                         TimePoint now) {
  auto &load = Loads[report.Target];
  dropped(report.Target);
  if (isFailure(report.Code)) {
    if (++load.FailuresInRow >= limits::EjectFailures && !report.FromPrimary)
      eject(report.Target, replicas, now);
    return;
  }
  load.FailuresInRow = 0;
  if (report.Code == AnswerCode::Overloaded) {
    load.Wait =
        report.Wait.value_or(report.RetryAfter.value_or(limits::ReportFade));
    load.WaitAt = now;
    return;
  }
  if (report.Mode == Access::Write)
    return;
  learnLag(report, load, now);
  if (report.Code != AnswerCode::Ok)
    return;
  load.Wait = report.Wait.value_or(Duration{});
  load.WaitAt = now;
  if (report.Ran)
    load.Service.add(*report.Ran);
  if (!report.FromPrimary && load.Service.Seen >= limits::EjectSamples &&
      tooSlow(report.Target))
    eject(report.Target, replicas, now);
}

bool Placement::tooSlow(const TargetName &target) const {
  auto fastest = NoCost;
  for (const auto &[name, it] : Loads)
    if (name != target && it.Service.Seen >= limits::EjectSamples)
      fastest = std::min(fastest, it.Service.Value);
  return fastest != NoCost &&
         Loads.at(target).Service.Value >
             scaled(fastest, limits::EjectFactor) + limits::EjectSlack;
}

/// Load: a target that is slow or fails. Harm of going without the floor: a
/// fault of this daemon or of the network makes all targets look bad, and the
/// primary gets every read. Reason: half of the replicas always stay.
void Placement::eject(const TargetName &target, std::size_t replicas,
                      TimePoint now) {
  if (ejected(target, now))
    return;
  auto out = std::count_if(Loads.begin(), Loads.end(), [&](const auto &it) {
    return now < it.second.EjectedUntil;
  });
  if (static_cast<std::size_t>(out) + 1 > replicas / 2)
    return;
  auto &load = Loads[target];
  constexpr Duration Forget = 2 * Duration(limits::LongestEjection);
  if (now - load.EjectedUntil > Forget)
    load.Ejections = 0;
  auto length = Duration(limits::FirstEjection) * (1U << load.Ejections);
  load.EjectedUntil = now + std::min(length, Duration(limits::LongestEjection));
  constexpr std::uint32_t MostDoublings = 4;
  load.Ejections = std::min(load.Ejections + 1, MostDoublings);
  load.FailuresInRow = 0;
  load.Service = {}; // What it needs when it is back is not known.
}

} // namespace peridotfall
