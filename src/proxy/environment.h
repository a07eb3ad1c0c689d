/// \file
/// Values and prepared statements of sessions, and the set-up of shared target
/// connections.

#ifndef PERIDOTFALL_PROXY_ENVIRONMENT_H
#define PERIDOTFALL_PROXY_ENVIRONMENT_H

#include "proxy/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Prepared statements of one target connection. Sessions share connections, so
/// without a bound their statements pile up at the target.
inline constexpr std::size_t MaxPreparedPerConnection = 256;
/// Bytes of their shapes, which are kept here as well.
inline constexpr std::size_t MaxPreparedBytesPerConnection = 64 << 10;

} // namespace limits

using SessionValues = std::map<std::string, std::string>;

/// Values and prepared statements that exist on one target connection.
struct ConnectionEnvironment {
  SessionValues Set;
  /// Numbers, of which the names on the connection are made. A name must not
  /// contain text of a caller: a blank would end it.
  std::map<PreparedStatement, std::uint64_t> Numbers;
  std::uint64_t LastNumber = 0; ///< Never assigned again.
  std::size_t ShapeBytes = 0;   ///< Of all prepared statements.
  /// A set-up was not completed, so only a reset leads to a known state.
  bool NeedsReset = false;

  auto operator<=>(const ConnectionEnvironment &) const = default;
};

/// \return the name of a prepared statement on the connection; nullopt if it is
/// not prepared there.
std::optional<std::string> preparedName(const ConnectionEnvironment &it,
                                        const PreparedStatement &body);
/// The target has lost the prepared statements.
void forgetPrepared(ConnectionEnvironment &it);
/// It is not known which statements of a set-up took effect.
void invalidate(ConnectionEnvironment &it);

/// \return the name by which connection holders of earlier versions prepare a
/// statement. Others don't use it.
std::string earlierName(const PreparedStatement &it);

/// Plans the statements that give a connection the session's values and prepare
/// what a batch needs.
/// \param have is updated to the state after the returned statements.
std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const SessionValues &want,
                                 const std::vector<PreparedStatement> &needed);

/// \return how many values differ and how many statements are not prepared. The
/// connection with the lowest number is used.
std::size_t distance(const ConnectionEnvironment &have,
                     const SessionValues &want,
                     const std::vector<PreparedStatement> &needed);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ENVIRONMENT_H
