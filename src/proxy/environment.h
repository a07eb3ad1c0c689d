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

using Values = std::map<std::string, std::string>;

/// Values and prepared statements that exist on one target connection. The name
/// of a prepared statement there is derived from its body, so that sessions
/// share it.
struct ConnectionEnvironment {
  Values Set;
  std::set<Prepared> PreparedStatements;

  auto operator<=>(const ConnectionEnvironment &) const = default;
};

/// \return the name of a prepared statement on target connections.
std::string sharedName(const Prepared &it);

/// Plans the statements that give a connection the session's values and prepare
/// what a batch needs.
/// \param have is updated to the state after the returned statements.
std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const Values &want,
                                 const std::vector<Prepared> &needed);

/// \return how many values differ. The connection with the lowest number is
/// used.
std::size_t distance(const Values &have, const Values &want);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ENVIRONMENT_H
