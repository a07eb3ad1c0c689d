#include "proxy/own_record.h"

namespace peridotfall::proxy {

bool OwnRecord::handleListed(std::optional<std::uint64_t> listed, bool isOwn) {
  Overwritten = Written && listed && !(isOwn && *listed == Incarnation);
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
  bool overwritten = Overwritten && now >= WrittenAt + limits::OwnRecordListLag;
  return listCurrent && (!Written || overwritten) && !Writing &&
         now >= NotBefore.value_or(now);
}

void OwnRecord::writeEnded(bool done, TimePoint now) {
  Writing = false;
  Written = done || Overwritten;
  if (done) {
    Overwritten = false;
    WrittenAt = now;
  }
  NotBefore = now + limits::OwnRecordRetryPause;
}

} // namespace peridotfall::proxy
