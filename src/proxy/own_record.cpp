#include "proxy/own_record.h"

namespace peridotfall::proxy {

bool OwnRecord::handleListed(std::optional<std::uint64_t> listed) {
  if (!listed) {
    Written = false;
    return false;
  }
  // The listed object is not from a previous process if this one wrote it.
  if (Written || Writing || *listed < Incarnation)
    return false;
  Incarnation = *listed + 1;
  return true;
}

bool OwnRecord::isDue(bool listCurrent, TimePoint now) const {
  return listCurrent && !Written && !Writing && now >= NotBefore.value_or(now);
}

void OwnRecord::writeEnded(bool done, TimePoint now) {
  Writing = false;
  Written = done;
  NotBefore = now + limits::OwnRecordRetryPause;
}

} // namespace peridotfall::proxy
