#include "proof/soak.h"

#include "proof/world.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace peridotfall::proof {

namespace {

constexpr milliseconds ShortestGap{200};
constexpr milliseconds LongestGap{2'500};
constexpr milliseconds ShortestFault{50};
constexpr milliseconds LongestFault{3'000};
constexpr unsigned LeavePermille = 60;
constexpr unsigned ApplyPermille = 120;
constexpr milliseconds Warmup{1'000};

/// Injects random faults, which may overlap, and ends each when it is due.
struct FaultInjector {
  World &Cluster;
  std::size_t Faults = 0;
  std::vector<std::pair<TimePoint, Action>> Ends;

  void endDue() {
    for (std::size_t n = 0; n < Ends.size();) {
      if (Ends[n].first > Cluster.now()) {
        ++n;
        continue;
      }
      auto end = std::move(Ends[n].second);
      Ends.erase(Ends.begin() + static_cast<std::ptrdiff_t>(n));
      end();
    }
  }

  void inject() {
    static const auto Possible = possibleFaults();
    auto &random = Cluster.random();
    if (random.chance(ApplyPermille))
      Cluster.applyConfiguration();
    ++Faults;
    if (random.chance(LeavePermille)) {
      Cluster.leave();
      Ends.emplace_back(Cluster.now() + LongestFault,
                        [this] { Cluster.restartAll(); });
      return;
    }
    auto end = Cluster.inject(Possible[random.below(Possible.size())]);
    Ends.emplace_back(Cluster.now() +
                          random.between(ShortestFault, LongestFault),
                      std::move(end));
  }
};

} // namespace

SoakReport runSoak(std::uint64_t seed, std::chrono::seconds span,
                   const Safeguards &guards) {
  World world(seed, guards);
  FaultInjector injector{world, 0, {}};
  world.runFor(Warmup);
  auto end = world.now() + span;
  auto next = world.now();
  while (world.now() < end) {
    if (world.now() >= next) {
      injector.inject();
      next = world.now() + world.random().between(ShortestGap, LongestGap);
    }
    world.runFor(ShortestFault);
    injector.endDue();
  }
  const auto &history = world.finish();
  auto answered = std::count_if(
      history.Requests.begin(), history.Requests.end(),
      [](const CallerRequest &it) { return it.Answer.has_value(); });
  return {static_cast<std::size_t>(answered), injector.Faults,
          world.failovers(), checkHistory(history)};
}

std::string summary(const SoakReport &it) {
  return fmt::format("operations {}, faults {}, failovers {}, violations {}",
                     it.Operations, it.Faults, it.Failovers,
                     it.Violations.size());
}

} // namespace peridotfall::proof
