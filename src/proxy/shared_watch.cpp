#include "proxy/shared_watch.h"

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
  if (near.size() < limits::LeastSharing)
    return {};
  auto watchers =
      rankOwners(near, TargetName("watch of the store"), domain, RegionName());
  // Each change goes out over their links once for each of the others.
  std::stable_sort(watchers.begin(), watchers.end(),
                   [](const Member &left, const Member &right) {
                     return left.LinkMbps > right.LinkMbps;
                   });
  if (watchers.size() > limits::WatchersOfDomain)
    watchers.resize(limits::WatchersOfDomain);
  if (std::any_of(watchers.begin(), watchers.end(),
                  [&](const Member &it) { return it.Vm == self; }))
    return {{}, true};
  // Each daemon has an order of its own, so that the watchers share the work.
  return {rankOwners(watchers, TargetName(self.Value), domain, RegionName()),
          false};
}

SharedWatch::SharedWatch(ObjectSource &store, WatcherPort &others,
                         std::string sentinel, milliseconds freshFor,
                         const Clock &clock)
    : Store(store), Others(others), Sentinel(std::move(sentinel)),
      FreshFor(freshFor), Time(clock) {}

void SharedWatch::takeMembers(const VmName &self, const DomainName &domain,
                              const std::vector<Member> &live) {
  Plan = planWatches(self, domain, live);
}

void logLarge(const CallLine &line) {
  if (line.Received.Bytes < limits::LargeAnswer)
    return;
  telemetry::log(Event::LargeAnswer,
                 {field("kind", line.Kind), field("call", line.Call),
                  field("asked", line.Asked),
                  field("bytes", line.Received.Bytes),
                  field("transfer_ms", wholeMillis(line.Received.Took)),
                  field("waited_ms", wholeMillis(line.Waited))});
}

void SharedWatch::noteUnanswered(const CallLine &line) {
  auto fresh = FreshAt.find(line.Kind);
  telemetry::log(
      Event::StoreCallUnanswered,
      {field("kind", line.Kind), field("call", line.Call),
       field("asked", line.Asked), field("waited_ms", wholeMillis(line.Waited)),
       field("bytes", line.Received.Bytes),
       field("transfer_ms", wholeMillis(line.Received.Took)),
       field("age_ms",
             fresh == FreshAt.end()
                 ? std::string("-")
                 : std::to_string(wholeMillis(Time.now() - fresh->second)))});
}

void SharedWatch::noteStore(const std::string &kind, const char *call,
                            TimePoint began, const ObjectPage &page) {
  bool answered = page.Outcome != ReadOutcome::Unavailable;
  CallLine line{kind, call, "store", page.Received, Time.now() - began};
  if (OnReceived)
    OnReceived(kind, page.Received.Bytes);
  if (answered) {
    FreshAt[kind] = Time.now() - page.Age;
    logLarge(line);
  } else
    noteUnanswered(line);
  if (OnStoreCall)
    OnStoreCall(kind, answered);
}

void SharedWatch::list(const std::string &kind, const std::string &after,
                       milliseconds limit, OnPage done) {
  Store.list(kind, after, limit,
             [this, kind, began = Time.now(), done](ObjectPage page) {
               page.Age = page.Received.Took;
               noteStore(kind, "list", began, page);
               done(std::move(page));
             });
}

/// Failure: the daemons that watch for this one lost the store, and it asks
/// the store itself while that is silent. Symptom: the call hangs beyond the
/// outage, and what has changed since is not known in time. The wait ends when
/// the copy is too old, and so a call that replaces it is made in time.
milliseconds SharedWatch::storeWait(const std::string &kind,
                                    milliseconds wait) {
  if (Plan.ForOthers && kind == Sentinel)
    return std::min(wait, FreshFor / limits::FreshParts);
  if (Plan.Ask.empty())
    return wait;
  auto left = std::chrono::duration_cast<milliseconds>(FreshAt[kind] +
                                                       FreshFor - Time.now());
  return std::min(wait, std::max(left, limits::LeastWatchWait));
}

