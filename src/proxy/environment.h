/// \file
/// Values and prepared statements of sessions, and the set-up of shared target
/// connections.

#ifndef PERIDOTFALL_PROXY_ENVIRONMENT_H
#define PERIDOTFALL_PROXY_ENVIRONMENT_H

#include "proxy/statement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

using SessionValues = std::map<std::string, std::string>;

/// Values and prepared statements that exist on one target connection. The name
/// of a prepared statement there is derived from its body, so that sessions
/// share it.
struct ConnectionEnvironment {
  SessionValues Set;
  std::set<PreparedStatement> PreparedStatements;

  auto operator<=>(const ConnectionEnvironment &) const = default;
};

/// \return the name of a prepared statement on target connections.
std::string sharedName(const PreparedStatement &it);

/// Plans the statements that give a connection the session's values and prepare
/// what a batch needs.
/// \param have is updated to the state after the returned statements.
std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const SessionValues &want,
                                 const std::vector<PreparedStatement> &needed);

/// \return how many values differ. The connection with the lowest number is
/// used.
std::size_t distance(const SessionValues &have, const SessionValues &want);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ENVIRONMENT_H
