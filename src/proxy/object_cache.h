/// \file
/// Cache of all store objects of one kind, kept up to date by listing and
/// watching. Decides when to call; an ObjectSource makes the calls.

#ifndef PERIDOTFALL_PROXY_OBJECT_CACHE_H
#define PERIDOTFALL_PROXY_OBJECT_CACHE_H

#include "http/message.h"
#include "peridotfall/clock.h"
#include "platform/backoff.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

using std::chrono::milliseconds;

namespace limits {

/// Longest wait of a watch for a change. A longer wait costs fewer calls, but
/// an answer lost in an outage is noticed only when the wait has ended.
inline constexpr milliseconds WatchWait{8'000};
/// Added to a watch's wait before the watch counts as unanswered.
inline constexpr milliseconds WatchSlack{500};
/// Part of the time limit of a change that is reserved for the calls that
/// follow an unanswered one.
inline constexpr milliseconds RecoveryReserve{1'000};
/// Shortest wait of a watch.
inline constexpr milliseconds MinWatchWait{500};
/// Pause before the next watch of a kind that has just changed. When all VMs
/// register within a second, each change ends the watch of each VM: without a
/// pause the calls grow with the square of the VMs. A longer pause delays the
/// detection of a target that leaves. The first change after an idle period is
/// seen at once, the changes that follow it in one call.
inline constexpr milliseconds TargetChangePause{200};
/// The same for the daemons' own objects; probes also detect who is alive.
inline constexpr milliseconds DaemonChangePause{1'000};
/// Wait of a watch while the store is unavailable: a watch sent during an
/// outage is never answered.
inline constexpr milliseconds OutageWatchWait{1'000};
/// Timeout of a list call. A slow store answers within a quarter of it.
inline constexpr milliseconds ListTimeout{1'500};
/// A list that is unanswered for this long is repeated in parallel, up to
/// MaxParallelLists. Otherwise a daemon that starts while the store is
/// unavailable would wait for the first call beyond the end of the outage, and
/// serve nobody meanwhile.
inline constexpr milliseconds HedgeDelay{400};
inline constexpr unsigned MaxParallelLists = 4;
/// Entries that expired during an outage are rewritten within two seconds of
/// its end; until then the last known entries are kept.
inline constexpr milliseconds RecoveryGrace{2'300};

/// Deletions kept for daemons that watch this daemon's cache: more than a fleet
/// of 1,700 daemons loses between two answers. A daemon that lacks older ones
/// lists again.
inline constexpr std::size_t MaxDeletions = 2'048;
/// Daemons that the backoff is sized for, and kinds that each of them reads.
inline constexpr double FleetSize = 80;
inline constexpr double KindsPerDaemon = 3;
inline constexpr double RecoveryRateShare = 0.25;
/// Lower bound of the longest backoff pause, so that a single daemon does not
/// call ten times a second.
inline constexpr milliseconds MinLongestPause{600};

} // namespace limits

struct StoredObject {
  std::string Name;
  std::string Spec; ///< JSON text.
  std::uint64_t Revision = 0;
  bool Deleted = false;

  auto operator<=>(const StoredObject &) const = default;
};

enum class ReadOutcome : std::uint8_t {
  Done,
  Gone,        ///< The history since that revision is gone; list again.
  Unavailable, ///< No answer, or the call was rejected.
};

struct ObjectPage {
  ReadOutcome Outcome = ReadOutcome::Unavailable;
  std::vector<StoredObject> Objects;
  bool More = false;
  std::uint64_t Revision = 0;
  Duration Age{};            ///< Since the store's answer.
  http::Transfer Received{}; ///< Also set for a call that timed out.
  /// Objects left out, as their names or revisions cannot be read.
  std::size_t Nameless = 0;
};
/// A watch's answer has the same fields.
using ObjectChanges = ObjectPage;
using OnPage = std::function<void(ObjectPage)>;
using OnChanges = std::function<void(ObjectChanges)>;

class ObjectSource {
public:
  virtual ~ObjectSource() = default;
  /// \param after name of the last object of the previous page.
  /// \param limit timeout of the answer.
  virtual void list(const std::string &kind, const std::string &after,
                    std::chrono::milliseconds limit, OnPage done) = 0;
  virtual void watch(const std::string &kind, std::uint64_t revision,
                     std::chrono::milliseconds wait, OnChanges done) = 0;
  /// Watches at another daemon. Revision 0 requests all objects.
  /// \return false, and calls nothing, if no other daemon can be called.
  virtual bool watchShared(const std::string &, std::uint64_t,
                           std::chrono::milliseconds, const OnChanges &) {
    return false;
  }
  /// \return whether a call to the store may succeed and is worth its cost. If
  /// not, the caller waits as after an unanswered call.
  virtual bool isStoreCallDue(const std::string &) const { return true; }
  /// \return how long a daemon that starts waits for another one's objects
  /// before it lists the store beside; empty if it waits for that call's end.
  virtual std::optional<milliseconds> hedgeDelay() const {
    return limits::HedgeDelay;
  }
  /// \return whether an answer for the kind is being received.
  virtual bool isReceiving(const std::string &) const { return false; }
};

/// Backoff after an outage of the store, when all daemons call it at once:
/// their lists would use up its rate, and some would wait for seconds. The
/// longest pause spreads the lists so that a quarter of the rate serves all.
/// \param readsPerSecond rate that the store answers.
platform::BackoffOptions recoveryBackoff(double readsPerSecond);

using Objects = std::map<std::string, StoredObject>;

/// \param limit time within which a change must take effect.
/// \return the greatest age of cached objects at which a call that would
/// confirm them may still be pending, so that a missing answer is noticed in
/// time for another call.
milliseconds maxCacheAge(milliseconds limit);
/// \param limit time within which a change must take effect.
/// \return the longest wait of a watch for such changes.
milliseconds maxWatchWait(milliseconds limit);

struct ObjectCacheOptions {
  std::string Kind;
  platform::BackoffOptions Backoff;
  std::uint64_t Seed = 1; ///< Of the backoff.
  /// Keeps objects that disappear around an outage of the store until their
  /// writers have had time to write them again.
  bool KeepAfterOutage = false;
  /// Lists the objects after an outage, because a watch would return each
  /// version written since. For kinds with few, large, often changed objects.
  bool ListAfterOutage = false;
  milliseconds WatchWait = limits::WatchWait;
  milliseconds ChangePause{0}; ///< Before the watch that follows a change.
  /// Age of the last confirmation by the store beyond which the cache is
  /// reported in the log. Zero disables the report.
  milliseconds ReportAge{0};
};

/// Not thread-safe.
class ObjectCache {
public:
  ObjectCache(ObjectCacheOptions options, ObjectSource &source,
              const Clock &clock);

  /// Called when the store answers again after an outage.
  std::function<void()> OnAvailable;
  /// Called whenever the cached objects have changed, with the names of those
  /// that came, changed or went. There may be thousands of which one changed.
  std::function<void(const Objects &, const std::set<std::string> &changed)>
      OnChange;

  void start();
  void tick();
  /// Brings the cache up to date after an outage: by a watch if another daemon
  /// answers it, else by a list.
  void resync();
  /// Starts a new list of the store at once.
  /// \param done called once the cache is updated or the list has failed.
  void refresh(std::function<void()> done = nullptr);
  /// \return whether the last call of the store succeeded.
  bool isCurrent() const { return Current; }
  /// \return whether the cache was ever filled from the store.
  bool hasStarted() const { return EverCurrent; }
  /// \return when the store last confirmed the cached objects, to this daemon
  /// or to the one that watches for it; the start time if it never did.
  TimePoint confirmedAt() const { return ConfirmedAt; }
  const std::string &kind() const { return Options.Kind; }
  const Objects &objects() const { return Cached; }
  /// \return the store's revision of the cached objects.
  std::uint64_t revision() const { return Revision; }
  /// \return the changes after \p revision; ReadOutcome::Gone if they are no
  /// longer kept.
  ObjectChanges changesSince(std::uint64_t revision) const;
  /// Replaces the cached objects by another daemon's snapshot while the store
  /// is unavailable.
  /// \return whether the snapshot was newer and has been applied.
  bool applySnapshot(const Objects &objects, std::uint64_t revision);

private:
  /// Result of one paged list.
  struct Listing {
    Objects All;
    std::uint64_t Revision = 0; ///< Of the first page.
    TimePoint ConfirmedAt{};    ///< Of the first page.
    std::size_t Nameless = 0;
    bool IsCutOff = false; ///< No name was read to continue from.
  };
  using ListingPtr = std::shared_ptr<Listing>;

  void startList();
  /// Ignores the answers of all pending calls, and retries none of them.
  void dropPendingCalls();
  void startResync();
  void handleSharedChanges(const ObjectChanges &changes);
  void fetchAll();
  void listIfDue();
  void listPage(const ListingPtr &listing, const std::string &after);
  void handlePage(const ListingPtr &listing, ObjectPage page);
  void handleList(Listing listing);
  void reportNameless(std::size_t count);
  void retryAfter(Duration pause);
  void startWatch();
  void handleChanges(const ObjectChanges &changes);
  void handleUnavailable();
  void handleAvailable(TimePoint confirmedAt);
  void reportAge(TimePoint now);
  void remove(const std::string &name);
  void recordDeletion(const std::string &name, std::uint64_t revision);
  /// \return the names of the objects that differ from the cached ones.
  std::set<std::string> differences(const Objects &before) const;
  void publish(const std::set<std::string> &changed);
  void endRefresh();

  ObjectCacheOptions Options;
  ObjectSource &Source;
  const Clock &Time;
  platform::Backoff Pause;
  Objects Cached;
  unsigned ListsPending = 0;
  bool SharedPending = false; ///< A resync waits for another daemon.
  std::uint64_t Revision = 0;
  std::uint64_t Round = 0; ///< Answers of earlier rounds are ignored.
  std::optional<TimePoint> NextAttempt;
  TimePoint ConfirmedAt;
  bool Unconfirmed = false; ///< For longer than Options.ReportAge.
  bool Current = false;
  bool EverCurrent = false;
  bool MustList = true;
  std::vector<std::function<void()>> RefreshCallbacks;
  std::optional<TimePoint> GraceUntil;
  std::set<std::string> RetainedMissing; ///< Kept until GraceUntil.
  std::size_t Nameless = 0; ///< Objects of the last list or change.
  /// Names and revisions of deleted objects, complete since DeletionsSince.
  std::deque<std::pair<std::string, std::uint64_t>> Deletions;
  std::uint64_t DeletionsSince = 0;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_OBJECT_CACHE_H
