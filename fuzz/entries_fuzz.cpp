// Fuzzes the parsers of the platform's stored objects: targets, configuration,
// daemons, failover leadership.

#include "entries.h"
#include "fuzz.h"
#include "http/server.h"

using namespace peridotfall;

void fuzz::runOne(const std::string &bytes) {
  proxy::StoredObject object{"name", bytes, 1, false};
  if (auto it = adapter::parseTarget(object, {}))
    require(http::parseEndpoint(it.value().Address).has_value());
  if (auto it = adapter::parseRoutingTable(bytes))
    require(it.value().Version > 0);
  if (auto it = adapter::parseWatcherRecord(object).Named)
    require(http::parseEndpoint(it->InnerAddress).has_value());
  if (auto it = adapter::parseDaemon(object))
    require(adapter::parseDaemon(
                {"name", adapter::formatDaemon(it.value()), 1, false})
                .has_value());
  if (auto it = adapter::parseLeadershipRecord(bytes))
    require(adapter::parseLeadershipRecord(
                adapter::formatLeadershipRecord(it.value()))
                .has_value());
}
