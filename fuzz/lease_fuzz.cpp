// Fuzzes the decoders of messages between daemons about leases, leader queries,
// held writes, quotas and snapshots of stored objects.

#include "fuzz.h"
#include "messages/lease.h"
#include "messages/quota.h"
#include "messages/snapshot.h"

using namespace peridotfall;

namespace {

/// A decoded message must be decodable again after encoding.
template <class Decode>
void checkRoundTrip(const std::string &bytes, Decode decode) {
  auto it = decode(bytes);
  if (it)
    fuzz::require(decode(messages::encode(it.value())).has_value());
}

/// Has the same text for every name and revision.
const std::string *findCached(const messages::CachedObjectId &) {
  static const std::string Text(1'000, 'x');
  return &Text;
}

} // namespace

void fuzz::runOne(const std::string &bytes) {
  checkRoundTrip(bytes, messages::decodeBeginLease);
  checkRoundTrip(bytes, messages::decodeRunLease);
  checkRoundTrip(bytes, messages::decodeAbandonLease);
  checkRoundTrip(bytes, messages::decodeLeaseAnswer);
  checkRoundTrip(bytes, messages::decodeLeaderQuery);
  checkRoundTrip(bytes, messages::decodeLeaderView);
  checkRoundTrip(bytes, messages::decodeWriteHold);
  checkRoundTrip(bytes, messages::decodeHoldList);
  checkRoundTrip(bytes, messages::decodeUseReport);
  checkRoundTrip(bytes, messages::decodeUseAnswer);
  checkRoundTrip(bytes, messages::decodeSnapshotRequest);
  checkRoundTrip(bytes, messages::decodeWatchRequest);
  checkRoundTrip(bytes, [](const std::string &it) {
    return messages::decodeSnapshotAnswer(it, findCached);
  });
  checkRoundTrip(bytes, [](const std::string &it) {
    return messages::decodeWatchAnswer(it, findCached);
  });
}
