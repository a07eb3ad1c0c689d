#include "proxy/object_cache.h"

#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

platform::BackoffOptions recoveryBackoff(double readsPerSecond) {
  double rate = std::max(readsPerSecond * limits::RecoveryRateShare, 1.0);
  std::chrono::duration<double> span(limits::FleetSize *
                                     limits::KindsPerDaemon / rate);
  platform::BackoffOptions out;
  out.MaxDelay = std::max(Duration(limits::MinLongestPause),
                          std::chrono::duration_cast<Duration>(span));
  return out;
}

milliseconds maxCacheAge(milliseconds limit) {
  auto span = limit - limits::WatchSlack - limits::RecoveryReserve;
  return std::max(span, limits::MinWatchWait);
}

milliseconds maxWatchWait(milliseconds limit) {
  return std::min(maxCacheAge(limit), limits::WatchWait);
}

ObjectCache::ObjectCache(ObjectCacheOptions options, ObjectSource &source,
                         const Clock &clock)
    : Options(std::move(options)), Source(source), Time(clock),
      Pause(Options.Backoff, Options.Seed), ConfirmedAt(clock.now()) {}

void ObjectCache::start() { resync(); }

void ObjectCache::resync() {
  if (!RefreshCallbacks.empty()) {
    refresh();
    return;
  }
  dropPendingCalls();
  MustList = true;
  startResync();
}

void ObjectCache::dropPendingCalls() {
  ++Round;
  SharedPending = false;
  ListsPending = 0;
  NextAttempt.reset();
}

void ObjectCache::startResync() {
  SharedPending = true;
  bool begun =
      Source.watchShared(Options.Kind, Revision, limits::OutageWatchWait,
                         [this, round = Round](const ObjectChanges &changes) {
                           if (round == Round)
                             handleSharedChanges(changes);
                         });
  if (!begun) {
    SharedPending = false;
    listIfDue();
  } else if (SharedPending && !EverCurrent) {
    if (auto delay = Source.hedgeDelay())
      retryAfter(*delay);
  }
}

void ObjectCache::handleSharedChanges(const ObjectChanges &changes) {
  SharedPending = false;
  if (changes.Outcome != ReadOutcome::Done) {
    listIfDue();
    return;
  }
  // Answers of pending lists may be older.
  dropPendingCalls();
  MustList = false;
  if (!EverCurrent)
    DeletionsSince = changes.Revision;
  handleChanges(changes);
}

/// Fetches all objects from another daemon, or else from the store. Daemons
/// that start together lack the history of each other.
void ObjectCache::fetchAll() {
  dropPendingCalls();
  MustList = true;
  SharedPending = true;
  auto answered = [this, round = Round](const ObjectChanges &changes) {
    if (round != Round)
      return;
    SharedPending = false;
    if (changes.Outcome != ReadOutcome::Done || changes.Revision < Revision) {
      refresh();
      return;
    }
    Listing all{{}, changes.Revision, Time.now() - changes.Age};
    for (const auto &it : changes.Objects)
      all.All[it.Name] = it;
    handleList(std::move(all));
  };
  if (!Source.watchShared(Options.Kind, 0, limits::OutageWatchWait, answered))
    refresh();
}

void ObjectCache::listIfDue() {
  if (Source.isStoreCallDue(Options.Kind))
    startList();
  else
    handleUnavailable();
}

void ObjectCache::refresh(std::function<void()> done) {
  if (done)
    RefreshCallbacks.push_back(std::move(done));
  dropPendingCalls();
  MustList = true;
  startList();
}

void ObjectCache::startList() {
  ++ListsPending;
  // After an outage the list replaces a watch, which is not hedged either.
  if (!Current && !(EverCurrent && Options.ListAfterOutage))
    retryAfter(limits::HedgeDelay);
  listPage(std::make_shared<Listing>(), "");
}

void ObjectCache::retryAfter(Duration pause) {
  auto at = Time.now() + pause;
  NextAttempt = std::min(NextAttempt.value_or(at), at);
}

