#include "proxy/shared_watch.h"

#include "proxy/members.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace peridotfall;
using namespace peridotfall::proxy;
using peridotfall::testing::Here;
using peridotfall::testing::membersOf;

namespace {

constexpr auto Kind = "configuration";
constexpr milliseconds Step{20};

/// The store as one daemon reaches it. Calls that are pending when an outage
/// begins, or that are made during it, are never answered, or are refused.
class OutageStore final : public ObjectSource {
public:
  explicit OutageStore(const Clock &clock) : Time(clock) {}

  void list(const std::string &, const std::string &, milliseconds limit,
            OnPage done) override {
    ++Received;
    Calls.push_back({0, Time.now(), Time.now() + limit, InOutage, done});
  }
  void watch(const std::string &, std::uint64_t revision, milliseconds wait,
             OnChanges done) override {
    ++Received;
    Calls.push_back({revision, Time.now() + wait,
                     Time.now() + wait + peridotfall::proxy::limits::WatchSlack,
                     InOutage, done});
  }
  void beginOutage() {
    InOutage = true;
    for (auto &it : Calls)
      it.Unanswered = true;
  }
  void endOutage() { InOutage = false; }
  void change() { ++Revision; }
  std::uint64_t revision() const { return Revision; }

  bool Refuses = false;  ///< Whether calls are refused in an outage.
  unsigned Received = 0; ///< Calls, also those not answered.

  void tick() {
    auto now = Time.now();
    std::vector<Call> ended;
    auto isOver = [&](const Call &it) {
      bool due = it.NewerThan < Revision || now >= it.Until;
      return it.Unanswered ? Refuses || now >= it.TimesOutAt : due;
    };
    auto first =
        std::stable_partition(Calls.begin(), Calls.end(),
                              [&](const Call &it) { return !isOver(it); });
    std::move(first, Calls.end(), std::back_inserter(ended));
    Calls.erase(first, Calls.end());
    for (const auto &it : ended)
      it.Done(it.Unanswered ? ObjectPage{} : page(it.NewerThan));
  }

private:
  struct Call {
    std::uint64_t NewerThan;
    TimePoint Until;
    TimePoint TimesOutAt;
    bool Unanswered;
    OnPage Done;
  };
  ObjectPage page(std::uint64_t newerThan) const {
    ObjectPage out{ReadOutcome::Done, {}, false, Revision, {}};
    if (newerThan < Revision)
      out.Objects = {{"main", "{}", Revision, false}};
    return out;
  }

  const Clock &Time;
  std::uint64_t Revision = 7;
  bool InOutage = false;
  std::vector<Call> Calls;
};

struct Daemon;

/// Watches between daemons that reach each other without delay.
struct DaemonLinks final : WatcherPort {
  void watch(const std::string &address, const messages::WatchRequest &request,
             milliseconds limit, OnWatchAnswer done) override;

  std::vector<std::unique_ptr<Daemon>> *All = nullptr;
};

struct Daemon {
  Daemon(const Member &self, const std::vector<Member> &live,
         ObjectSource &store, DaemonLinks &links, milliseconds limit,
         const Clock &clock)
      : Self(self), Host(clock),
        Watch(store, links, Kind, maxCacheAge(limit), clock),
        Cache({.Kind = Kind,
               .Backoff = recoveryBackoff(1'000),
               .WatchWait = maxWatchWait(limit)},
              Watch, clock) {
    Host.add(Cache, true);
    Watch.updateMembers(Self.Vm, Here, live);
    Cache.start();
  }
  void tick() {
    Cache.tick();
    Host.tick();
  }

  Member Self;
  WatchHost Host;
  SharedWatch Watch;
  ObjectCache Cache;
};

void DaemonLinks::watch(const std::string &address,
                        const messages::WatchRequest &request, milliseconds,
                        OnWatchAnswer done) {
  for (auto &it : *All)
    if (it->Self.InnerAddress == address)
      it->Host.begin(request, [done](const messages::WatchAnswer &answer) {
        done({answer});
      });
}

/// Daemons of one failure domain with one store.
struct OutageFixture {
  ManualClock Time;
  DaemonLinks Links;
  std::vector<std::unique_ptr<Daemon>> All;
  OutageStore Store{Time};

