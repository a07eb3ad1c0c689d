// Messages between daemons about leases, sights of a primary and copies.

#include "fuzz.h"
#include "messages/copy.h"
#include "messages/lease.h"

using namespace peridotfall;

namespace {

/// What was understood is written and understood again alike.
template <class Decode>
void checkRoundTrip(const std::string &bytes, Decode decode) {
  auto it = decode(bytes);
  if (it)
    fuzz::require(decode(messages::encode(it.value())).has_value());
}

} // namespace

void fuzz::runOne(const std::string &bytes) {
  checkRoundTrip(bytes, messages::decodeBeginLease);
  checkRoundTrip(bytes, messages::decodeRunLease);
  checkRoundTrip(bytes, messages::decodeAbandonLease);
  checkRoundTrip(bytes, messages::decodeLeaseAnswer);
  checkRoundTrip(bytes, messages::decodeLeadQuestion);
  checkRoundTrip(bytes, messages::decodeLeadView);
  checkRoundTrip(bytes, messages::decodeCopyRequest);
  checkRoundTrip(bytes, messages::decodeCopyAnswer);
}
