#include "proxy/mirror.h"

#include "telemetry/events.h"

#include <algorithm>
#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

platform::BackoffOptions returnBackoff(double readsPerSecond) {
  double rate = std::max(readsPerSecond * limits::ReturnShare, 1.0);
  std::chrono::duration<double> span(limits::FleetSize * limits::KindsRead /
                                     rate);
  platform::BackoffOptions out;
  out.Longest = std::max(Duration(limits::LeastLongestPause),
                         std::chrono::duration_cast<Duration>(span));
  return out;
}

milliseconds freshFor(milliseconds limit) {
  auto span = limit - limits::WatchSlack - limits::RecoveryReserve;
  return std::max(span, limits::LeastWatchWait);
}

milliseconds watchWait(milliseconds limit) {
  return std::min(freshFor(limit), limits::WatchWait);
}

Mirror::Mirror(MirrorOptions options, ObjectSource &source, const Clock &clock)
    : Set(std::move(options)), Source(source), Time(clock),
      Pause(Set.Backoff, Set.Seed), ConfirmedAt(clock.now()) {}

void Mirror::start() { refresh(); }

void Mirror::refresh(std::function<void()> done) {
  if (done)
    Refreshed.push_back(std::move(done));
  ++Round;
  MustList = true;
  Tries = 0;
  NextTry.reset();
  startTry();
}

void Mirror::startTry() {
  ++Tries;
  // On a return the list stands in for a watch, which is not hedged either.
  if (!Current && !(EverCurrent && Set.ListOnReturn))
    tryAgainAfter(limits::HedgeAfter);
  listPage(std::make_shared<Listing>(), "");
}

void Mirror::tryAgainAfter(Duration pause) {
  auto at = Time.now() + pause;
  NextTry = std::min(NextTry.value_or(at), at);
}

void Mirror::listPage(const ListingPtr &listing, const std::string &after) {
  Source.list(Set.Kind, after, limits::ListLimit,
              [this, listing, round = Round](ObjectPage page) {
                if (round == Round)
                  takePage(listing, std::move(page));
              });
}

void Mirror::takePage(const ListingPtr &listing, ObjectPage page) {
  if (page.Outcome != ReadOutcome::Done) {
    --Tries;
    lost();
    return;
  }
  // Objects of earlier pages may have changed since: the watch goes on from
  // the first page.
  if (listing->All.empty()) {
    listing->Revision = page.Revision;
    listing->ConfirmedAt = Time.now() - page.Age;
  }
  std::string last;
  for (auto &it : page.Objects) {
    last = it.Name;
    listing->All[last] = std::move(it);
  }
  if (page.More && !last.empty())
    listPage(listing, last);
  else
    takeList(std::move(*listing));
}

void Mirror::takeList(Listing listing) {
  // Other lists that are under way are passed over.
  ++Round;
  Tries = 0;
  NextTry.reset();
  if (!EverCurrent)
    DeletionsSince = listing.Revision;
  Revision = listing.Revision;
  regained(listing.ConfirmedAt);
  MustList = false;
  auto before = std::exchange(Copy, std::move(listing.All));
  Vanished.clear();
  for (auto &[name, it] : before) {
    if (Copy.contains(name))
      continue;
    noteDeletion(name, Revision);
    if (GraceUntil) {
      Copy[name] = std::move(it);
      Vanished.insert(name);
    }
  }
  publish();
  endRefresh();
  watchOn();
}

bool Mirror::takeCopy(const Objects &objects, std::uint64_t revision) {
  if (Current || revision <= Revision)
    return false;
  for (const auto &[name, it] : Copy)
    if (!objects.contains(name))
      noteDeletion(name, revision);
  Copy = objects;
  Vanished.clear();
  Revision = revision;
  publish();
  return true;
}

void Mirror::endRefresh() {
  for (auto &it : std::exchange(Refreshed, {}))
    it();
}

void Mirror::watchOn() {
  Source.watch(Set.Kind, Revision,
               Current ? Set.WatchWait : limits::LostWatchWait,
               [this, round = Round](const ObjectChanges &changes) {
                 if (round == Round)
                   takeChanges(changes);
               });
}

