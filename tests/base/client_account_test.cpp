#include "peridotfall/client_account.h"

#include <doctest/doctest.h>

using namespace peridotfall;

namespace {

ClientAccount account(const char *name, std::vector<const char *> keys) {
  ClientAccount out;
  out.Name = AccountName(name);
  for (const auto *it : keys)
    out.Keys.push_back(digestOf(it));
  return out;
}

} // namespace

TEST_CASE("account table, several keys, each proves its account") {
  auto table =
      AccountTable::make({account("press", {"k1", "k2"}), account("desk", {})});
  REQUIRE(table);
  CHECK(table.value().findByKey(digestOf("k1"))->Name.Value == "press");
  CHECK(table.value().findByKey(digestOf("k2"))->Name.Value == "press");
  CHECK(table.value().findByKey(digestOf("k3")) == nullptr);
  CHECK(table.value().find(AccountName("desk"))->Keys.empty());
}

// Guards against a caller that acts for either of two accounts, depending on
// the order in which they are read.
TEST_CASE("account table, one key at two accounts, is rejected") {
  auto table =
      AccountTable::make({account("press", {"k1"}), account("desk", {"k1"})});
  REQUIRE_FALSE(table);
  REQUIRE(table.error().size() == 1);
  CHECK(table.error()[0].Place == "/1/keys/0");
}

TEST_CASE("account table, name missing or twice, is rejected with places") {
  auto table = AccountTable::make(
      {account("press", {"a"}), account("press", {"b"}), account("", {"c"})});
  REQUIRE_FALSE(table);
  REQUIRE(table.error().size() == 2);
  CHECK(table.error()[0].Place == "/1/name");
  CHECK(table.error()[1].Place == "/2/name");
}

TEST_CASE("account table, quota below zero, is rejected") {
  auto it = account("press", {"a"});
  it.Quota = AccountQuota{-1, 5};
  CHECK_FALSE(AccountTable::make({it}));
}

TEST_CASE("key digest, known text, is its SHA-256") {
  auto it = digestOf("abc");
  CHECK(it.Bytes[0] == 0xba);
  CHECK(it.Bytes[KeyDigestBytes - 1] == 0xad);
}
