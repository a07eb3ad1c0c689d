// Messages between daemons: the first byte chooses the kind.

#include "fuzz.h"
#include "messages/inner.h"

#include <google/protobuf/stubs/logging.h>

using namespace peridotfall;

namespace {

template <class T> void checkAgain(const T &it, Result<T> again) {
  fuzz::require(again.has_value());
  // A value that is no number equals nothing, itself included.
  fuzz::require(messages::encode(again.value()) == messages::encode(it));
}

} // namespace

void fuzz::runOne(const std::string &bytes) {
  // The library's own lines for malformed text would fill the log.
  static auto *const Quiet = google::protobuf::SetLogHandler(nullptr);
  (void)Quiet;
  if (bytes.empty())
    return;
  auto message = bytes.substr(1);
  if (bytes[0] == 'q') {
    auto it = messages::decodeStatementRequest(message);
    if (it)
      checkAgain(it.value(), messages::decodeStatementRequest(
                                 messages::encode(it.value())));
  } else if (bytes[0] == 'a') {
    auto it = messages::decodeStatementAnswer(message);
    if (it)
      checkAgain(it.value(),
                 messages::decodeStatementAnswer(messages::encode(it.value())));
  } else {
    auto it = messages::decodePeerInfo(message);
    if (it)
      checkAgain(it.value(),
                 messages::decodePeerInfo(messages::encode(it.value())));
  }
}
