// Gap of writes when a primary fails, beside leases at the platform; false
// failovers; and the time that confirmation adds. In virtual time, at the
// sizes of both deployments.

#include "failover/confirmation.h"
#include "failover/simulation.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <string>

using namespace peridotfall;
using namespace peridotfall::simulation;

namespace {

constexpr std::chrono::milliseconds WriteEvery{10};
constexpr std::chrono::milliseconds EntryRetry{25};
constexpr std::chrono::milliseconds LeaseLength{3'000};
constexpr std::chrono::milliseconds LeaseRenewal{1'000};
constexpr std::chrono::seconds LongestGap{60};

enum class Death { Process, Frozen, Domain };

struct Percentiles {
  double Median = 0;
  double P99 = 0;
  double Most = 0;
};

Percentiles summarise(std::vector<Duration> all) {
  if (all.empty())
    return {};
  std::sort(all.begin(), all.end());
  auto at = [&](double share) {
    auto n = static_cast<std::size_t>(share * static_cast<double>(all.size()));
    return std::chrono::duration<double>(all[std::min(n, all.size() - 1)])
        .count();
  };
  return {at(0.5), at(0.99), at(1)};
}

std::string print(const Percentiles &it, double scale, const char *unit) {
  return fmt::format("median {:.2f} {}, p99 {:.2f} {}, most {:.2f} {}",
                     it.Median * scale, unit, it.P99 * scale, unit,
                     it.Most * scale, unit);
}

/// Writes of callers in one domain, by way of its entry daemon's view, each
/// confirmed by a replica before it counts.
class Callers {
public:
  Callers(Simulation &sim, Delays delays, std::size_t domain)
      : Sim(sim), Wires(delays), Domain(domain) {}

  void start() { begin(); }
  /// When the first write that began after \p since was acknowledged.
  std::optional<TimePoint> firstAfter(TimePoint since) const {
    for (const auto &[begun, acked] : Acked)
      if (begun >= since)
        return acked;
    return std::nullopt;
  }

private:
  void begin() {
    auto begun = Sim.now();
    Sim.after(Wires.Client, [this, begun] { attempt(begun); });
    Sim.after(WriteEvery, [this] { begin(); });
  }
  void attempt(TimePoint begun) {
    if (Sim.now() - begun > std::chrono::seconds(5))
      return;
    const auto &group = Sim.Owners[Domain].Group;
    std::size_t target = 0;
    while (target < Domains && Sim.Targets[target].Name != group.Primary)
      ++target;
    if (target == Domains) {
      Sim.after(EntryRetry, [this, begun] { attempt(begun); });
      return;
    }
    auto wire = Sim.delay(Domain, target);
    Sim.after(wire, [this, begun, target, wire] { run(begun, target, wire); });
  }
  void run(TimePoint begun, std::size_t target, Duration wire) {
    if (!Sim.write(target, ++LastWrite)) {
      if (!Sim.isFrozen(Sim.Targets[target]))
        Sim.after(wire + EntryRetry, [this, begun] { attempt(begun); });
      return; // A frozen one answers nothing; later writes go on.
    }
    confirm(begun, target, Sim.Targets[target].Report.Last, wire, 0);
  }
  /// Asks until a replica holds it; the owner stands beside the primary.
  void confirm(TimePoint begun, std::size_t target, Position at, Duration wire,
               int tries) {
    constexpr int MostTries = 400;
    bool held = false;
    for (std::size_t n = 0; n < Domains; ++n)
      held = held || (n != target && Sim.Targets[n].Alive &&
                      failover::holds(Sim.Targets[n].Report, at));
    const auto &primary = Sim.Targets[target];
    bool leads = primary.Alive && primary.Report.IsPrimary &&
                 primary.Report.CurrentTerm == at.InTerm;
    if (!leads || tries > MostTries)
      return;
    if (!held) {
      Sim.after(milliseconds(1),
                [=, this] { confirm(begun, target, at, wire, tries + 1); });
      return;
    }
    // The replica's answer travels back, then the primary is asked once more.
    auto back = Sim.delay(target, (target + 1) % Domains);
    Sim.after(back + wire + Wires.Client,
              [this, begun] { Acked.emplace_back(begun, Sim.now()); });
  }

  Simulation &Sim;
  Delays Wires;
  std::size_t Domain;
  std::uint64_t LastWrite = 1'000;
  std::vector<std::pair<TimePoint, TimePoint>> Acked;
};

void kill(Simulation &sim, Death how) {
  if (how == Death::Frozen) {
    sim.Targets[0].FrozenUntil = sim.now() + LongestGap * 2;
    return;
  }
  sim.Targets[0].Alive = false;
  if (how == Death::Domain)
    sim.Owners[0].Alive = false;
}

std::optional<Duration> measureGap(std::uint64_t seed, Delays delays, Death how,
                                   bool platformDown) {
  Simulation sim(seed, delays);
  Callers callers(sim, delays, 1);
  sim.runFor(std::chrono::seconds(4));
  callers.start();
  sim.runFor(std::chrono::seconds(1));
  if (platformDown)
    sim.Platform.Down = true;
  sim.runFor(milliseconds(200 + sim.below(400)));
  auto died = sim.now();
  kill(sim, how);
  sim.runUntil([&] { return callers.firstAfter(died).has_value(); },
               LongestGap);
  auto acked = callers.firstAfter(died);
  return acked ? std::optional<Duration>(*acked - died) : std::nullopt;
}

/// The baseline: the primary holds a lease at the platform and renews it; a
/// watcher takes it over when it has run out, then promotes. The platform's
/// clock decides, so no pause need be added.
Duration leaseGap(Simulation &sim, Delays delays) {
  auto renewed = milliseconds(sim.below(
      static_cast<std::uint64_t>(LeaseRenewal.count()))); // Before the death.
  auto left = LeaseLength - renewed;
  auto takeOver = 2 * sim.delay(1, PlatformPlace); // Watch, then update.
  auto fenceAndPromote = 4 * sim.delay(1, 2);
  auto write = 2 * sim.delay(1, 2) + 2 * Duration(delays.Client);
  auto retry =
      milliseconds(sim.below(static_cast<std::uint64_t>(EntryRetry.count())));
  return left + 2 * takeOver + fenceAndPromote + write + retry;
}

const char *nameOf(Death it) {
  switch (it) {
  case Death::Process:
    return "process dead";
  case Death::Frozen:
    return "process frozen";
  case Death::Domain:
    return "target and owner dead";
  }
  return "";
}

void benchGaps(const char *name, Delays delays, unsigned rounds) {
  for (auto how : {Death::Process, Death::Frozen, Death::Domain})
    for (bool down : {false, true}) {
      std::vector<Duration> gaps;
      std::vector<Duration> leases;
      for (unsigned n = 0; n < rounds; ++n) {
        if (auto gap = measureGap(n + 1, delays, how, down))
          gaps.push_back(*gap);
        Simulation sim(n + 1, delays);
        leases.push_back(leaseGap(sim, delays));
      }
      fmt::print("{}, {}, platform {}: {} of {} failovers, {}; leases of 3 s: "
                 "{}\n",
                 name, nameOf(how), down ? "down" : "up", gaps.size(), rounds,
                 print(summarise(gaps), 1, "s"),
                 down ? std::string("none: writes stop with the lease")
                      : print(summarise(leases), 1, "s"));
    }
}

void benchCalm(const char *name, Delays delays) {
  Timings limits;
  auto roundTrip = std::chrono::ceil<milliseconds>(delays.Region * 12 / 5);
  auto most = pauseLimit(limits, roundTrip);
  Simulation sim(5, delays, limits);
  constexpr std::chrono::hours Span{1};
  auto begun = sim.now();
  int pauses = 0;
  for (; sim.now() - begun < Span; ++pauses) {
    sim.runFor(std::chrono::seconds(5) + milliseconds(sim.below(1'000)));
    auto until = sim.now() + most - milliseconds(1);
    if (pauses % 2 == 0)
      sim.Targets[sim.below(Domains)].FrozenUntil = until;
    else
      sim.Owners[sim.below(Domains)].FrozenUntil = until;
    sim.runFor(milliseconds(500));
  }
  auto span = std::chrono::duration<double>(sim.now() - begun).count();
  fmt::print("{}, calm: {:.0f} s with 20% jitter and {} pauses of {} ms (limit "
             "{} ms): {} changes of primary\n",
             name, span, pauses, (most - milliseconds(1)).count(), most.count(),
             sim.Promotions);
}

/// Writes on one primary through the rounds of confirmation; the owner stands
/// beside it.
class ConfirmRun {
public:
  ConfirmRun(Simulation &sim, std::size_t mostRounds) : Sim(sim) {
    State.MostRounds = mostRounds;
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

  std::vector<Duration> Added;
  std::size_t Calls = 0; ///< On replicas and primary.

private:
  void commit() {
    Position at{1, ++Last};
    for (std::size_t n = 1; n < Domains; ++n)
      Sim.after(Sim.delay(0, n),
                [this, n, at] { Held[n] = std::max(Held[n], at.Index); });
    TicketHandle ticket;
    auto actions = onCommitted(State, at, Sim.now() + std::chrono::seconds(1),
                               Sim.now(), ticket);
    Begun[ticket] = Sim.now();
    take(actions);
  }
  void take(const ConfirmActions &actions) {
    for (const auto &it : actions)
      std::visit([this](const auto &n) { perform(n); }, it);
  }
  void perform(const AskReplicas &it) {
    for (std::size_t n = 1; n < Domains; ++n) {
      ++Calls;
      Sim.after(Sim.delay(0, n), [this, it, n] { await(it, n); });
    }
  }
  void await(const AskReplicas &it, std::size_t n) {
    if (Held[n] < it.At.Index) {
      Sim.after(microseconds(100), [this, it, n] { await(it, n); });
      return;
    }
    TargetReport report{1, false, {1, Held[n]}, {}, false};
    Sim.after(Sim.delay(0, n), [this, it, report] {
      take(onReplica(State, it.Round, report, Sim.now()));
    });
  }
  void perform(const AskPrimary &it) {
    ++Calls;
    Sim.after(2 * Sim.delay(0, 0), [this, it] {
      TargetReport report{1, true, {1, Last}, {}, false};
      take(onPrimary(State, it.Round, report, Sim.now()));
    });
  }
  void perform(const Confirmed &it) {
    if (it.Safe)
      Added.push_back(Sim.now() - Begun[it.Ticket]);
  }

  Simulation &Sim;
  ConfirmState State;
  std::uint64_t Last = 1;
  std::array<std::uint64_t, Domains> Held{};
  std::map<TicketHandle, TimePoint> Begun;
};

void benchConfirmation(const char *name, Delays delays) {
  constexpr unsigned Writes = 4'000;
  constexpr std::size_t EachForItself = 1'000'000;
  for (double rate : {100.0, 1'000.0, 5'000.0})
    for (std::size_t rounds : {std::size_t{1}, std::size_t{2}, EachForItself}) {
      Simulation sim(3, delays);
      ConfirmRun run(sim, rounds);
      run.run(Writes, rate);
      auto calls = static_cast<double>(run.Calls) / Writes;
      fmt::print("{}, confirmation, {:.0f} writes a second, {}: {} of {} "
                 "confirmed, adds {}; {:.2f} calls a write (no confirmation: "
                 "adds 0.00 ms, 0 calls)\n",
                 name, rate,
                 rounds == EachForItself ? std::string("each for itself")
                                         : fmt::format("{} rounds", rounds),
                 run.Added.size(), Writes,
                 print(summarise(run.Added), 1'000, "ms"), calls);
    }
}

} // namespace

int main(int argc, char **argv) {
  constexpr unsigned Rounds = 100;
  auto rounds = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : Rounds;
  for (const auto &[name, delays] :
       {std::pair("Lendleht", Lendleht), std::pair("Thaali", Thaali)}) {
    benchGaps(name, delays, rounds);
    benchCalm(name, delays);
    benchConfirmation(name, delays);
  }
  return 0;
}