void ObjectCache::listPage(const ListingPtr &listing,
                           const std::string &after) {
  Source.list(Options.Kind, after, limits::ListTimeout,
              [this, listing, round = Round](ObjectPage page) {
                if (round == Round)
                  handlePage(listing, std::move(page));
              });
}

void ObjectCache::handlePage(const ListingPtr &listing, ObjectPage page) {
  if (page.Outcome != ReadOutcome::Done) {
    --ListsPending;
    handleUnavailable();
    return;
  }
  // Objects of earlier pages may have changed since, so the watch continues
  // from the first page's revision.
  if (listing->All.empty()) {
    listing->Revision = page.Revision;
    listing->ConfirmedAt = Time.now() - page.Age;
  }
  listing->Nameless += page.Nameless;
  std::string last;
  auto read = listing->All.size();
  for (auto &it : page.Objects) {
    last = it.Name;
    listing->All[last] = std::move(it);
  }
  bool isNew = listing->All.size() > read;
  if (page.More && isNew) {
    listPage(listing, last);
    return;
  }
  listing->IsCutOff = page.More;
  handleList(std::move(*listing));
}

/// Each list contains the same ones again.
void ObjectCache::reportNameless(std::size_t count) {
  if (count > 0 && count != Nameless)
    telemetry::log(Event::EntryUnreadable,
                   {field("kind", Options.Kind), field("objects", count),
                    field("why", "object without name or revision")});
  Nameless = count;
}

void ObjectCache::handleList(Listing listing) {
  dropPendingCalls();
  if (!EverCurrent)
    DeletionsSince = listing.Revision;
  Revision = listing.Revision;
  handleAvailable(listing.ConfirmedAt);
  MustList = false;
  reportNameless(listing.Nameless);
  auto before = std::exchange(Cached, std::move(listing.All));
  RetainedMissing.clear();
  for (const auto &[name, it] : before) {
    if (Cached.contains(name))
      continue;
    if (listing.IsCutOff) {
      Cached[name] = it;
      continue;
    }
    recordDeletion(name, Revision);
    if (GraceUntil) {
      Cached[name] = it;
      RetainedMissing.insert(name);
    }
  }
  publish(differences(before));
  endRefresh();
  startWatch();
}

bool ObjectCache::applySnapshot(const Objects &objects,
                                std::uint64_t revision) {
  if (Current || revision <= Revision)
    return false;
  for (const auto &[name, it] : Cached)
    if (!objects.contains(name))
      recordDeletion(name, revision);
  auto before = std::exchange(Cached, objects);
  RetainedMissing.clear();
  Revision = revision;
  publish(differences(before));
  return true;
}

void ObjectCache::endRefresh() {
  for (auto &it : std::exchange(RefreshCallbacks, {}))
    it();
}

void ObjectCache::startWatch() {
  Source.watch(Options.Kind, Revision,
               Current ? Options.WatchWait : limits::OutageWatchWait,
               [this, round = Round](const ObjectChanges &changes) {
                 if (round == Round)
                   handleChanges(changes);
               });
}

void ObjectCache::handleChanges(const ObjectChanges &changes) {
  if (changes.Outcome == ReadOutcome::Gone) {
    fetchAll();
    return;
  }
  if (changes.Outcome != ReadOutcome::Done) {
    handleUnavailable();
    return;
  }
  handleAvailable(Time.now() - changes.Age);
  Revision = std::max(Revision, changes.Revision);
  if (changes.Nameless > 0)
    reportNameless(changes.Nameless);
  for (const auto &it : changes.Objects) {
    if (it.Deleted) {
      recordDeletion(it.Name, Revision);
      remove(it.Name);
    } else {
      Cached[it.Name] = it;
      RetainedMissing.erase(it.Name);
    }
  }
  std::set<std::string> changed;
  for (const auto &it : changes.Objects)
    changed.insert(it.Name);
  if (!changed.empty())
    publish(changed);
  if (!changed.empty() && Options.ChangePause.count() > 0)
    retryAfter(Options.ChangePause);
  else
    startWatch();
}

