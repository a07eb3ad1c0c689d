// Fuzzes the decoders of messages between daemons. The first byte of the input
// selects the message.

#include "fuzz.h"
#include "messages/inner.h"

#include <google/protobuf/stubs/logging.h>

using namespace peridotfall;

namespace {

template <class T> void checkRoundTrip(const T &it, Result<T> again) {
  fuzz::require(again.has_value());
  // Compares encodings because NaN does not equal itself.
  fuzz::require(messages::encode(again.value()) == messages::encode(it));
}

} // namespace

void fuzz::runOne(const std::string &bytes) {
  // Protobuf logs a line for each malformed message.
  static auto *const Quiet = google::protobuf::SetLogHandler(nullptr);
  (void)Quiet;
  if (bytes.empty())
    return;
  auto message = bytes.substr(1);
  if (bytes[0] == 'q') {
    auto it = messages::decodeStatementRequest(message);
    if (it)
      checkRoundTrip(it.value(), messages::decodeStatementRequest(
                                     messages::encode(it.value())));
  } else if (bytes[0] == 'a') {
    auto it = messages::decodeStatementAnswer(message);
    if (it)
      checkRoundTrip(it.value(), messages::decodeStatementAnswer(
                                     messages::encode(it.value())));
  } else {
    auto it = messages::decodePeerInfo(message);
    if (it)
      checkRoundTrip(it.value(),
                     messages::decodePeerInfo(messages::encode(it.value())));
  }
}
