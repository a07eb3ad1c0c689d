/// \file
/// The session token: the positions that a session has written and read. The
/// caller sends it with each request and no daemon stores it, so that a session
/// may use any daemon.

#ifndef PERIDOTFALL_SESSION_TOKEN_H
#define PERIDOTFALL_SESSION_TOKEN_H

#include "peridotfall/names.h"
#include "peridotfall/result.h"

#include <compare>
#include <map>
#include <string>

namespace peridotfall {

/// State of a session for one database.
struct SessionEntry {
  Position Seen; ///< Reads must not be older than this.
  /// Digest of the idempotency key of a write of unknown outcome; empty: none.
  /// No replica's position proves that it includes this write, so reads go to
  /// the primary until a request with the same key is answered.
  std::string UnknownKey;

  bool primaryOnly() const { return !UnknownKey.empty(); }
  auto operator<=>(const SessionEntry &) const = default;
};

struct SessionToken {
  std::map<DatabaseName, SessionEntry> Databases;

  auto operator<=>(const SessionToken &) const = default;
};

/// Signing keys by id: Current signs, all verify.
struct TokenKeys {
  std::string Current;
  std::map<std::string, std::string> Secrets;

  auto operator<=>(const TokenKeys &) const = default;
};

/// \return the signed token, safe in a header, with its newest MaxTokenEntries
/// entries.
std::string signToken(const SessionToken &token, const TokenKeys &keys);

/// \return the token, or the error Invalid, Forged or UnknownKey.
Result<SessionToken> verifyToken(const std::string &text,
                                 const TokenKeys &keys);

/// \return the token after a confirmed answer at a position.
/// \param key idempotency key of the request answered; empty: none.
SessionToken withSeen(SessionToken token, const DatabaseName &database,
                      Position at, const std::string &key);
/// \return the token after a write of unknown outcome. Without a key the
/// outcome can never be queried, so the session stays with the primary.
SessionToken withUnknown(SessionToken token, const DatabaseName &database,
                         const std::string &key);

/// Parses "id:secret,id:secret"; the first key signs.
Parsed<TokenKeys> parseTokenKeys(const std::string &text);

} // namespace peridotfall

#endif // PERIDOTFALL_SESSION_TOKEN_H
