#include "proxy/shared_watch.h"

#include "membership/stable_hash.h"
#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

std::int64_t wholeMillis(Duration it) {
  return std::chrono::duration_cast<milliseconds>(it).count();
}

} // namespace

WatchPlan planWatches(const VmName &self, const DomainName &domain,
                      const std::vector<Member> &live) {
  std::vector<Member> near;
  for (const auto &it : live)
    if (it.Domain == domain && !it.InnerAddress.empty())
      near.push_back(it);
  if (near.size() < limits::MinSharingDaemons)
    return {};
  auto watchers =
      rankOwners(near, TargetName("watch of the store"), domain, RegionName());
  // The watchers send each change once to each other daemon of the domain.
  std::stable_sort(watchers.begin(), watchers.end(),
                   [](const Member &left, const Member &right) {
                     return left.LinkMbps > right.LinkMbps;
                   });
  if (watchers.size() > limits::WatchersPerDomain)
    watchers.resize(limits::WatchersPerDomain);
  if (std::any_of(watchers.begin(), watchers.end(),
                  [&](const Member &it) { return it.Vm == self; }))
    return {{}, true, near.size(), watchers.front().Vm == self};
  // Each daemon has its own order, which spreads the calls over the watchers.
  return {rankOwners(watchers, TargetName(self.Value), domain, RegionName()),
          false, near.size(), false};
}

bool isDaemonListDue(bool fleetStarts, Duration sinceStart) {
  return !fleetStarts || sinceStart >= limits::FleetStartDelay;
}

bool isSharedStartDue(bool daemonsListed, Duration sinceListDue) {
  // The list hangs if the store is unavailable.
  return daemonsListed || sinceListDue >= limits::HedgeDelay;
}

SharedWatch::SharedWatch(ObjectSource &store, WatcherPort &watcherCalls,
                         std::string sentinel, milliseconds maxAge,
                         const Clock &clock)
    : Store(store), WatcherCalls(watcherCalls), Sentinel(std::move(sentinel)),
      MaxAge(maxAge), Time(clock) {}

void SharedWatch::updateMembers(const VmName &self, const DomainName &domain,
                                const std::vector<Member> &live) {
  Self = self;
  PlanByMembers = planWatches(self, domain, live);
  updatePlan();
}

void SharedWatch::setFirstWatcher(std::optional<Member> watcher) {
  FirstWatcher = std::move(watcher);
  FirstWatcherFailsSince.reset();
  IsFirstWatcherLost = false;
  updatePlan();
}

void SharedWatch::updatePlan() {
  // Gossip may tell of watchers before the members are listed.
  bool useMembers = IsFirstWatcherLost && !PlanByMembers.Watchers.empty();
  Plan = FirstWatcher && !useMembers ? WatchPlan{{*FirstWatcher}, false}
                                     : PlanByMembers;
}

void logLargeAnswer(const CallRecord &line) {
  if (line.Received.Bytes < limits::LargeAnswerSize)
    return;
  telemetry::log(Event::LargeAnswer,
                 {field("kind", line.Kind), field("call", line.Call),
                  field("asked", line.Callee),
                  field("bytes", line.Received.Bytes),
                  field("transfer_ms", wholeMillis(line.Received.Elapsed)),
                  field("waited_ms", wholeMillis(line.Waited))});
}

void SharedWatch::logUnanswered(const CallRecord &line) {
  auto fresh = ConfirmedAt.find(line.Kind);
  telemetry::log(Event::StoreCallUnanswered,
                 {field("kind", line.Kind), field("call", line.Call),
                  field("asked", line.Callee),
                  field("waited_ms", wholeMillis(line.Waited)),
                  field("bytes", line.Received.Bytes),
                  field("transfer_ms", wholeMillis(line.Received.Elapsed)),
                  field("why", line.Why),
                  field("age_ms", fresh == ConfirmedAt.end()
                                      ? std::string("-")
                                      : std::to_string(wholeMillis(
                                            Time.now() - fresh->second)))});
}