void Mirror::takeChanges(const ObjectChanges &changes) {
  if (changes.Outcome == ReadOutcome::Gone) {
    refresh();
    return;
  }
  if (changes.Outcome != ReadOutcome::Done) {
    lost();
    return;
  }
  regained(Time.now() - changes.Age);
  Revision = std::max(Revision, changes.Revision);
  for (const auto &it : changes.Objects) {
    if (it.Deleted) {
      noteDeletion(it.Name, Revision);
      remove(it.Name);
    } else {
      Copy[it.Name] = it;
      Vanished.erase(it.Name);
    }
  }
  bool changed = !changes.Objects.empty();
  if (changed)
    publish();
  if (changed && Set.ChangePause.count() > 0)
    tryAgainAfter(Set.ChangePause);
  else
    watchOn();
}

void Mirror::noteDeletion(const std::string &name, std::uint64_t revision) {
  Deletions.emplace_back(name, revision);
  if (Deletions.size() <= limits::MostDeletions)
    return;
  DeletionsSince = Deletions.front().second;
  Deletions.pop_front();
}

ObjectChanges Mirror::changesSince(std::uint64_t revision) const {
  ObjectChanges out;
  out.Outcome = ReadOutcome::Gone;
  if (revision < DeletionsSince)
    return out;
  out.Outcome = ReadOutcome::Done;
  out.Revision = Revision;
  for (const auto &[name, deleted] : Deletions)
    if (deleted > revision)
      out.Objects.push_back({name, "", deleted, true});
  // What was made again under its name follows its deletion.
  for (const auto &[name, it] : Copy)
    if (it.Revision > revision)
      out.Objects.push_back(it);
  return out;
}

void Mirror::remove(const std::string &name) {
  if (GraceUntil && Copy.contains(name))
    Vanished.insert(name);
  else
    Copy.erase(name);
}

void Mirror::lost() {
  if (Current || Pause.failures() == 0)
    telemetry::log(Event::StoreLost, {field("kind", Set.Kind)});
  Current = false;
  MustList = MustList || Set.ListOnReturn;
  tryAgainAfter(Pause.failed());
  endRefresh();
}

/// Load: an outage of the store in which the entries of live targets lapse.
/// Harm: on its return no target is known, and everything is refused. The
/// writers come back within a known time; an entry missing after it is gone.
void Mirror::regained(TimePoint confirmedAt) {
  ConfirmedAt = std::max(ConfirmedAt, confirmedAt);
  auto failures = Pause.failures();
  Pause.succeeded();
  if (Current)
    return;
  Current = true;
  if (EverCurrent) {
    telemetry::log(Event::StoreRegained,
                   {field("kind", Set.Kind), field("failures", failures)});
    if (Set.KeepWhileAway)
      GraceUntil = Time.now() + limits::ReturnGrace;
    if (OnRegained)
      OnRegained();
  }
  EverCurrent = true;
}

void Mirror::reportAge(TimePoint now) {
  auto age = now - ConfirmedAt;
  bool old = Set.ReportAge.count() > 0 && age > Set.ReportAge;
  if (old == std::exchange(Unconfirmed, old))
    return;
  telemetry::log(
      old ? Event::CopyUnconfirmed : Event::CopyConfirmed,
      {field("kind", Set.Kind), field("revision", Revision),
       field("age_ms", std::chrono::duration_cast<milliseconds>(age).count()),
       field("call_pending", Current ? "yes" : "no")});
}

void Mirror::tick() {
  auto now = Time.now();
  reportAge(now);
  if (NextTry && now >= *NextTry) {
    NextTry.reset();
    if (!MustList)
      watchOn();
    else if (Tries > 0 && Source.isReceiving(Set.Kind))
      tryAgainAfter(limits::HedgeAfter);
    else if (Tries < limits::MostLists)
      startTry();
  }
  if (!GraceUntil || now < *GraceUntil)
    return;
  GraceUntil.reset();
  bool changed = false;
  for (const auto &name : std::exchange(Vanished, {}))
    changed = Copy.erase(name) > 0 || changed;
  if (changed)
    publish();
}

void Mirror::publish() {
  if (OnChange)
    OnChange(Copy);
}

} // namespace peridotfall::proxy
