// Fuzzes the verification of a session token from a caller's header.

#include "fuzz.h"
#include "peridotfall/session_token.h"

void peridotfall::fuzz::runOne(const std::string &bytes) {
  static const auto Keys =
      parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
  auto it = verifyToken(bytes, Keys);
  if (!it)
    return;
  auto again = verifyToken(signToken(it.value(), Keys), Keys);
  require(again && again.value() == it.value());
}
