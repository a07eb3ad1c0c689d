#include "proxy/holder_paths.h"

#include "membership/stable_hash.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

HolderPlan planHolders(std::size_t connections, std::size_t slots,
                       std::size_t daemons, double plannedShare) {
  auto planned =
      static_cast<std::size_t>(static_cast<double>(connections) * plannedShare);
  auto running = slots * limits::RunningPerSlot;
  auto maxHolders = std::min(planned / limits::ConnectionsPerHolder,
                             running / limits::MinRunningPerHolder);
  HolderPlan out;
  out.Holders =
      std::clamp<std::size_t>(maxHolders, 1, std::max<std::size_t>(daemons, 1));
  out.Connections = std::max<std::size_t>(planned / out.Holders, 1);
  out.Running = std::max(running / out.Holders, limits::MinRunningPerHolder);
  return out;
}

void HolderPaths::setHolders(const std::vector<VmName> &holders) {
  std::map<VmName, PathState> next;
  for (const auto &it : holders)
    next[it] = States[it];
  States = std::move(next);
  Holders = holders;
}

std::optional<VmName> HolderPaths::choose(const VmName &self,
                                          bool selfFree) const {
  std::optional<VmName> best;
  std::size_t fewest = 0;
  std::optional<VmName> failedPath;
  for (const auto &name : Holders) {
    const auto &it = States.at(name);
    if (it.FailingSince) {
      if (!failedPath)
        failedPath = name;
      continue;
    }
    if (name == self && selfFree)
      return name;
    if (!best || it.Outstanding < fewest) {
      best = name;
      fewest = it.Outstanding;
    }
  }
  return best ? best : failedPath;
}

std::size_t HolderPaths::loadOf(const PathState &it, TimePoint now) {
  bool recent = it.ReportedAt && now - *it.ReportedAt < limits::QueueReportAge;
  return it.Outstanding + (recent ? it.Queued : 0);
}

std::optional<VmName> HolderPaths::chooseFor(const AccountName &account,
                                             const VmName &self, bool selfIdle,
                                             TimePoint now) const {
  std::vector<std::pair<std::uint64_t, const VmName *>> ranked;
  for (const auto &it : Holders)
    if (!States.at(it).FailingSince)
      ranked.emplace_back(stableHash(it.Value, account.Value), &it);
  if (ranked.empty())
    return choose(self, false);
  auto candidates = std::min(ranked.size(), limits::HoldersPerAccount);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(candidates),
                    ranked.end());
  const VmName *best = nullptr;
  std::size_t bestLoad = 0;
  for (std::size_t n = 0; n < candidates; ++n) {
    const auto *name = ranked[n].second;
    if (selfIdle && *name == self)
      return self;
    auto load = loadOf(States.at(*name), now);
    if (best && bestLoad <= load + limits::AffinityMargin)
      continue;
    best = name;
    bestLoad = load;
  }
  return *best;
}

void HolderPaths::started(const VmName &by) {
  if (auto it = States.find(by); it != States.end())
    ++it->second.Outstanding;
}

void HolderPaths::ended(const VmName &by, bool failed,
                        const std::optional<TargetLoad> &load, TimePoint now) {
  auto found = States.find(by);
  if (found == States.end())
    return;
  dropped(by);
  auto &it = found->second;
  if (load) {
    it.Queued = load->Queued;
    it.ReportedAt = now;
  }
  if (!failed)
    it.FailingSince.reset();
  else if (!it.FailingSince) {
    it.FailingSince = now;
    it.NextProbe = now + limits::PathProbeInterval;
  }
}

void HolderPaths::dropped(const VmName &by) {
  auto it = States.find(by);
  if (it != States.end() && it->second.Outstanding > 0)
    --it->second.Outstanding;
}

std::vector<VmName> HolderPaths::probesDue(TimePoint now) {
  std::vector<VmName> out;
  for (auto &[name, it] : States) {
    if (!it.FailingSince || now < it.NextProbe)
      continue;
    it.NextProbe = now + limits::PathProbeInterval;
    out.push_back(name);
  }
  return out;
}

bool HolderPaths::hasFailedPath() const {
  return std::any_of(States.begin(), States.end(), [](const auto &it) {
    return it.second.FailingSince.has_value();
  });
}

std::optional<TimePoint> HolderPaths::unreachableSince() const {
  std::optional<TimePoint> out;
  for (const auto &[name, it] : States) {
    if (!it.FailingSince)
      return std::nullopt;
    out = std::max(out.value_or(*it.FailingSince), *it.FailingSince);
  }
  return out;
}

} // namespace peridotfall::proxy