void ObjectCache::recordDeletion(const std::string &name,
                                 std::uint64_t revision) {
  Deletions.emplace_back(name, revision);
  if (Deletions.size() <= limits::MaxDeletions)
    return;
  DeletionsSince = Deletions.front().second;
  Deletions.pop_front();
}

ObjectChanges ObjectCache::changesSince(std::uint64_t revision) const {
  ObjectChanges out;
  out.Outcome = ReadOutcome::Gone;
  // Who has nothing needs no deletions.
  bool wantsAll = revision == 0;
  if (!wantsAll && revision < DeletionsSince)
    return out;
  out.Outcome = ReadOutcome::Done;
  out.Revision = Revision;
  for (const auto &[name, deleted] : Deletions)
    if (!wantsAll && deleted > revision)
      out.Objects.push_back({name, "", deleted, true});
  // A recreated object comes after the deletion of its name.
  for (const auto &[name, it] : Cached)
    if (it.Revision > revision)
      out.Objects.push_back(it);
  return out;
}

void ObjectCache::remove(const std::string &name) {
  if (GraceUntil && Cached.contains(name))
    RetainedMissing.insert(name);
  else
    Cached.erase(name);
}

void ObjectCache::handleUnavailable() {
  if (Current || Pause.failures() == 0)
    telemetry::log(Event::StoreLost, {field("kind", Options.Kind)});
  Current = false;
  MustList = MustList || Options.ListAfterOutage;
  retryAfter(Pause.nextDelay());
  endRefresh();
}

/// Starts the grace period after an outage, in which the entries of live
/// targets expire: without it no target is known on return, and every request
/// is rejected. The writers return within a known time; an entry that is still
/// missing after it is deleted.
void ObjectCache::handleAvailable(TimePoint confirmedAt) {
  ConfirmedAt = std::max(ConfirmedAt, confirmedAt);
  auto failures = Pause.failures();
  Pause.reset();
  if (Current)
    return;
  Current = true;
  if (EverCurrent) {
    telemetry::log(Event::StoreRegained,
                   {field("kind", Options.Kind), field("failures", failures)});
    if (Options.KeepAfterOutage)
      GraceUntil = Time.now() + limits::RecoveryGrace;
    if (OnAvailable)
      OnAvailable();
  }
  EverCurrent = true;
}

void ObjectCache::reportAge(TimePoint now) {
  auto age = now - ConfirmedAt;
  bool old = Options.ReportAge.count() > 0 && age > Options.ReportAge;
  if (old == std::exchange(Unconfirmed, old))
    return;
  telemetry::log(
      old ? Event::CopyUnconfirmed : Event::CopyConfirmed,
      {field("kind", Options.Kind), field("revision", Revision),
       field("age_ms", std::chrono::duration_cast<milliseconds>(age).count()),
       field("call_pending", Current ? "yes" : "no")});
}

void ObjectCache::tick() {
  auto now = Time.now();
  reportAge(now);
  if (NextAttempt && now >= *NextAttempt) {
    NextAttempt.reset();
    if (!MustList)
      startWatch();
    else if (ListsPending > 0 && Source.isReceiving(Options.Kind))
      retryAfter(limits::HedgeDelay);
    else if (ListsPending == 0 && SharedPending)
      listIfDue();
    else if (ListsPending == 0)
      startResync();
    else if (ListsPending < limits::MaxParallelLists)
      startList();
  }
  if (!GraceUntil || now < *GraceUntil)
    return;
  GraceUntil.reset();
  std::set<std::string> changed;
  for (const auto &name : std::exchange(RetainedMissing, {}))
    if (Cached.erase(name) > 0)
      changed.insert(name);
  if (!changed.empty())
    publish(changed);
}

std::set<std::string> ObjectCache::differences(const Objects &before) const {
  std::set<std::string> out;
  for (const auto &[name, it] : before)
    if (!Cached.contains(name))
      out.insert(name);
  for (const auto &[name, it] : Cached) {
    auto known = before.find(name);
    if (known == before.end() || known->second != it)
      out.insert(name);
  }
  return out;
}

void ObjectCache::publish(const std::set<std::string> &changed) {
  if (OnChange)
    OnChange(Cached, changed);
}

} // namespace peridotfall::proxy
