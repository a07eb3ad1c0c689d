#include "peridotfall/session_token.h"

#include <doctest/doctest.h>

using namespace peridotfall;

namespace {

struct SessionTokenFixture {
  TokenKeys Keys{"k1", {{"k1", "a secret of sixteen"}}};
  DatabaseName Orders{"orders"};
  SessionToken Token = withSeen({}, Orders, {3, 17}, "");
};

} // namespace

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "session token, signed and verified, is unchanged") {
  auto it = verifyToken(signToken(Token, Keys), Keys);
  REQUIRE(it);
  CHECK(it.value() == Token);
}

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "session token, any byte changed, is rejected") {
  auto text = signToken(Token, Keys);
  for (std::size_t n = 0; n < text.size(); ++n) {
    auto forged = text;
    forged[n] = forged[n] == 'A' ? 'B' : 'A';
    CHECK_FALSE(verifyToken(forged, Keys));
  }
}

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "session token, truncated at any length, is rejected") {
  auto text = signToken(Token, Keys);
  for (std::size_t n = 0; n < text.size(); ++n)
    CHECK_FALSE(verifyToken(text.substr(0, n), Keys));
}

TEST_CASE_FIXTURE(SessionTokenFixture,
                  "session entry, outcome unknown, stays with the primary "
                  "until the same key is answered") {
  auto it = withUnknown(Token, Orders, "key-1");
  CHECK(it.Databases[Orders].primaryOnly());
  it = withSeen(it, Orders, {3, 18}, "key-2");
  CHECK(it.Databases[Orders].primaryOnly());
  it = withSeen(it, Orders, {3, 18}, "key-1");
  CHECK_FALSE(it.Databases[Orders].primaryOnly());
}
