#include "peridotfall/client_account.h"

#include <cmath>
#include <openssl/sha.h>
#include <utility>

namespace peridotfall {

namespace {

bool isValid(const AccountQuota &it) {
  return std::isfinite(it.RatePerSecond) && it.RatePerSecond >= 0 &&
         std::isfinite(it.Burst) && it.Burst >= 0;
}

} // namespace

KeyDigest digestOf(std::string_view key) {
  static_assert(KeyDigestBytes == SHA256_DIGEST_LENGTH);
  KeyDigest out;
  SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(),
         out.Bytes.data());
  return out;
}

Parsed<AccountTable> AccountTable::make(std::vector<ClientAccount> accounts) {
  AccountTable out;
  Findings findings;
  for (std::size_t n = 0; n < accounts.size(); ++n) {
    const auto &it = accounts[n];
    auto place = "/" + std::to_string(n);
    if (it.Name.empty())
      findings.push_back({place + "/name", "a name", ""});
    else if (!out.IndexByName.emplace(it.Name, n).second)
      findings.push_back(
          {place + "/name", "a name that occurs once", it.Name.Value});
    if (it.Quota && !isValid(*it.Quota))
      findings.push_back(
          {place + "/quota", "a rate and a burst of at least 0", ""});
    for (std::size_t k = 0; k < it.Keys.size(); ++k)
      if (!out.IndexByKey.emplace(it.Keys[k], n).second)
        findings.push_back({place + "/keys/" + std::to_string(k),
                            "a key that occurs once", "(not shown)"});
  }
  if (!findings.empty())
    return findings;
  out.Accounts = std::move(accounts);
  return out;
}

const ClientAccount *AccountTable::findByKey(const KeyDigest &key) const {
  auto it = IndexByKey.find(key);
  return it == IndexByKey.end() ? nullptr : &Accounts[it->second];
}

const ClientAccount *AccountTable::find(const AccountName &name) const {
  auto it = IndexByName.find(name);
  return it == IndexByName.end() ? nullptr : &Accounts[it->second];
}

} // namespace peridotfall
