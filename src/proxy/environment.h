/// \file
/// What a session has set and prepared, and how a target connection that
/// served others is brought to it.

#ifndef PERIDOTFALL_PROXY_ENVIRONMENT_H
#define PERIDOTFALL_PROXY_ENVIRONMENT_H

#include "proxy/statement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

using Values = std::map<std::string, std::string>;

/// Values set and statements prepared on one target connection. Prepared
/// names there are made from what they run, so that sessions share them.
struct ConnectionEnvironment {
  Values Set;
  std::set<Prepared> Known;

  auto operator<=>(const ConnectionEnvironment &) const = default;
};

/// \return the name of a prepared statement on target connections.
std::string sharedName(const Prepared &it);

/// Brings a connection to a session's values, and makes the prepared
/// statements of a batch known there.
/// \param have is changed to what holds after the returned statements.
std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const Values &want,
                                 const std::vector<Prepared> &needed);

/// \return how many values differ; the connection that costs least serves.
std::size_t distance(const Values &have, const Values &want);

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_ENVIRONMENT_H
