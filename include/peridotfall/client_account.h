/// \file
/// Client accounts: who callers act for, and the keys that prove it. A key is a
/// secret; only its digest is kept.

#ifndef PERIDOTFALL_CLIENT_ACCOUNT_H
#define PERIDOTFALL_CLIENT_ACCOUNT_H

#include "peridotfall/names.h"
#include "peridotfall/result.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotfall {

using AccountName = Name<struct AccountTag>;

inline constexpr std::size_t KeyDigestBytes = 32;
/// Maximum length of a key in bytes.
inline constexpr std::size_t MaxKeyBytes = 512;

/// SHA-256 of a key. Keys are random, so an unsalted digest cannot be reversed
/// by guessing.
struct KeyDigest {
  std::array<std::uint8_t, KeyDigestBytes> Bytes{};

  auto operator<=>(const KeyDigest &) const = default;
};

KeyDigest digestOf(std::string_view key);

/// Limit on the operations of an account, over all daemons.
struct AccountQuota {
  double RatePerSecond = 0;
  double Burst = 0; ///< Operations.

  auto operator<=>(const AccountQuota &) const = default;
};

struct ClientAccount {
  AccountName Name;
  std::vector<KeyDigest> Keys; ///< Without keys nobody can use the account.
  unsigned Priority = 0;       ///< 0 is the highest.
  std::optional<AccountQuota> Quota; ///< Empty: unlimited.

  auto operator<=>(const ClientAccount &) const = default;
};

/// All accounts of one configuration. Immutable.
class AccountTable {
public:
  AccountTable() = default;

  /// \return the table, or findings for names or keys that occur twice, empty
  /// names and invalid quotas. The place is an index into \p accounts.
  static Parsed<AccountTable> make(std::vector<ClientAccount> accounts);

  /// \return the account that the key proves; null if no account has the key.
  const ClientAccount *findByKey(const KeyDigest &key) const;
  const ClientAccount *find(const AccountName &name) const;
  const std::vector<ClientAccount> &accounts() const { return Accounts; }

  auto operator<=>(const AccountTable &) const = default;

private:
  std::vector<ClientAccount> Accounts;
  std::map<AccountName, std::size_t> IndexByName;
  std::map<KeyDigest, std::size_t> IndexByKey;
};

} // namespace peridotfall

#endif // PERIDOTFALL_CLIENT_ACCOUNT_H