void SharedWatch::recordStoreCall(const std::string &kind, const char *call,
                                  TimePoint began, const ObjectPage &page) {
  bool answered = page.Outcome != ReadOutcome::Unavailable;
  CallRecord line{kind, call, "store", page.Received, Time.now() - began};
  if (OnReceived)
    OnReceived(kind, page.Received.Bytes);
  if (answered) {
    ConfirmedAt[kind] = Time.now() - page.Age;
    logLargeAnswer(line);
    NextStoreCall.erase(kind);
  } else {
    logUnanswered(line);
    NextStoreCall[kind] = Time.now() + outageInterval(kind);
  }
  if (OnStoreCall)
    OnStoreCall(kind, answered);
}

void SharedWatch::list(const std::string &kind, const std::string &after,
                       milliseconds limit, OnPage done) {
  Store.list(kind, after, limit,
             [this, kind, began = Time.now(), done](ObjectPage page) {
               page.Age = page.Received.Elapsed;
               recordStoreCall(kind, "list", began, page);
               done(std::move(page));
             });
}

/// \return the wait of a watch at the store. When the daemons that watch for
/// this one cannot reach the store, this daemon calls it during the outage;
/// that call would hang beyond its end and delay the changes since. The wait
/// ends when the cached objects are too old, so that the call is replaced in
/// time.
milliseconds SharedWatch::storeWait(const std::string &kind,
                                    milliseconds wait) {
  if (Plan.WatchesForOthers && kind == Sentinel)
    return std::min(wait, MaxAge / limits::MaxAgeDivisor);
  if (Plan.Watchers.empty())
    return wait;
  auto left = std::chrono::duration_cast<milliseconds>(ConfirmedAt[kind] +
                                                       MaxAge - Time.now());
  return std::min(wait, std::max(left, limits::MinWatchWait));
}

void SharedWatch::watchStore(const std::string &kind, std::uint64_t revision,
                             milliseconds wait, OnChanges done) {
  Store.watch(kind, revision, storeWait(kind, wait),
              [this, kind, began = Time.now(), done](ObjectChanges changes) {
                changes.Age = changes.Received.Elapsed;
                recordStoreCall(kind, "watch", began, changes);
                done(std::move(changes));
              });
}

milliseconds SharedWatch::directListDelay() const {
  if (Plan.DomainDaemons <= limits::DirectListsAtOnce)
    return milliseconds(0);
  auto place = stableHash(Self.Value, "direct list") % Plan.DomainDaemons;
  return limits::DirectListInterval * (place / limits::DirectListsAtOnce);
}

milliseconds SharedWatch::outageInterval(const std::string &kind) const {
  milliseconds interval = limits::OutageCallInterval * Plan.DomainDaemons;
  if (ConfirmedAt.contains(kind) ||
      Plan.DomainDaemons <= limits::DirectListsAtOnce)
    return interval;
  // Without objects the call is a list of all.
  milliseconds turns = limits::DirectListInterval *
                       (Plan.DomainDaemons / limits::DirectListsAtOnce);
  return std::max(interval, turns);
}

/// The call of another daemon ends in time if that one is lost. Where the size
/// of the failure domain is not known yet, all could list at once.
std::optional<milliseconds> SharedWatch::hedgeDelay() const {
  if (Plan.DomainDaemons == 0)
    return std::nullopt;
  bool isLarge = Plan.DomainDaemons > limits::DirectListsAtOnce;
  return limits::HedgeDelay + directListDelay() +
         (isLarge ? limits::DirectListInterval : milliseconds(0));
}

bool SharedWatch::reportsOutage(const VmName &watcher, TimePoint now) const {
  auto it = Watchers.find(watcher);
  return it != Watchers.end() && it->second.ReportedOutageAt &&
         now - *it->second.ReportedOutageAt < limits::OutageReportAge;
}

