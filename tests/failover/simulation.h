/// \file
/// Simulates three targets, their owners and the platform in virtual time, with
/// the real failover state machine at each owner.

#ifndef PERIDOTFALL_TESTS_FAILOVER_SIMULATION_H
#define PERIDOTFALL_TESTS_FAILOVER_SIMULATION_H

#include "peridotfall/failover.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::simulation {

using namespace failover;
using std::chrono::microseconds;

inline constexpr std::size_t Domains = 3;
inline constexpr std::size_t PlatformIndex = Domains;

/// One-way delays of a deployment: between the failure domains of one region,
/// to the failure domain in the other region, and to clients.
struct Delays {
  microseconds Domain;
  microseconds Region;
  microseconds Client;
};
inline constexpr Delays Lendleht{milliseconds(1), milliseconds(8),
                                 milliseconds(1)};
inline constexpr Delays Thaali{microseconds(1'500), milliseconds(8),
                               milliseconds(3)};
inline constexpr milliseconds ProbeLimit{400};
inline constexpr milliseconds Tick{25};

struct SimTarget {
  TargetName Name;
  bool Alive = true;
  TimePoint FrozenUntil;
  TargetReport Report;
  std::vector<std::pair<Term, std::uint64_t>> Log; ///< Term and write's id.
};

struct SimOwner {
  VmName Vm;
  bool Alive = true;
  TimePoint FrozenUntil;
  GroupState Group;
};

struct SimPlatform {
  bool Down = false;
  unsigned LoseAnswers = 0;
  std::optional<GroupObject> Object;
  std::uint64_t Version = 0;
  unsigned Writes = 0;
};

class Simulation {
public:
  explicit Simulation(std::uint64_t seed, Delays delays = Lendleht,
                      Timings limits = {})
      : LinkDelays(delays), Random(seed) {
    std::vector<OwnedTarget> owned;
    for (std::size_t n = 0; n < Domains; ++n)
      owned.push_back({TargetName("t" + std::to_string(n)),
                       VmName("vm" + std::to_string(n))});
    for (std::size_t n = 0; n < Domains; ++n) {
      auto &target = Targets[n];
      target.Name = owned[n].Name;
      target.Report = {
          1, n == 0, {1, 1}, n == 0 ? TargetName() : owned[0].Name, false};
      target.Log = {{1, 0}};
      auto &owner = Owners[n];
      owner.Vm = owned[n].Owner;
      owner.Group = makeGroup(DatabaseName("db"), owner.Vm, owned, limits,
                              seed * Domains + n + 1, Now);
      after(milliseconds(below(25)), [this, n] { tick(n); });
    }
  }

  TimePoint now() const { return Now; }
  std::uint64_t below(std::uint64_t n) { return Random() % n; }

  void after(Duration delay, std::function<void()> action) {
    Events.emplace(std::pair(Now + delay, ++Scheduled), std::move(action));
  }
  void runFor(Duration span) {
    auto end = Now + span;
    while (!Events.empty() && Events.begin()->first.first <= end) {
      auto event = Events.extract(Events.begin());
      Now = event.key().first;
      event.mapped()();
    }
    Now = end;
  }
  /// \return whether the condition became true within the span.
  bool runUntil(const std::function<bool()> &done, Duration span) {
    for (auto end = Now + span; Now < end && !done();)
      runFor(milliseconds(1));
    return done();
  }

  Duration delay(std::size_t a, std::size_t b) {
    a = a == PlatformIndex ? 0 : a; // The store is in the first region.
    b = b == PlatformIndex ? 0 : b;
    if (a == b)
      return microseconds(100);
    auto it = a == 2 || b == 2 ? LinkDelays.Region : LinkDelays.Domain;
    return it + it * below(20) / 100; // 20% jitter.
  }
  bool isCut(std::size_t a, std::size_t b) const {
    return CutLinks[a][b] || CutLinks[b][a];
  }
  /// \return a live primary whose term a majority of live targets share;
  /// Domains if there is none.
  std::size_t leader() const {
    for (std::size_t n = 0; n < Domains; ++n) {
      auto term = Targets[n].Report.CurrentTerm;
      std::size_t same = 0;
      for (const auto &it : Targets)
        same += it.Report.CurrentTerm == term && it.Alive ? 1 : 0;
      if (Targets[n].Alive && Targets[n].Report.IsPrimary && same >= 2)
        return n;
    }
    return Domains;
  }

  /// \return whether the target, which must consider itself the primary,
  /// accepted the write.
  bool write(std::size_t n, std::uint64_t id) {
    auto &it = Targets[n];
    if (!it.Alive || !it.Report.IsPrimary || isFrozen(it))
      return false;
    append(n, id);
    return true;
  }
  bool isFrozen(const SimTarget &it) const { return it.FrozenUntil > Now; }

  std::array<SimTarget, Domains> Targets;
  std::array<SimOwner, Domains> Owners;
  SimPlatform Platform;
  std::array<std::array<bool, Domains + 1>, Domains + 1> CutLinks{};
  /// All actions but probes and queries to peers, in order, with their owner.
  std::vector<std::pair<std::size_t, Action>> History;
  unsigned Promotions = 0;
  Duration ReplicationLag{}; ///< In addition to the link's delay.
  /// The last target promoted in each term.
  std::map<Term, TargetName> PrimaryOfTerm;
  bool TwoPrimariesInTerm = false;

  void perform(std::size_t n, const Actions &actions) {
    for (const auto &it : actions) {
      if (!std::holds_alternative<Probe>(it) &&
          !std::holds_alternative<QueryPeer>(it))
        History.emplace_back(n, it);
      std::visit([&](const auto &action) { perform(n, action); }, it);
    }
  }

private:
  using Handler = std::function<void(std::optional<TargetReport>, bool)>;

  void tick(std::size_t n) {
    auto &it = Owners[n];
    if (!it.Alive)
      return;
    if (it.FrozenUntil > Now) {
      after(it.FrozenUntil - Now, [this, n] { tick(n); });
      return;
    }
    perform(n, onTick(it.Group, Now));
    after(Tick, [this, n] { tick(n); });
  }

  /// Runs the handler at the owner as soon as that is not frozen.
  void deliver(std::size_t n, std::function<Actions(GroupState &)> handler) {
    auto &it = Owners[n];
    if (!it.Alive)
      return;
    if (it.FrozenUntil > Now)
      after(it.FrozenUntil - Now,
            [this, n, handler = std::move(handler)] { deliver(n, handler); });
    else
      perform(n, handler(it.Group));
  }

  std::size_t indexOf(const TargetName &name) const {
    std::size_t n = 0;
    while (Targets[n].Name != name)
      ++n;
    return n;
  }

  /// A control call to a target.
  /// \param done receives the report, if any, and whether the call was refused.
  void call(std::size_t n, std::size_t target,
            std::function<bool(SimTarget &)> effect, Handler done) {
    auto answered = std::make_shared<bool>(false);
    auto finish = [answered, done = std::move(done)](
                      const std::optional<TargetReport> &report, bool refused) {
      if (!std::exchange(*answered, true))
        done(report, refused);
    };
    after(ProbeLimit, [finish] { finish(std::nullopt, false); });
    if (!isCut(n, target))
      after(delay(n, target), [=, this] { arrive(n, target, effect, finish); });
  }
  void arrive(std::size_t n, std::size_t target,
              const std::function<bool(SimTarget &)> &effect,
              const Handler &finish) {
    auto &it = Targets[target];
    if (isFrozen(it)) {
      after(it.FrozenUntil - Now,
            [=, this] { arrive(n, target, effect, finish); });
      return;
    }
    if (!it.Alive) {
      after(delay(n, target), [finish] { finish(std::nullopt, false); });
      return;
    }
    bool accepted = effect(it);
    it.Report.Last = {it.Log.back().first, it.Log.size()};
    auto report = it.Report;
    if (!isCut(n, target))
      after(delay(n, target),
            [finish, report, accepted] { finish(report, !accepted); });
  }

  static StepOutcome outcomeOf(const std::optional<TargetReport> &report,
                               bool refused) {
    if (!report)
      return StepOutcome::Unknown;
    return refused ? StepOutcome::Refused : StepOutcome::Done;
  }

  void perform(std::size_t n, const Probe &it) {
    call(
        n, indexOf(it.Target), [](SimTarget &) { return true; },
        [=, this](const std::optional<TargetReport> &report, bool) {
          deliver(n, [=, this](GroupState &group) {
            return report ? onStatus(group, it.Target, *report, Now)
                          : onUnreachable(group, it.Target, Now);
          });
        });
  }
  void perform(std::size_t n, const QueryPeer &it) {
    std::size_t peer = 0;
    while (Owners[peer].Vm != it.Vm)
      ++peer;
    if (isCut(n, peer))
      return;
    after(delay(n, peer), [=, this] {
      deliver(peer, [=, this](GroupState &group) {
        auto seen = observationsOf(group, Now);
        auto object = newerObject(group, it.Version);
        if (!isCut(n, peer))
          after(delay(n, peer), [=, this] {
            deliver(n, [=, this](GroupState &requester) {
              if (object)
                onPeerObject(requester, *object, Now);
              return onPeerView(requester, it.Vm, seen, Now);
            });
          });
        return Actions{};
      });
    });
  }
  void perform(std::size_t n, const Fence &it) {
    call(
        n, indexOf(it.Target),
        [=](SimTarget &target) {
          if (it.InTerm > target.Report.CurrentTerm)
            accept(target, it.InTerm);
          return it.InTerm == target.Report.CurrentTerm;
        },
        [=, this](const std::optional<TargetReport> &report, bool refused) {
          deliver(n, [=, this](GroupState &group) {
            return onFenced(group, it.Target, it.InTerm,
                            outcomeOf(report, refused),
                            report.value_or(TargetReport{}), Now);
          });
        });
  }
  void perform(std::size_t n, const Promote &it) {
    call(
        n, indexOf(it.Target),
        [=, this](SimTarget &target) { return promote(target, it.InTerm); },
        [=, this](const std::optional<TargetReport> &report, bool refused) {
          deliver(n, [=, this](GroupState &group) {
            return onPromoted(group, it.Target, it.InTerm,
                              outcomeOf(report, refused),
                              report.value_or(TargetReport{}), Now);
          });
        });
  }
  void perform(std::size_t n, const Follow &it) {
    call(
        n, indexOf(it.Target),
        [=, this](SimTarget &target) {
          auto &report = target.Report;
          if (it.InTerm < report.CurrentTerm ||
              (it.InTerm == report.CurrentTerm && report.IsPrimary))
            return false;
          accept(target, it.InTerm);
          report.Following = it.Primary;
          replicate(indexOf(it.Primary), indexOf(target.Name));
          return true;
        },
        [=, this](const std::optional<TargetReport> &report, bool) {
          if (report)
            deliver(n, [=, this](GroupState &group) {
              return onStatus(group, it.Target, *report, Now);
            });
        });
  }
  void perform(std::size_t n, const GetObject &) {
    if (Platform.Down || isCut(n, PlatformIndex)) {
      after(milliseconds(2'000), [=, this] {
        deliver(n, [=, this](GroupState &group) {
          return onObjectUnavailable(group, Now);
        });
      });
      return;
    }
    after(delay(n, PlatformIndex) * 2, [=, this] {
      deliver(n, [=, this, object = Platform.Object,
                  version = Platform.Version](GroupState &group) {
        return onObject(group, object, version, Now);
      });
    });
  }
  void perform(std::size_t n, const PutObject &it) {
    auto outcome = StepOutcome::Unknown;
    Duration wait = milliseconds(2'000);
    if (!Platform.Down && !isCut(n, PlatformIndex)) {
      bool accepted = it.Expected == Platform.Version;
      if (accepted) {
        Platform.Object = it.Value;
        ++Platform.Version;
        ++Platform.Writes;
      }
      if (Platform.LoseAnswers > 0)
        --Platform.LoseAnswers;
      else {
        outcome = accepted ? StepOutcome::Done : StepOutcome::Refused;
        wait = delay(n, PlatformIndex) * 2;
      }
    }
    after(wait, [=, this] {
      deliver(n, [=, this](GroupState &group) {
        return onPutDone(group, it.Value.Id, outcome, Now);
      });
    });
  }
  template <class Notice> void perform(std::size_t, const Notice &) {}

  static void accept(SimTarget &target, Term term) {
    target.Report.CurrentTerm = term;
    target.Report.IsPrimary = false;
    target.Report.Following = TargetName();
  }
  bool promote(SimTarget &target, Term term) {
    if (term != target.Report.CurrentTerm)
      return false;
    auto &primary = PrimaryOfTerm[term];
    TwoPrimariesInTerm |= !primary.empty() && primary != target.Name;
    primary = target.Name;
    if (!target.Report.IsPrimary) {
      ++Promotions;
      target.Report.IsPrimary = true;
      append(indexOf(target.Name), 0);
    }
    return true;
  }
  void append(std::size_t n, std::uint64_t id) {
    auto &it = Targets[n];
    it.Log.emplace_back(it.Report.CurrentTerm, id);
    it.Report.Last = {it.Report.CurrentTerm, it.Log.size()};
    for (std::size_t to = 0; to < Domains; ++to)
      if (to != n)
        replicate(n, to);
  }
  /// Replicates the log as it is at the time of sending.
  void replicate(std::size_t from, std::size_t to) {
    const auto &source = Targets[from];
    if (!source.Report.IsPrimary || isCut(from, to))
      return;
    after(ReplicationLag + delay(from, to),
          [=, this, log = source.Log, term = source.Report.CurrentTerm] {
            auto &it = Targets[to];
            if (!it.Alive || isFrozen(it) || it.Report.CurrentTerm != term ||
                it.Report.Following != Targets[from].Name)
              return;
            if (it.Log.back().first == term && it.Log.size() >= log.size())
              return;
            it.Log = log;
            it.Report.Last = {log.back().first, log.size()};
          });
  }

  Delays LinkDelays;
  std::mt19937_64 Random;
  TimePoint Now{std::chrono::hours(1)};
  std::uint64_t Scheduled = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Events;
};

} // namespace peridotfall::simulation

#endif // PERIDOTFALL_TESTS_FAILOVER_SIMULATION_H
