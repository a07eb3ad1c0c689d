#include "proxy/write_hold.h"

#include <algorithm>

namespace peridotfall::proxy {

bool HeldWrites::apply(const WriteHold &hold, TimePoint now) {
  bool isOld = Current && hold.Id < Current->Id;
  if (isOld || hold.Id < Ended)
    return false;
  if (hold.Ends) {
    Ended = hold.Id;
    Current.reset();
    return true;
  }
  if (hold.Id == Ended)
    return false;
  Current = hold;
  AppliedAt = now;
  return true;
}

bool HeldWrites::expire(TimePoint now) {
  if (!Current || now - AppliedAt < limits::HoldLimit)
    return false;
  Current.reset();
  return true;
}

bool HeldWrites::covers(const TargetName &target) const {
  return Current && (Current->Target.empty() || Current->Target == target);
}

std::vector<VmName> HoldRound::due(const std::vector<VmName> &daemons,
                                   TimePoint now) {
  std::vector<VmName> out;
  for (const auto &name : daemons) {
    auto &it = Daemons[name];
    if (it.Calling || now < it.NextCall)
      continue;
    it.Calling = true;
    out.push_back(name);
  }
  return out;
}

void HoldRound::answered(const VmName &daemon, bool confirmed, TimePoint now) {
  auto &it = Daemons[daemon];
  it.Calling = false;
  it.Confirmed = it.Confirmed || confirmed;
  it.NextCall =
      now + (confirmed ? limits::HoldRefresh : limits::HoldRetryPause);
}

std::vector<VmName>
HoldRound::missing(const std::vector<VmName> &daemons) const {
  std::vector<VmName> out;
  for (const auto &name : daemons) {
    auto it = Daemons.find(name);
    if (it == Daemons.end() || !it->second.Confirmed)
      out.push_back(name);
  }
  return out;
}

std::vector<VmName> HoldRound::told() const {
  std::vector<VmName> out;
  for (const auto &[name, it] : Daemons)
    out.push_back(name);
  return out;
}

} // namespace peridotfall::proxy