/// \return the daemon to call; one that reports an outage only if no other can
/// be called.
const Member *SharedWatch::nextWatcher(TimePoint now) const {
  const Member *reporting = nullptr;
  for (const auto &it : Plan.Watchers) {
    auto state = Watchers.find(it.Vm);
    if (state != Watchers.end() && now < state->second.PausedUntil)
      continue;
    if (!reportsOutage(it.Vm, now))
      return &it;
    if (!reporting)
      reporting = &it;
  }
  return reporting;
}

/// \return the time for which the cached objects may still go unconfirmed;
/// negative if they are too old.
milliseconds SharedWatch::timeUntilTooOld(const std::string &kind) const {
  auto it = ConfirmedAt.find(kind);
  auto confirmed = it == ConfirmedAt.end() ? TimePoint{} : it->second;
  return std::chrono::duration_cast<milliseconds>(
      confirmed + MaxAge - limits::SharedSlack - Time.now());
}

bool SharedWatch::isTooOld(const std::string &kind) const {
  return timeUntilTooOld(kind) < limits::MinSharedWait;
}

/// \return whether it is this daemon's turn to list the store directly.
bool SharedWatch::isMyTurn(TimePoint now) const {
  if (!OutageSince)
    return true;
  // The lists of daemons that start come sooner than a turn would.
  auto first = *OutageSince + (AreWatchersStarting ? limits::DirectListInterval
                                                   : milliseconds(0));
  return now >= first + directListDelay();
}

bool SharedWatch::isStoreCallDue(const std::string &kind) const {
  // Turns need the number of daemons, which comes with the members.
  if (FirstWatcher)
    return false;
  auto now = Time.now();
  bool outage =
      std::any_of(Plan.Watchers.begin(), Plan.Watchers.end(),
                  [&](const Member &it) { return reportsOutage(it.Vm, now); });
  if (!outage)
    return true;
  if (!ConfirmedAt.contains(kind) && !isMyTurn(now))
    return false;
  bool reached = kind == Sentinel || !isTooOld(Sentinel);
  auto next = NextStoreCall.find(kind);
  return reached && isTooOld(kind) &&
         (next == NextStoreCall.end() || now >= next->second);
}

/// \return the wait of a watch at another daemon; less than MinSharedWait if
/// the store is to be called instead.
milliseconds SharedWatch::sharedWait(const std::string &kind,
                                     milliseconds wait) const {
  // Nothing is in use yet that could be too old.
  if (!ConfirmedAt.contains(kind))
    return limits::OutageHold;
  if (isTooOld(kind) && !isStoreCallDue(kind))
    return limits::OutageHold;
  return std::min(
      {timeUntilTooOld(kind), wait, milliseconds(limits::SharedWait)});
}

void SharedWatch::recordFailure(
    const VmName &watcher, const std::optional<messages::WatchAnswer> &answer) {
  auto now = Time.now();
  auto &it = Watchers[watcher];
  it.PausedUntil =
      now + (answer ? limits::OutageReportPause : limits::WatcherPause);
  if (answer) {
    it.ReportedOutageAt = now;
    OutageSince = OutageSince.value_or(now);
    AreWatchersStarting = answer->Starting;
  } else
    it.ReportedOutageAt.reset();
  if (!FirstWatcher)
    return;
  FirstWatcherFailsSince = FirstWatcherFailsSince.value_or(now);
  IsFirstWatcherLost =
      !answer || now - *FirstWatcherFailsSince >= limits::ListTimeout;
  updatePlan();
}

