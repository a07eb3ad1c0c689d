/// \file
/// Watches of the store that a few daemons of a failure domain make for all of
/// them, so that calls grow with what changes and not with the daemons.

#ifndef PERIDOTFALL_PROXY_SHARED_WATCH_H
#define PERIDOTFALL_PROXY_SHARED_WATCH_H

#include "messages/copy.h"
#include "peridotfall/membership.h"
#include "proxy/mirror.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Daemons of a failure domain that watch the store. Harm of one: its loss
/// sends all others to the store at once.
inline constexpr std::size_t WatchersOfDomain = 2;
/// Daemons of a domain from which on sharing saves calls.
inline constexpr std::size_t LeastSharing = 5;
/// Longest wait at another daemon for a change.
inline constexpr milliseconds SharedWait{2'000};
/// Beyond it, until the other daemon counts as silent.
inline constexpr milliseconds SharedSlack{200};
/// With less left until the copy may be too old, the store is asked.
inline constexpr milliseconds LeastSharedWait{200};
/// How long a daemon that gave no answer is not asked.
inline constexpr milliseconds WatcherPause{2'000};
/// Share of a copy's greatest age after which a daemon that watches for others
/// has its outages noticed at the latest.
inline constexpr int FreshParts = 2;
/// Bytes of an answer from which on it is logged.
inline constexpr std::size_t LargeAnswer = 16 << 10;

} // namespace limits

/// Who watches the store for the daemons of a failure domain.
struct WatchPlan {
  std::vector<Member> Ask; ///< In this order; empty: this daemon watches.
  bool ForOthers = false;  ///< Whether others ask this daemon.

  auto operator<=>(const WatchPlan &) const = default;
};

/// \param live daemons, with \p self unless it leaves.
WatchPlan planWatches(const VmName &self, const DomainName &domain,
                      const std::vector<Member> &live);

struct WatchReply {
  std::optional<messages::WatchAnswer> Answer; ///< None came in time.
  http::Transfer Received{};
};
using OnWatchAnswer = std::function<void(const WatchReply &)>;

/// Asks other daemons.
class WatcherPort {
public:
  virtual ~WatcherPort() = default;
  /// \param limit until the answer begins.
  virtual void watch(const std::string &address,
                     const messages::WatchRequest &request, milliseconds limit,
                     OnWatchAnswer done) = 0;
};

/// A call that has ended, for its line in the log.
struct CallLine {
  std::string Kind;
  const char *Call = ""; ///< "list", "watch" or "copy".
  std::string Asked;     ///< A daemon, or the store.
  http::Transfer Received;
  Duration Waited{};
};

/// Logs an answer that is large enough to fill a link.
void logLarge(const CallLine &line);

/// Lists go to the store. A watch goes to a daemon that watches for others, as
/// long as the copy is then no older than \p freshFor; otherwise to the store.
/// Not synchronised; outlives what it was asked for.
class SharedWatch final : public ObjectSource {
public:
  /// \param sentinel the kind by which an outage of the store is noticed.
  /// \param freshFor greatest age of a copy, while the store answers.
  SharedWatch(ObjectSource &store, WatcherPort &others, std::string sentinel,
              milliseconds freshFor, const Clock &clock);

  /// Called after each call, with the bytes of its answer.
  std::function<void(const std::string &kind, std::size_t bytes)> OnReceived;
  /// Called after each call of the store, with whether it answered.
  std::function<void(const std::string &kind, bool answered)> OnStoreCall;

  void takeMembers(const VmName &self, const DomainName &domain,
                   const std::vector<Member> &live);
  void list(const std::string &kind, const std::string &after,
            milliseconds limit, OnPage done) override;
  void watch(const std::string &kind, std::uint64_t revision, milliseconds wait,
             OnChanges done) override;
  bool isReceiving(const std::string &kind) const override {
    return Store.isReceiving(kind);
  }

private:
  const Member *nextWatcher(TimePoint now) const;
  milliseconds storeWait(const std::string &kind, milliseconds wait);
  void watchStore(const std::string &kind, std::uint64_t revision,
                  milliseconds wait, OnChanges done);
  void noteStore(const std::string &kind, const char *call, TimePoint began,
                 const ObjectPage &page);
  void noteUnanswered(const CallLine &line);

  ObjectSource &Store;
  WatcherPort &Others;
  std::string Sentinel;
  milliseconds FreshFor;
  const Clock &Time;
  WatchPlan Plan;
  std::map<VmName, TimePoint> PausedUntil;
  std::map<std::string, TimePoint> FreshAt; ///< Of each kind's copy.
};

/// Answers the watches of other daemons from this one's copies.
/// Not synchronised.
class WatchHost {
public:
  using Answer = std::function<void(messages::WatchAnswer)>;

  explicit WatchHost(const Clock &clock) : Time(clock) {}

  /// \param mirror outlives this. \param sentinel whether an outage of the
  /// store is noticed by it, for all kinds.
  void add(const Mirror &mirror, bool sentinel = false);
  void begin(const messages::WatchRequest &request, Answer answer);
  /// Answers what has changed, what has waited long enough, and all that can
  /// no longer be told from the store.
  void tick();

private:
  struct Held {
    const Mirror *Of = nullptr;
    std::uint64_t NewerThan = 0;
    TimePoint Until;
    Answer Done;
  };
  bool isCurrent(const Mirror &mirror) const;
  bool isDue(const Held &it, TimePoint now) const;
  void answer(const Held &it, TimePoint now) const;

  const Clock &Time;
  std::map<std::string, const Mirror *> Mirrors;
  const Mirror *Sentinel = nullptr;
  std::vector<Held> Waiting;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SHARED_WATCH_H
