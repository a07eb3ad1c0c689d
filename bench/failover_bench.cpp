// Measures, in virtual time and at the sizes of both deployments: how long
// writes are interrupted when a primary fails, compared with leases at the
// platform; failovers without a failure; and the delay that confirmation adds.

#include "failover/confirmation.h"
#include "failover/simulation.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <string>

using namespace peridotfall;
using namespace peridotfall::simulation;

namespace {

constexpr std::chrono::milliseconds WriteInterval{10};
constexpr std::chrono::milliseconds EntryRetryDelay{25};
constexpr std::chrono::milliseconds LeaseDuration{3'000};
constexpr std::chrono::milliseconds LeaseRenewalInterval{1'000};
constexpr std::chrono::seconds MaxGap{60};

enum class PrimaryFailure { ProcessDead, ProcessFrozen, TargetAndOwnerDead };

struct Percentiles {
  double Median = 0;
  double P99 = 0;
  double Max = 0;
};

Percentiles summarise(std::vector<Duration> all) {
  if (all.empty())
    return {};
  std::sort(all.begin(), all.end());
  auto valueAt = [&](double fraction) {
    auto n =
        static_cast<std::size_t>(fraction * static_cast<double>(all.size()));
    return std::chrono::duration<double>(all[std::min(n, all.size() - 1)])
        .count();
  };
  return {valueAt(0.5), valueAt(0.99), valueAt(1)};
}

std::string print(const Percentiles &it, double scale, const char *unit) {
  return fmt::format("median {:.2f} {}, p99 {:.2f} {}, most {:.2f} {}",
                     it.Median * scale, unit, it.P99 * scale, unit,
                     it.Max * scale, unit);
}

/// Writes of callers in one domain, routed by the state of that domain's
/// daemon. A write counts once a replica has confirmed it.
class WriteLoad {
public:
  WriteLoad(Simulation &sim, Delays delays, std::size_t domain)
      : Sim(sim), LinkDelays(delays), Domain(domain) {}

  void start() { issue(); }
  /// \return when the first write issued at or after \p since was acknowledged.
  std::optional<TimePoint> firstAcknowledgementAfter(TimePoint since) const {
    for (const auto &[started, acknowledged] : Acknowledged)
      if (started >= since)
        return acknowledged;
    return std::nullopt;
  }

private:
  void issue() {
    auto started = Sim.now();
    Sim.after(LinkDelays.Client, [this, started] { sendToPrimary(started); });
    Sim.after(WriteInterval, [this] { issue(); });
  }
  void sendToPrimary(TimePoint started) {
    if (Sim.now() - started > std::chrono::seconds(5))
      return;
    const auto &group = Sim.Owners[Domain].Group;
    std::size_t target = 0;
    while (target < Domains && Sim.Targets[target].Name != group.Primary)
      ++target;
    if (target == Domains) {
      Sim.after(EntryRetryDelay, [this, started] { sendToPrimary(started); });
      return;
    }
    auto oneWay = Sim.delay(Domain, target);
    Sim.after(oneWay, [this, started, target, oneWay] {
      execute(started, target, oneWay);
    });
  }
  void execute(TimePoint started, std::size_t target, Duration oneWay) {
    if (!Sim.write(target, ++LastWriteId)) {
      if (!Sim.isFrozen(Sim.Targets[target]))
        Sim.after(oneWay + EntryRetryDelay,
                  [this, started] { sendToPrimary(started); });
      return; // A frozen target does not answer; later writes still run.
    }
    awaitReplica(started, target, Sim.Targets[target].Report.Last, oneWay, 0);
  }
  /// Polls until a replica has the write. The owner is next to the primary, so
  /// calls between them add no delay.
  void awaitReplica(TimePoint started, std::size_t target, Position at,
                    Duration oneWay, int attempts) {
    constexpr int MaxAttempts = 400;
    bool replicated = false;
    for (std::size_t n = 0; n < Domains; ++n)
      replicated =
          replicated || (n != target && Sim.Targets[n].Alive &&
                         failover::isReplicated(Sim.Targets[n].Report, at));
    const auto &primary = Sim.Targets[target];
    bool stillPrimary = primary.Alive && primary.Report.IsPrimary &&
                        primary.Report.CurrentTerm == at.InTerm;
    if (!stillPrimary || attempts > MaxAttempts)
      return;
    if (!replicated) {
      Sim.after(milliseconds(1), [=, this] {
        awaitReplica(started, target, at, oneWay, attempts + 1);
      });
      return;
    }
    // The replica's answer arrives, then the primary is queried once more.
    auto back = Sim.delay(target, (target + 1) % Domains);
    Sim.after(back + oneWay + LinkDelays.Client, [this, started] {
      Acknowledged.emplace_back(started, Sim.now());
    });
  }

  Simulation &Sim;
  Delays LinkDelays;
  std::size_t Domain;
  std::uint64_t LastWriteId = 1'000;
  std::vector<std::pair<TimePoint, TimePoint>> Acknowledged;
};

void injectFailure(Simulation &sim, PrimaryFailure failure) {
  if (failure == PrimaryFailure::ProcessFrozen) {
    sim.Targets[0].FrozenUntil = sim.now() + MaxGap * 2;
    return;
  }
  sim.Targets[0].Alive = false;
  if (failure == PrimaryFailure::TargetAndOwnerDead)
    sim.Owners[0].Alive = false;
}

std::optional<Duration> measureGap(std::uint64_t seed, Delays delays,
                                   PrimaryFailure failure, bool stopPlatform) {
  Simulation sim(seed, delays);
  WriteLoad load(sim, delays, 1);
  sim.runFor(std::chrono::seconds(4));
  load.start();
  sim.runFor(std::chrono::seconds(1));
  if (stopPlatform)
    sim.Platform.Down = true;
  sim.runFor(milliseconds(200 + sim.below(400)));
  auto failedAt = sim.now();
  injectFailure(sim, failure);
  sim.runUntil(
      [&] { return load.firstAcknowledgementAfter(failedAt).has_value(); },
      MaxGap);
  auto acknowledged = load.firstAcknowledgementAfter(failedAt);
  return acknowledged ? std::optional<Duration>(*acknowledged - failedAt)
                      : std::nullopt;
}

/// The baseline: the primary holds a lease at the platform and renews it. When
/// the lease has expired, a watcher acquires it and promotes a replica. Expiry
/// is decided by the platform's clock, so no safety margin is added.
Duration leaseFailoverGap(Simulation &sim, Delays delays) {
  auto renewed = milliseconds(sim.below(static_cast<std::uint64_t>(
      LeaseRenewalInterval.count()))); // Before the failure.
  auto remaining = LeaseDuration - renewed;
  auto platformRoundTrip = 2 * sim.delay(1, PlatformIndex); // Watch, update.
  auto fenceAndPromote = 4 * sim.delay(1, 2);
  auto write = 2 * sim.delay(1, 2) + 2 * Duration(delays.Client);
  auto retry = milliseconds(
      sim.below(static_cast<std::uint64_t>(EntryRetryDelay.count())));
  return remaining + 2 * platformRoundTrip + fenceAndPromote + write + retry;
}

const char *nameOf(PrimaryFailure it) {
  switch (it) {
  case PrimaryFailure::ProcessDead:
    return "process dead";
  case PrimaryFailure::ProcessFrozen:
    return "process frozen";
  case PrimaryFailure::TargetAndOwnerDead:
    return "target and owner dead";
  }
  return "";
}

void benchGaps(const char *name, Delays delays, unsigned rounds) {
  for (auto failure :
       {PrimaryFailure::ProcessDead, PrimaryFailure::ProcessFrozen,
        PrimaryFailure::TargetAndOwnerDead})
    for (bool platformDown : {false, true}) {
      std::vector<Duration> gaps;
      std::vector<Duration> leaseGaps;
      for (unsigned n = 0; n < rounds; ++n) {
        if (auto gap = measureGap(n + 1, delays, failure, platformDown))
          gaps.push_back(*gap);
        Simulation sim(n + 1, delays);
        leaseGaps.push_back(leaseFailoverGap(sim, delays));
      }
      fmt::print("{}, {}, platform {}: {} of {} failovers, {}; leases of 3 s: "
                 "{}\n",
                 name, nameOf(failure), platformDown ? "down" : "up",
                 gaps.size(), rounds, print(summarise(gaps), 1, "s"),
                 platformDown ? std::string("none: writes stop with the lease")
                              : print(summarise(leaseGaps), 1, "s"));
    }
}

void benchFalseFailovers(const char *name, Delays delays) {
  Timings timings;
  auto roundTrip = std::chrono::ceil<milliseconds>(delays.Region * 12 / 5);
  auto maxPause = pauseLimit(timings, roundTrip);
  Simulation sim(5, delays, timings);
  constexpr std::chrono::hours Span{1};
  auto started = sim.now();
  int pauses = 0;
  for (; sim.now() - started < Span; ++pauses) {
    sim.runFor(std::chrono::seconds(5) + milliseconds(sim.below(1'000)));
    auto until = sim.now() + maxPause - milliseconds(1);
    if (pauses % 2 == 0)
      sim.Targets[sim.below(Domains)].FrozenUntil = until;
    else
      sim.Owners[sim.below(Domains)].FrozenUntil = until;
    sim.runFor(milliseconds(500));
  }
  auto span = std::chrono::duration<double>(sim.now() - started).count();
  fmt::print("{}, calm: {:.0f} s with 20% jitter and {} pauses of {} ms (limit "
             "{} ms): {} changes of primary\n",
             name, span, pauses, (maxPause - milliseconds(1)).count(),
             maxPause.count(), sim.Promotions);
}

/// Writes on one primary, confirmed in rounds by an owner next to it.
class ConfirmationRun {
public:
  ConfirmationRun(Simulation &sim, std::size_t maxRounds) : Sim(sim) {
    State.MaxRounds = maxRounds;
  }

  void run(unsigned writes, double perSecond) {
    Duration mean(static_cast<std::int64_t>(1e9 / perSecond));
    Duration at{};
    for (unsigned n = 0; n < writes; ++n) {
      at += mean * static_cast<std::int64_t>(Sim.below(200)) / 100;
      Sim.after(at, [this] { commit(); });
    }
    Sim.runFor(at + std::chrono::seconds(2));
  }

  std::vector<Duration> AddedDelays;
  std::size_t CallCount = 0; ///< To the replicas and the primary.

private:
  void commit() {
    Position at{1, ++Last};
    for (std::size_t n = 1; n < Domains; ++n)
      Sim.after(Sim.delay(0, n), [this, n, at] {
        ReplicaIndexes[n] = std::max(ReplicaIndexes[n], at.Index);
      });
    TicketHandle ticket;
    auto actions = onCommitted(State, at, Sim.now() + std::chrono::seconds(1),
                               Sim.now(), ticket);
    StartTimes[ticket] = Sim.now();
    performAll(actions);
  }
  void performAll(const ConfirmActions &actions) {
    for (const auto &it : actions)
      std::visit([this](const auto &n) { perform(n); }, it);
  }
  void perform(const QueryReplicas &it) {
    for (std::size_t n = 1; n < Domains; ++n) {
      ++CallCount;
      Sim.after(Sim.delay(0, n), [this, it, n] { awaitIndex(it, n); });
    }
  }
  void awaitIndex(const QueryReplicas &it, std::size_t n) {
    if (ReplicaIndexes[n] < it.At.Index) {
      Sim.after(microseconds(100), [this, it, n] { awaitIndex(it, n); });
      return;
    }
    TargetReport report{1, false, {1, ReplicaIndexes[n]}, {}, false};
    Sim.after(Sim.delay(0, n), [this, it, report] {
      performAll(onReplica(State, it.Round, report, Sim.now()));
    });
  }
  void perform(const QueryPrimary &it) {
    ++CallCount;
    Sim.after(2 * Sim.delay(0, 0), [this, it] {
      TargetReport report{1, true, {1, Last}, {}, false};
      performAll(onPrimary(State, it.Round, report, Sim.now()));
    });
  }
  void perform(const ConfirmResult &it) {
    if (it.IsConfirmed)
      AddedDelays.push_back(Sim.now() - StartTimes[it.Ticket]);
  }

  Simulation &Sim;
  ConfirmState State;
  std::uint64_t Last = 1;
  std::array<std::uint64_t, Domains> ReplicaIndexes{};
  std::map<TicketHandle, TimePoint> StartTimes;
};

void benchConfirmation(const char *name, Delays delays) {
  constexpr unsigned Writes = 4'000;
  constexpr std::size_t UnlimitedRounds = 1'000'000;
  for (double rate : {100.0, 1'000.0, 5'000.0})
    for (std::size_t rounds :
         {std::size_t{1}, std::size_t{2}, UnlimitedRounds}) {
      Simulation sim(3, delays);
      ConfirmationRun run(sim, rounds);
      run.run(Writes, rate);
      auto calls = static_cast<double>(run.CallCount) / Writes;
      fmt::print("{}, confirmation, {:.0f} writes a second, {}: {} of {} "
                 "confirmed, adds {}; {:.2f} calls a write (no confirmation: "
                 "adds 0.00 ms, 0 calls)\n",
                 name, rate,
                 rounds == UnlimitedRounds ? std::string("each for itself")
                                           : fmt::format("{} rounds", rounds),
                 run.AddedDelays.size(), Writes,
                 print(summarise(run.AddedDelays), 1'000, "ms"), calls);
    }
}

} // namespace

int main(int argc, char **argv) {
  constexpr unsigned Rounds = 100;
  auto rounds = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : Rounds;
  for (const auto &[name, delays] :
       {std::pair("Lendleht", Lendleht), std::pair("Thaali", Thaali)}) {
    benchGaps(name, delays, rounds);
    benchFalseFailovers(name, delays);
    benchConfirmation(name, delays);
  }
  return 0;
}
