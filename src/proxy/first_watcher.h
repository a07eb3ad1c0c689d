/// \file
/// How a daemon that starts finds one that already watches the store for its
/// failure domain. Load: a fleet whose daemons all start. Listing the daemons
/// takes an answer in proportion to their number, so that the answers of all
/// grow with its square and fill a link between regions. A record for each
/// failure domain names a daemon that passes the list on. If that one is lost,
/// the first to replace the record takes its place. Decides only; the caller
/// reads and writes the record.

#ifndef PERIDOTFALL_PROXY_FIRST_WATCHER_H
#define PERIDOTFALL_PROXY_FIRST_WATCHER_H

#include "peridotfall/clock.h"
#include "peridotfall/membership.h"
#include "proxy/failover_controller.h"
#include "proxy/object_cache.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// When all daemons start for the first time, those with wide links look for
/// the record first, since the one that finds none writes it and sends the list
/// to the others: this many milliseconds after the start divided by the Mbit/s.
/// The time is FleetStartDelay at most, when all daemons have registered.
inline constexpr std::uint64_t RecordDelayPerMbps = 100'000;
/// Added to it, in equal shares over the daemons, so that few find no record at
/// once, and that the lists for all are not sent at once.
inline constexpr milliseconds RecordDelaySpread{400};
/// Time for reading the record and writing it, after which the store is listed.
inline constexpr milliseconds RecordTimeout{600};

} // namespace limits

/// The daemon that a record names, and the record's revision in the store.
struct WatcherRecord {
  std::optional<Member> Named; ///< Empty if it cannot be read.
  std::uint64_t Revision = 0;

  auto operator<=>(const WatcherRecord &) const = default;
};

/// Not synchronised.
class FirstWatcher {
public:
  enum class Call : std::uint8_t { None, Read, Write };

  /// \param fleetStarts whether all daemons start for the first time.
  FirstWatcher(const Member &self, bool fleetStarts, TimePoint start);

  /// \return the call to make now; its answer is passed to handleRead or
  /// handleWritten.
  Call next(TimePoint now);
  /// \param record empty if there is none.
  void handleRead(ReadOutcome outcome,
                  const std::optional<WatcherRecord> &record);
  void handleWritten(CallOutcome outcome);
  /// Searches again, since the daemon found is lost.
  void handleLost(TimePoint now);
  /// \return the revision of the record to be replaced; 0: it is created.
  std::uint64_t replacedRevision() const { return ReplacedRevision; }
  /// \return whether the search is over.
  bool isOver(TimePoint now) const;
  /// \return the daemon to call for the list; empty if the store is to be
  /// called.
  const std::optional<Member> &watcher() const { return Found; }

private:
  enum class Step : std::uint8_t { ToRead, ToWrite, Calling, Over };

  VmName Self;
  TimePoint ReadAt;
  Step CurrentStep = Step::ToRead;
  bool Refused = false; ///< The write, since there is another record.
  std::optional<Member> Found;
  std::uint64_t FoundRevision = 0;
  std::uint64_t LostRevision = 0; ///< Of the record that names a lost daemon.
  std::uint64_t ReplacedRevision = 0;
};

/// Whether a daemon renews the record of its failure domain. One does, if the
/// daemon named is not alive.
/// \param isFirst whether this daemon is the first of those that watch for the
/// others of the domain.
bool isRecordRenewalDue(bool isFirst, const std::optional<Member> &named,
                        const std::vector<Member> &live);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_FIRST_WATCHER_H
