#include "peridotfall/session_token.h"

#include "base/encoding.h"
#include "peridotfall/limits.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <optional>
#include <string_view>
#include <vector>

namespace peridotfall {

namespace {

// Text form: "v1.KEYID.BODY.MAC", BODY and MAC in base64url. BODY has one
// line for each database: name, term, index and the digest of the key of a
// write of unknown outcome ("-": none), separated by spaces.
constexpr std::string_view Version = "v1";
constexpr auto NoKey = "-";
/// Marks a write without a key; no key has this digest.
constexpr auto KeylessWrite = "keyless";
/// Enough to distinguish the keys of one session.
constexpr std::size_t DigestBytes = 9;

std::string sign(const std::string &text, const std::string &secret) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac,
       &n);
  return {reinterpret_cast<const char *>(mac), n};
}

std::string digestOf(const std::string &key) {
  return encodeBase64Url(sign(key, "").substr(0, DigestBytes));
}

bool equalInConstantTime(const std::string &a, const std::string &b) {
  // The run time must not reveal how many bytes of a forgery match.
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::vector<std::string> split(const std::string &text, char separator) {
  std::vector<std::string> out(1);
  for (char c : text) {
    if (c == separator)
      out.emplace_back();
    else
      out.back() += c;
  }
  return out;
}

std::optional<std::uint64_t> parseNumber(const std::string &text) {
  std::uint64_t n = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size() || text.empty())
    return std::nullopt;
  return n;
}

/// \return at most MaxTokenEntries entries: first those with a write of unknown
/// outcome, then the newest positions. Replicas are the most likely to have
/// applied the old ones.
std::vector<std::pair<DatabaseName, SessionEntry>>
newestEntries(const SessionToken &token) {
  std::vector<std::pair<DatabaseName, SessionEntry>> all(
      token.Databases.begin(), token.Databases.end());
  if (all.size() > limits::MaxTokenEntries) {
    std::stable_sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
      bool aUnknown = a.second.primaryOnly();
      bool bUnknown = b.second.primaryOnly();
      return aUnknown != bUnknown ? aUnknown : a.second.Seen > b.second.Seen;
    });
    all.resize(limits::MaxTokenEntries);
  }
  return all;
}

Result<SessionToken> parseBody(const std::string &body) {
  SessionToken token;
  for (const auto &line : split(body, '\n')) {
    if (line.empty())
      continue;
    auto fields = split(line, ' ');
    if (fields.size() != 4)
      return Error{ErrorCode::Invalid, "session token: malformed entry"};
    auto term = parseNumber(fields[1]);
    auto index = parseNumber(fields[2]);
    if (!term || !index || fields[3].empty())
      return Error{ErrorCode::Invalid, "session token: malformed entry"};
    token.Databases[DatabaseName(fields[0])] = {
        {*term, *index}, fields[3] == NoKey ? "" : fields[3]};
  }
  return token;
}

} // namespace

std::string signToken(const SessionToken &token, const TokenKeys &keys) {
  std::string body;
  for (const auto &[name, entry] : newestEntries(token))
    body += fmt::format("{} {} {} {}\n", name.Value, entry.Seen.InTerm,
                        entry.Seen.Index,
                        entry.primaryOnly() ? entry.UnknownKey : NoKey);
  auto text =
      fmt::format("{}.{}.{}", Version, keys.Current, encodeBase64Url(body));
  return text + "." +
         encodeBase64Url(sign(text, keys.Secrets.at(keys.Current)));
}

Result<SessionToken> verifyToken(const std::string &text,
                                 const TokenKeys &keys) {
  if (text.size() > limits::MaxTokenLength)
    return Error{ErrorCode::Invalid, "session token: too long"};
  auto parts = split(text, '.');
  if (parts.size() != 4 || parts[0] != Version)
    return Error{ErrorCode::Invalid, "session token: unknown format"};
  auto it = keys.Secrets.find(parts[1]);
  if (it == keys.Secrets.end())
    return Error{ErrorCode::UnknownKey, "session token: signed with an "
                                        "unknown key"};
  auto mac = decodeBase64Url(parts[3]);
  auto signedText = text.substr(0, text.rfind('.'));
  if (!mac || !equalInConstantTime(*mac, sign(signedText, it->second)))
    return Error{ErrorCode::Forged, "session token: signature does not match"};
  auto body = decodeBase64Url(parts[2]);
  if (!body)
    return Error{ErrorCode::Invalid, "session token: malformed body"};
  return parseBody(*body);
}

SessionToken withSeen(SessionToken token, const DatabaseName &database,
                      Position at, const std::string &key) {
  auto &it = token.Databases[database];
  it.Seen = std::max(it.Seen, at);
  if (!key.empty() && it.UnknownKey == digestOf(key))
    it.UnknownKey.clear();
  return token;
}

SessionToken withUnknown(SessionToken token, const DatabaseName &database,
                         const std::string &key) {
  auto &it = token.Databases[database];
  // An entry has room for one unknown write. After a second one the session
  // stays with the primary, which is correct but slower.
  bool secondWrite = it.primaryOnly() && it.UnknownKey != digestOf(key);
  it.UnknownKey = key.empty() || secondWrite ? KeylessWrite : digestOf(key);
  return token;
}

Parsed<TokenKeys> parseTokenKeys(const std::string &text) {
  constexpr std::size_t MinSecretLength = 16;
  constexpr auto Expected = "ID:SECRET[,ID:SECRET...], each secret of 16 "
                            "characters or more, ids of letters and digits";
  TokenKeys keys;
  Findings findings;
  std::size_t n = 0;
  for (const auto &part : split(text, ',')) {
    auto position = fmt::format("key {}", ++n);
    auto colon = part.find(':');
    auto id = part.substr(0, colon);
    bool validId =
        !id.empty() && std::all_of(id.begin(), id.end(), [](unsigned char c) {
          return std::isalnum(c) != 0;
        });
    if (colon == std::string::npos || !validId ||
        part.size() - colon - 1 < MinSecretLength) {
      // A finding never contains the secret.
      findings.push_back({position, Expected, "a malformed entry"});
      continue;
    }
    if (keys.Current.empty())
      keys.Current = id;
    if (!keys.Secrets.emplace(id, part.substr(colon + 1)).second)
      findings.push_back({position, "unique ids", id + " twice"});
  }
  if (!findings.empty())
    return findings;
  return keys;
}

} // namespace peridotfall
