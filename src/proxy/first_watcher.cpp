#include "proxy/first_watcher.h"

#include "membership/stable_hash.h"
#include "proxy/shared_watch.h"

#include <algorithm>

namespace peridotfall::proxy {

namespace {

/// \return a part of RecordDelaySpread, another one for each daemon.
milliseconds spreadOf(const VmName &vm) {
  auto spread = static_cast<std::uint64_t>(limits::RecordDelaySpread.count());
  return milliseconds(stableHash(vm.Value, "watch record") % spread);
}

Duration readDelay(const Member &self) {
  auto byLink = limits::RecordDelayPerMbps / std::max(self.LinkMbps, 1U);
  auto fleet = static_cast<std::uint64_t>(limits::FleetStartDelay.count());
  return milliseconds(std::min(byLink, fleet)) + spreadOf(self.Vm);
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
                              const std::optional<WatcherRecord> &record) {
  // One that cannot be read is replaced like a missing one.
  bool isMissing =
      !record || !record->Named || record->Revision == LostRevision;
  bool mayWrite = outcome == ReadOutcome::Done && isMissing && !Refused;
  CurrentStep = mayWrite ? Step::ToWrite : Step::Over;
  ReplacedRevision = record ? record->Revision : 0;
  if (!record || !record->Named || record->Named->Vm == Self)
    return;
  Found = record->Named;
  FoundRevision = record->Revision;
}

/// Another daemon may have written the record meanwhile.
void FirstWatcher::handleWritten(CallOutcome outcome) {
  Refused = outcome == CallOutcome::Refused;
  CurrentStep = Refused ? Step::ToRead : Step::Over;
  if (outcome == CallOutcome::Done)
    Found.reset();
}

void FirstWatcher::handleLost(TimePoint now) {
  LostRevision = FoundRevision;
  Refused = false;
  ReadAt = now + spreadOf(Self);
  CurrentStep = Step::ToRead;
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