/// The called daemon may be frozen, killed, or cut off from this one or from
/// the store; an accepted configuration or a leaving target would then not be
/// known here in time. Its answer therefore includes the age of its data, no
/// wait exceeds the age that the cached objects may still reach, and after that
/// the store is called directly.
bool SharedWatch::watchShared(const std::string &kind, std::uint64_t revision,
                              milliseconds wait, const OnChanges &done) {
  auto now = Time.now();
  const auto *watcher = nextWatcher(now);
  auto longest = sharedWait(kind, wait);
  if (!watcher || longest < limits::MinSharedWait)
    return false;
  auto answered = [this, kind, revision, wait, began = now, vm = watcher->Vm,
                   done](const WatchReply &reply) {
    const auto &it = reply.Answer;
    CallRecord line{kind, "watch", vm.Value, reply.Received,
                    Time.now() - began};
    if (OnReceived)
      OnReceived(kind, reply.Received.Bytes);
    if (it && it->Changes.Outcome != ReadOutcome::Unavailable) {
      auto changes = it->Changes;
      changes.Age = it->Age + reply.Received.Elapsed;
      ConfirmedAt[kind] = std::max(ConfirmedAt[kind], Time.now() - changes.Age);
      Watchers.erase(vm);
      OutageSince.reset();
      FirstWatcherFailsSince.reset();
      logLargeAnswer(line);
      done(changes);
      return;
    }
    if (it)
      line.Why = it->Starting ? "starting" : "store lost";
    logUnanswered(line);
    recordFailure(vm, it);
    if (!watchShared(kind, revision, wait, done))
      done({});
  };
  // Answers with all objects queue on the watcher's link.
  auto limit = ConfirmedAt.contains(kind) ? longest + limits::SharedSlack
                                          : limits::ListTimeout;
  WatcherCalls.watch(watcher->InnerAddress, {kind, revision, longest}, limit,
                     std::move(answered));
  return true;
}

void SharedWatch::watch(const std::string &kind, std::uint64_t revision,
                        milliseconds wait, OnChanges done) {
  auto onShared = [this, kind, revision, wait,
                   done](const ObjectChanges &changes) {
    if (changes.Outcome == ReadOutcome::Unavailable)
      watchStoreIfDue(kind, revision, wait, done);
    else
      done(changes);
  };
  if (!watchShared(kind, revision, wait, onShared))
    watchStoreIfDue(kind, revision, wait, done);
}

void SharedWatch::watchStoreIfDue(const std::string &kind,
                                  std::uint64_t revision, milliseconds wait,
                                  const OnChanges &done) {
  if (isStoreCallDue(kind))
    watchStore(kind, revision, wait, done);
  else
    done({});
}

void WatchHost::add(const ObjectCache &cache, bool sentinel) {
  Caches[cache.kind()] = &cache;
  if (sentinel)
    Sentinel = &cache;
}

void WatchHost::begin(const messages::WatchRequest &request, Answer answer) {
  auto it = Caches.find(request.Kind);
  if (it == Caches.end()) {
    answer({});
    return;
  }
  auto now = Time.now();
  Waiting.push_back({it->second, request.NewerThan,
                     now + std::min<Duration>(request.Wait, limits::OutageHold),
                     now + request.Wait, std::move(answer)});
}

/// \return the cache whose confirmations by the store count. A daemon that
/// starts may have the members, by which others learn who watches, before the
/// sentinel's objects, which it gets from those.
const ObjectCache &WatchHost::confirming(const ObjectCache &cache) const {
  return Sentinel && Sentinel->hasStarted() ? *Sentinel : cache;
}

bool WatchHost::isCurrent(const ObjectCache &cache) const {
  return cache.isCurrent() && confirming(cache).isCurrent();
}

bool WatchHost::isDue(const PendingWatch &it, TimePoint now) const {
  if (!isCurrent(*it.Of))
    return now >= it.OutageUntil;
  return it.Of->revision() > it.NewerThan || now >= it.Until;
}

void WatchHost::answer(const PendingWatch &it, TimePoint now) const {
  messages::WatchAnswer out;
  if (isCurrent(*it.Of)) {
    out.Changes = it.Of->changesSince(it.NewerThan);
    out.Age = now - confirming(*it.Of).confirmedAt();
  } else
    out.Starting = !it.Of->hasStarted();
  it.Done(std::move(out));
}

void WatchHost::tick() {
  auto now = Time.now();
  std::vector<PendingWatch> due;
  for (auto it = Waiting.begin(); it != Waiting.end();) {
    if (!isDue(*it, now)) {
      ++it;
      continue;
    }
    due.push_back(std::move(*it));
    it = Waiting.erase(it);
  }
  for (const auto &it : due)
    answer(it, now);
}

} // namespace peridotfall::proxy
