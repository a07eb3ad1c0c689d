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

/// Holds one text under every name and revision.
const std::string *findHeld(const messages::HeldObject &) {
  static const std::string Text(1'000, 'x');
  return &Text;
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
  checkRoundTrip(bytes, messages::decodeWatchRequest);
  checkRoundTrip(bytes, [](const std::string &it) {
    return messages::decodeCopyAnswer(it, findHeld);
  });
  checkRoundTrip(bytes, [](const std::string &it) {
    return messages::decodeWatchAnswer(it, findHeld);
  });
}
