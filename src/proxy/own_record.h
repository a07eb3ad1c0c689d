/// \file
/// This daemon's own object in the store, by which others find it: when it is
/// written, and with which incarnation. Decides only.

#ifndef PERIDOTFALL_PROXY_OWN_RECORD_H
#define PERIDOTFALL_PROXY_OWN_RECORD_H

#include "peridotfall/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

/// Between two tries to write it. Load: all daemons start at once into a store
/// that is slow. Reason: two writes a second of each are a fraction of the
/// store's rate at the sizes of today.
inline constexpr std::chrono::milliseconds AnnouncePause{500};

} // namespace limits

/// Not synchronised.
class OwnRecord {
public:
  explicit OwnRecord(std::uint64_t incarnation) : Incarnation(incarnation) {}

  std::uint64_t incarnation() const { return Incarnation; }

  /// Takes the list of all daemons' objects.
  /// \param listed the incarnation that this daemon's object has; nothing: it
  /// has none, or was removed while the daemon was cut off.
  /// \return whether this daemon has another incarnation now. The time of day
  /// may have gone back since the last start on this VM, and others would
  /// ignore what an older incarnation says of itself.
  bool takeListed(std::optional<std::uint64_t> listed);
  /// \param listCurrent whether the store answers.
  bool isDue(bool listCurrent, TimePoint now) const;
  void writeBegun() { Writing = true; }
  void writeEnded(bool done, TimePoint now);

private:
  std::uint64_t Incarnation;
  bool Written = false;
  bool Writing = false;
  std::optional<TimePoint> NotBefore;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_OWN_RECORD_H