void SharedWatch::watchStore(const std::string &kind, std::uint64_t revision,
                             milliseconds wait, OnChanges done) {
  Store.watch(kind, revision, storeWait(kind, wait),
              [this, kind, began = Time.now(), done](ObjectChanges changes) {
                changes.Age = changes.Received.Took;
                noteStore(kind, "watch", began, changes);
                done(std::move(changes));
              });
}

const Member *SharedWatch::nextWatcher(TimePoint now) const {
  for (const auto &it : Plan.Ask) {
    auto paused = PausedUntil.find(it.Vm);
    if (paused == PausedUntil.end() || now >= paused->second)
      return &it;
  }
  return nullptr;
}

/// Failure: the daemon asked is frozen, killed or cut off, from this one or
/// from the store. Symptom: a configuration that was accepted, or a target
/// that leaves, is not known here in time. What it tells comes with its age,
/// and no wait is longer than the copy may still age; the store is asked
/// without another daemon when that is over.
void SharedWatch::watch(const std::string &kind, std::uint64_t revision,
                        milliseconds wait, OnChanges done) {
  auto now = Time.now();
  const auto *watcher = nextWatcher(now);
  auto left = FreshAt[kind] + FreshFor - limits::SharedSlack - now;
  auto most = std::min({std::chrono::duration_cast<milliseconds>(left), wait,
                        milliseconds(limits::SharedWait)});
  if (!watcher || most < limits::LeastSharedWait) {
    watchStore(kind, revision, wait, std::move(done));
    return;
  }
  auto answered = [this, kind, revision, wait, began = now, vm = watcher->Vm,
                   done = std::move(done)](const WatchReply &reply) {
    const auto &it = reply.Answer;
    CallLine line{kind, "watch", vm.Value, reply.Received, Time.now() - began};
    if (OnReceived)
      OnReceived(kind, reply.Received.Bytes);
    if (it && it->Changes.Outcome != ReadOutcome::Unavailable) {
      auto changes = it->Changes;
      changes.Age = it->Age + reply.Received.Took;
      FreshAt[kind] = std::max(FreshAt[kind], Time.now() - changes.Age);
      logLarge(line);
      done(changes);
      return;
    }
    noteUnanswered(line);
    PausedUntil[vm] = Time.now() + limits::WatcherPause;
    watch(kind, revision, wait, done);
  };
  Others.watch(watcher->InnerAddress, {kind, revision, most},
               most + limits::SharedSlack, std::move(answered));
}

void WatchHost::add(const Mirror &mirror, bool sentinel) {
  Mirrors[mirror.kind()] = &mirror;
  if (sentinel)
    Sentinel = &mirror;
}

void WatchHost::begin(const messages::WatchRequest &request, Answer answer) {
  auto it = Mirrors.find(request.Kind);
  if (it == Mirrors.end()) {
    answer({});
    return;
  }
  Waiting.push_back({it->second, request.NewerThan, Time.now() + request.Wait,
                     std::move(answer)});
}

bool WatchHost::isCurrent(const Mirror &mirror) const {
  return mirror.isCurrent() && (!Sentinel || Sentinel->isCurrent());
}

bool WatchHost::isDue(const Held &it, TimePoint now) const {
  return !isCurrent(*it.Of) || it.Of->revision() > it.NewerThan ||
         now >= it.Until;
}

void WatchHost::answer(const Held &it, TimePoint now) const {
  messages::WatchAnswer out;
  if (isCurrent(*it.Of)) {
    out.Changes = it.Of->changesSince(it.NewerThan);
    out.Age = now - (Sentinel ? Sentinel : it.Of)->confirmedAt();
  }
  it.Done(std::move(out));
}

void WatchHost::tick() {
  auto now = Time.now();
  std::vector<Held> due;
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
