#include "proxy/first_watcher.h"

#include "membership/stable_hash.h"
#include "proxy/shared_watch.h"

#include <algorithm>

namespace peridotfall::proxy {

namespace {

Duration readDelay(const Member &self) {
  auto byLink = limits::RecordDelayPerMbps / std::max(self.LinkMbps, 1U);
  auto fleet = static_cast<std::uint64_t>(limits::FleetStartDelay.count());
  auto spread = static_cast<std::uint64_t>(limits::RecordDelaySpread.count());
  auto place = stableHash(self.Vm.Value, "watch record") % spread;
  return milliseconds(std::min(byLink, fleet) + place);
}

} // namespace

FirstWatcher::FirstWatcher(const Member &self, bool fleetStarts,
                           TimePoint start)
    : Self(self.Vm),
      ReadAt(start + (fleetStarts ? readDelay(self) : Duration{})) {}

FirstWatcher::Call FirstWatcher::next(TimePoint now) {
  if (CurrentStep == Step::ToRead && now >= ReadAt) {
    CurrentStep = Step::Calling;
    return Call::Read;
  }
  if (CurrentStep == Step::ToWrite) {
    CurrentStep = Step::Calling;
    return Call::Write;
  }
  return Call::None;
}

void FirstWatcher::handleRead(ReadOutcome outcome,
                              const std::optional<Member> &named) {
  bool mayWrite = outcome == ReadOutcome::Done && !named && !Refused;
  CurrentStep = mayWrite ? Step::ToWrite : Step::Over;
  if (named && named->Vm != Self)
    Found = named;
}

/// Another daemon may have written the record meanwhile.
void FirstWatcher::handleWritten(CallOutcome outcome) {
  Refused = outcome == CallOutcome::Refused;
  CurrentStep = Refused ? Step::ToRead : Step::Over;
}

bool FirstWatcher::isOver(TimePoint now) const {
  return CurrentStep == Step::Over || now >= ReadAt + limits::RecordTimeout;
}

bool isRecordRenewalDue(bool isFirst, const std::optional<Member> &named,
                        const std::vector<Member> &live) {
  auto isNamed = [&](const Member &it) {
    return it.Vm == named->Vm && it.InnerAddress == named->InnerAddress &&
           !it.Leaving;
  };
  return isFirst && (!named || std::none_of(live.begin(), live.end(), isNamed));
}

} // namespace peridotfall::proxy