  void start(std::size_t daemons, milliseconds limit) {
    auto live = membersOf(daemons);
    Links.All = &All;
    for (const auto &it : live)
      All.push_back(
          std::make_unique<Daemon>(it, live, Store, Links, limit, Time));
  }
  void pass(Duration span) {
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      Store.tick();
      for (auto &it : All)
        it->tick();
    }
  }
  std::size_t behind() const {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(), [&](const auto &it) {
          return it->Cache.revision() < Store.revision();
        }));
  }
};

/// Steps of the begin and of the duration of the outages.
struct Sweep {
  std::size_t Daemons = 0;
  milliseconds BeginsStep{};
  milliseconds LastsStep{};
};

/// \return whether some daemon does not know within \p limit a change made at
/// the end of the outage.
bool isLateAfter(milliseconds begins, milliseconds lasts, std::size_t daemons,
                 milliseconds limit) {
  OutageFixture it;
  it.start(daemons, limit);
  it.pass(begins);
  it.Store.beginOutage();
  it.pass(lasts);
  it.Store.endOutage();
  it.Store.change();
  it.pass(limit);
  return it.behind() > 0;
}

unsigned countLate(const Sweep &sweep, milliseconds limit) {
  constexpr milliseconds FirstBegin{8'000};
  constexpr milliseconds Longest{6'000};
  unsigned late = 0;
  for (auto begins = FirstBegin; begins < FirstBegin + limit;
       begins += sweep.BeginsStep)
    for (auto lasts = Step; lasts <= Longest; lasts += sweep.LastsStep)
      late += isLateAfter(begins, lasts, sweep.Daemons, limit);
  return late;
}

/// \return calls that daemons send to a store that refuses them for \p span.
unsigned callsInOutage(std::size_t daemons, milliseconds span) {
  OutageFixture it;
  it.start(daemons, milliseconds(6'000));
  it.pass(milliseconds(8'000));
  auto before = it.Store.Received;
  it.Store.Refuses = true;
  it.Store.beginOutage();
  it.pass(span);
  return it.Store.Received - before;
}

} // namespace

// Guards against an overload of the store that all daemons keep up by their
// retries.
TEST_CASE("store refuses calls for seconds, calls don't grow with the daemons "
          "behind watchers") {
  constexpr milliseconds Span{9'000};
  constexpr std::size_t Few = 20;
  constexpr std::size_t Many = 100;
  // Each daemon calls once, when its objects have become too old.
  constexpr auto FirstCalls = Many - Few;
  auto few = callsInOutage(Few, Span);
  auto many = callsInOutage(Many, Span);
  CHECK(many <= few + FirstCalls);
  CHECK(few <= Span / limits::OutageCallInterval);
}

// Guards against a call sent during an outage that stays pending beyond its
// end.
TEST_CASE("store available after an outage, daemons behind a watcher know a "
          "change in time") {
  constexpr Sweep Shared{13, milliseconds(1'100), milliseconds(100)};
  CHECK(countLate(Shared, milliseconds(5'000)) == 0);
  CHECK(countLate(Shared, milliseconds(3'000)) == 0);
}

// Guards against an unanswered watch that is noticed only at the end of the
// bound.
TEST_CASE("store available after an outage, daemons that watch it know a "
          "change in time") {
  constexpr Sweep Alone{2, milliseconds(20), milliseconds(1'500)};
  CHECK(countLate(Alone, milliseconds(5'000)) == 0);
  CHECK(countLate(Alone, milliseconds(3'000)) == 0);
}
