/// \file
/// Watches of the store that a few daemons of a failure domain share with the
/// others, so that calls grow with the changes and not with the daemons.

#ifndef PERIDOTFALL_PROXY_SHARED_WATCH_H
#define PERIDOTFALL_PROXY_SHARED_WATCH_H

#include "messages/snapshot.h"
#include "peridotfall/membership.h"
#include "proxy/object_cache.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Daemons of a failure domain that watch the store. With only one, its loss
/// would send all others to the store at once.
inline constexpr std::size_t WatchersPerDomain = 2;
/// Daemons of a failure domain from which on sharing saves calls.
inline constexpr std::size_t MinSharingDaemons = 5;
/// Longest wait of a watch at another daemon.
inline constexpr milliseconds SharedWait{2'000};
/// Added to that wait before the other daemon counts as unresponsive.
inline constexpr milliseconds SharedSlack{200};
/// With less time left until the cached objects may be too old, the store is
/// called instead.
inline constexpr milliseconds MinSharedWait{200};
/// Time for which a daemon that did not answer is not called again.
inline constexpr milliseconds WatcherPause{2'000};
/// The same for one that reported an outage of the store.
inline constexpr milliseconds OutageReportPause{300};
/// Time for which such a report counts.
inline constexpr milliseconds OutageReportAge{2'000};
/// Time for which a daemon that cannot reach the store holds a watch, so that
/// the caller learns at once when it can.
inline constexpr milliseconds OutageHold{500};
/// During an outage a daemon that others watch for calls the store once in this
/// interval times the number of daemons in its failure domain, so that the rate
/// of a domain does not grow with its size.
inline constexpr milliseconds OutageCallInterval{50};
/// Daemons of a failure domain that list the store at once because the daemons
/// which watch for them have no objects to pass on, and the time until the next
/// ones do. In a domain of 160 daemons that starts, the lists of all would fill
/// a link between regions for as long as it takes to repeat those that time
/// out, those of the watchers among them.
inline constexpr std::size_t DirectListsAtOnce = 6;
inline constexpr milliseconds DirectListInterval = 2 * ListTimeout;
/// A daemon that watches for others notices an outage at the latest after the
/// greatest age of cached objects divided by this.
inline constexpr int MaxAgeDivisor = 2;
/// Time in which all daemons of a fleet that starts have registered.
inline constexpr milliseconds FleetStartDelay{1'000};
/// Answers of at least this many bytes are logged.
inline constexpr std::size_t LargeAnswerSize = 16 << 10;

} // namespace limits

/// The daemons that watch the store for a failure domain.
struct WatchPlan {
  std::vector<Member> Watchers;  ///< In call order; empty: watch the store.
  bool WatchesForOthers = false; ///< Whether others call this daemon.
  std::size_t DomainDaemons = 0; ///< Daemons of the failure domain.
  bool IsFirst = false;          ///< Among those that others call.

  auto operator<=>(const WatchPlan &) const = default;
};

/// \param live daemons, including \p self unless it leaves.
WatchPlan planWatches(const VmName &self, const DomainName &domain,
                      const std::vector<Member> &live);

/// Whether a daemon that starts lists the daemons now. Hundreds of daemons that
/// start together would otherwise each list and watch them again and again
/// while they register.
/// \param fleetStarts whether all daemons start for the first time.
bool isDaemonListDue(bool fleetStarts, Duration sinceStart);
/// Whether a daemon that starts reads the kinds that another daemon could pass
/// on, which it knows once it has listed the daemons.
bool isSharedStartDue(bool daemonsListed, Duration sinceListDue);

struct WatchReply {
  std::optional<messages::WatchAnswer> Answer; ///< Empty if none came in time.
  http::Transfer Received{};
};
using OnWatchAnswer = std::function<void(const WatchReply &)>;

/// Watches at other daemons.
class WatcherPort {
public:
  virtual ~WatcherPort() = default;
  /// \param limit time until the answer begins.
  virtual void watch(const std::string &address,
                     const messages::WatchRequest &request, milliseconds limit,
                     OnWatchAnswer done) = 0;
};

/// A finished call, for the log.
struct CallRecord {
  std::string Kind;
  const char *Call = ""; ///< "list", "watch" or "copy".
  std::string Callee;    ///< A daemon, or "store".
  http::Transfer Received;
  Duration Waited{};
  const char *Why = "silent"; ///< Or what the callee answered instead.
};

/// Logs an answer that is large enough to saturate a link.
void logLargeAnswer(const CallRecord &line);

/// Lists call the store. A watch calls a daemon that watches for others as long
/// as the cached objects will then be no older than \p maxAge; otherwise the
/// store. While such daemons report that the store is unavailable, it is called
/// rarely, and only for objects that are too old, those of the sentinel kind
/// first: if hundreds of daemons all retried, their calls would delay the end
/// of an overload of the store. Not thread-safe; must outlive its pending
/// calls.
class SharedWatch final : public ObjectSource {
public:
  /// \param sentinel kind whose watch detects an outage of the store.
  /// \param maxAge greatest age of cached objects while the store answers.
  SharedWatch(ObjectSource &store, WatcherPort &watcherCalls,
              std::string sentinel, milliseconds maxAge, const Clock &clock);

  /// Called after each call, with the size of its answer.
  std::function<void(const std::string &kind, std::size_t bytes)> OnReceived;
  /// Called after each call of the store.
  std::function<void(const std::string &kind, bool answered)> OnStoreCall;

  void updateMembers(const VmName &self, const DomainName &domain,
                     const std::vector<Member> &live);
  /// \param watcher called in place of those that watch by the members, as
  /// long as these are not listed; empty: they are, or the store is to be
  /// listed.
  void setFirstWatcher(std::optional<Member> watcher);
  /// \return whether the first watcher did not answer, or has had nothing to
  /// pass on for longer than a list takes.
  bool isFirstWatcherLost() const { return IsFirstWatcherLost; }
  const WatchPlan &plan() const { return Plan; }
  void list(const std::string &kind, const std::string &after,
            milliseconds limit, OnPage done) override;
  void watch(const std::string &kind, std::uint64_t revision, milliseconds wait,
             OnChanges done) override;
  bool watchShared(const std::string &kind, std::uint64_t revision,
                   milliseconds wait, const OnChanges &done) override;
  bool isStoreCallDue(const std::string &kind) const override;
  std::optional<milliseconds> hedgeDelay() const override;
  bool isReceiving(const std::string &kind) const override {
    return Store.isReceiving(kind);
  }

private:
  struct WatcherState {
    TimePoint PausedUntil{};
    /// When it last answered that the store is unavailable.
    std::optional<TimePoint> ReportedOutageAt;
  };

  void updatePlan();
  /// \return the time from the first turn to list the store directly until
  /// this daemon's turn.
  milliseconds directListDelay() const;
  bool isMyTurn(TimePoint now) const;
  /// \return the interval between two of its calls of the store in an outage.
  milliseconds outageInterval(const std::string &kind) const;
  bool reportsOutage(const VmName &watcher, TimePoint now) const;
  const Member *nextWatcher(TimePoint now) const;
  milliseconds timeUntilTooOld(const std::string &kind) const;
  bool isTooOld(const std::string &kind) const;
  milliseconds sharedWait(const std::string &kind, milliseconds wait) const;
  /// \param answer empty if none came in time.
  void recordFailure(const VmName &watcher,
                     const std::optional<messages::WatchAnswer> &answer);
  void watchStoreIfDue(const std::string &kind, std::uint64_t revision,
                       milliseconds wait, const OnChanges &done);
  milliseconds storeWait(const std::string &kind, milliseconds wait);
  void watchStore(const std::string &kind, std::uint64_t revision,
                  milliseconds wait, OnChanges done);
  void recordStoreCall(const std::string &kind, const char *call,
                       TimePoint began, const ObjectPage &page);
  void logUnanswered(const CallRecord &line);

  ObjectSource &Store;
  WatcherPort &WatcherCalls;
  std::string Sentinel;
  milliseconds MaxAge;
  const Clock &Time;
  VmName Self;
  /// Since when the daemons that watch for this one report an outage.
  std::optional<TimePoint> OutageSince;
  bool AreWatchersStarting = false; ///< And have not lost the store.
  WatchPlan PlanByMembers;
  WatchPlan Plan; ///< The same, or the first watcher.
  std::optional<Member> FirstWatcher;
  std::optional<TimePoint> FirstWatcherFailsSince;
  bool IsFirstWatcherLost = false;
  std::map<VmName, WatcherState> Watchers;
  /// When the store may be called again during an outage, by kind.
  std::map<std::string, TimePoint> NextStoreCall;
  std::map<std::string, TimePoint> ConfirmedAt; ///< By kind.
};

/// Answers the watches of other daemons from this daemon's caches. Not
/// thread-safe.
class WatchHost {
public:
  using Answer = std::function<void(messages::WatchAnswer)>;

  explicit WatchHost(const Clock &clock) : Time(clock) {}

  /// \param cache must outlive this.
  /// \param sentinel whether this cache detects an outage of the store for all
  /// kinds.
  void add(const ObjectCache &cache, bool sentinel = false);
  void begin(const messages::WatchRequest &request, Answer answer);
  /// Answers the watches that have changes or have waited long enough; while
  /// the store is unavailable, sooner.
  void tick();

private:
  struct PendingWatch {
    const ObjectCache *Of = nullptr;
    std::uint64_t NewerThan = 0;
    TimePoint OutageUntil; ///< Until when it is held during an outage.
    TimePoint Until;
    Answer Done;
  };
  const ObjectCache &confirming(const ObjectCache &cache) const;
  bool isCurrent(const ObjectCache &cache) const;
  bool isDue(const PendingWatch &it, TimePoint now) const;
  void answer(const PendingWatch &it, TimePoint now) const;

  const Clock &Time;
  std::map<std::string, const ObjectCache *> Caches;
  const ObjectCache *Sentinel = nullptr;
  std::vector<PendingWatch> Waiting;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SHARED_WATCH_H
