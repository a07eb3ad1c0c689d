/// \file
/// The session token: what a session has written and seen, carried by the
/// caller and kept nowhere, so that a session may roam between daemons.

#ifndef PERIDOTFALL_SESSION_TOKEN_H
#define PERIDOTFALL_SESSION_TOKEN_H

#include "peridotfall/names.h"
#include "peridotfall/result.h"

#include <compare>
#include <map>
#include <string>

namespace peridotfall {

/// What a session knows of one database.
struct SessionEntry {
  Position Seen; ///< Reads must not come from before this.
  /// Digest of the idempotency key of a write whose outcome is unknown; no
  /// replica's position proves that it is seen, so reads go to the primary
  /// until the same key is answered. Empty: there is none.
  std::string UnknownKey;

  bool primaryOnly() const { return !UnknownKey.empty(); }
  auto operator<=>(const SessionEntry &) const = default;
};

struct SessionToken {
  std::map<DatabaseName, SessionEntry> Databases;

  auto operator<=>(const SessionToken &) const = default;
};

/// Keys for signing; the one named Current signs, all verify.
struct TokenKeys {
  std::string Current;
  std::map<std::string, std::string> Secrets;

  auto operator<=>(const TokenKeys &) const = default;
};

/// \return text safe for a header. The newest MaxTokenEntries are kept.
std::string signToken(const SessionToken &token, const TokenKeys &keys);

/// \return the token, or Invalid, Forged or UnknownKey.
Result<SessionToken> verifyToken(const std::string &text,
                                 const TokenKeys &keys);

/// \return the token after a confirmed answer at a position.
/// \param key idempotency key of the request answered; empty: none.
SessionToken withSeen(SessionToken token, const DatabaseName &database,
                      Position at, const std::string &key);
/// \return the token after a write of unknown outcome. Without a key the
/// outcome can never be asked for, so the session stays with the primary.
SessionToken withUnknown(SessionToken token, const DatabaseName &database,
                         const std::string &key);

/// Reads "id:secret,id:secret"; the first signs.
Parsed<TokenKeys> parseTokenKeys(const std::string &text);

} // namespace peridotfall

#endif // PERIDOTFALL_SESSION_TOKEN_H
