#include "proxy/mirror.h"

#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

Mirror::Mirror(std::string kind, ObjectSource &source, const Clock &clock,
               platform::BackoffOptions backoff, std::uint64_t seed,
               bool keepWhileAway)
    : Kind(std::move(kind)), Source(source), Time(clock), Pause(backoff, seed),
      KeepWhileAway(keepWhileAway) {}

void Mirror::start() { refresh(); }

void Mirror::refresh(std::function<void()> done) {
  if (done)
    Refreshed.push_back(std::move(done));
  ++Round;
  MustList = true;
  NextTry.reset();
  Listing.clear();
  listPage("");
}

void Mirror::listPage(const std::string &after) {
  Source.list(Kind, after, [this, round = Round](ObjectPage page) {
    if (round == Round)
      takePage(std::move(page));
  });
}

void Mirror::takePage(ObjectPage page) {
  if (page.Outcome != ReadOutcome::Done) {
    lost();
    return;
  }
  // Objects of earlier pages may have changed since: the watch goes on from
  // the first page.
  if (Listing.empty())
    ListRevision = page.Revision;
  std::string last;
  for (auto &it : page.Objects) {
    last = it.Name;
    Listing[last] = std::move(it);
  }
  if (page.More && !last.empty()) {
    listPage(last);
    return;
  }
  Revision = ListRevision;
  regained();
  MustList = false;
  auto before = std::exchange(Copy, std::move(Listing));
  Listing.clear();
  for (auto &[name, it] : before)
    if (!Copy.contains(name) && GraceUntil) {
      Copy[name] = std::move(it);
      Vanished[name] = true;
    }
  std::erase_if(Vanished, [&](const auto &it) {
    return Copy.contains(it.first) && !before.contains(it.first);
  });
  publish();
  endRefresh();
  watchOn();
}

void Mirror::endRefresh() {
  for (auto &it : std::exchange(Refreshed, {}))
    it();
}

void Mirror::watchOn() {
  Source.watch(Kind, Revision, limits::WatchWait,
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
  regained();
  for (const auto &it : changes.Objects) {
    if (it.Deleted)
      remove(it.Name);
    else {
      Copy[it.Name] = it;
      Vanished.erase(it.Name);
    }
  }
  Revision = std::max(Revision, changes.Revision);
  if (!changes.Objects.empty())
    publish();
  watchOn();
}

void Mirror::remove(const std::string &name) {
  if (GraceUntil && Copy.contains(name))
    Vanished[name] = true;
  else
    Copy.erase(name);
}

void Mirror::lost() {
  if (Current || Pause.failures() == 0)
    telemetry::log(Event::StoreLost, {field("kind", Kind)});
  Current = false;
  NextTry = Time.now() + Pause.failed();
  endRefresh();
}

/// Load: an outage of the store in which the entries of live targets lapse.
/// Harm: on its return no target is known, and everything is refused. The
/// writers come back within a known time; an entry missing after it is gone.
void Mirror::regained() {
  auto failures = Pause.failures();
  Pause.succeeded();
  if (Current)
    return;
  Current = true;
  if (EverCurrent) {
    telemetry::log(Event::StoreRegained,
                   {field("kind", Kind), field("failures", failures)});
    if (KeepWhileAway)
      GraceUntil = Time.now() + limits::ReturnGrace;
  }
  EverCurrent = true;
}

void Mirror::tick() {
  auto now = Time.now();
  if (NextTry && now >= *NextTry) {
    NextTry.reset();
    if (MustList)
      refresh();
    else
      watchOn();
  }
  if (!GraceUntil || now < *GraceUntil)
    return;
  GraceUntil.reset();
  bool changed = false;
  for (const auto &[name, vanished] : std::exchange(Vanished, {}))
    changed = Copy.erase(name) > 0 || changed;
  if (changed)
    publish();
}

void Mirror::publish() {
  if (OnChange)
    OnChange(Copy);
}

} // namespace peridotfall::proxy
