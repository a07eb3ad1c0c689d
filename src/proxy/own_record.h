/// \file
/// Decides when this daemon writes its own object in the store, by which other
/// daemons find it, and with which incarnation. Makes no calls itself.

#ifndef PERIDOTFALL_PROXY_OWN_RECORD_H
#define PERIDOTFALL_PROXY_OWN_RECORD_H

#include "peridotfall/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace peridotfall::proxy {

namespace limits {

/// Between two attempts to write the object. All daemons may start at once
/// while the store is slow; two writes a second from each are a fraction of the
/// store's rate at present sizes.
inline constexpr std::chrono::milliseconds OwnRecordRetryPause{500};
/// Lists that another daemon passes on may be older than the last write by
/// less than this. Without it, all daemons of a fleet that restarts would write
/// their objects twice.
inline constexpr std::chrono::milliseconds OwnRecordListLag{5'000};

} // namespace limits

/// Not synchronised.
class OwnRecord {
public:
  explicit OwnRecord(std::uint64_t incarnation) : Incarnation(incarnation) {}

  std::uint64_t incarnation() const { return Incarnation; }

  /// Call with each list of all daemons' objects.
  /// \param listed the incarnation in this daemon's object; empty if there is
  /// none, or it was removed while this daemon was partitioned.
  /// \param isOwn whether the rest of the object is as this daemon writes it.
  /// \return whether the incarnation changed. The wall clock may have gone back
  /// since the last start on this VM, and other daemons ignore what an older
  /// incarnation reports.
  bool handleListed(std::optional<std::uint64_t> listed, bool isOwn = true);
  /// \return whether to write the object now.
  /// \param listCurrent whether the store answers.
  bool isDue(bool listCurrent, TimePoint now) const;
  void writeBegun() { Writing = true; }
  void writeEnded(bool done, TimePoint now);

private:
  std::uint64_t Incarnation;
  bool Written = false;
  bool Writing = false;
  bool Overwritten = false; ///< The listed object is not the one written.
  TimePoint WrittenAt{};
  std::optional<TimePoint> NotBefore;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_OWN_RECORD_H
