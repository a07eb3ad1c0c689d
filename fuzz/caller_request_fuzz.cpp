// Fuzzes the parser of callers' requests. Input: method, path and headers, a
// line each, an empty line and the body.

#include "daemon/caller_api.h"
#include "fuzz.h"
#include "peridotfall/limits.h"

#include <sstream>

using namespace peridotfall;

namespace {

Configuration makeConfiguration() {
  Configuration out;
  DatabaseConfig it;
  it.Name = DatabaseName("orders");
  it.Kinds = {{KindName("place-order"), Access::Write, false, true, {}},
              {KindName("catalogue"), Access::StaleRead, true, false, {}}};
  out.Databases = {it};
  return out;
}

http::Request readRequest(const std::string &bytes) {
  http::Request out;
  std::istringstream in(bytes);
  std::string line;
  std::getline(in, out.Method);
  std::getline(in, out.Path);
  while (std::getline(in, line) && !line.empty()) {
    auto colon = line.find(':');
    if (colon != std::string::npos)
      out.Fields.push_back({line.substr(0, colon), line.substr(colon + 1)});
  }
  std::ostringstream rest;
  rest << in.rdbuf();
  out.Body = rest.str();
  return out;
}

} // namespace

void fuzz::runOne(const std::string &bytes) {
  static const auto Config = makeConfiguration();
  static const auto Keys =
      parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
  auto it = parseCallerRequest(readRequest(bytes), &Config, Keys);
  if (it) {
    require(it.value().Statement.Budget <= limits::MaxDeadline);
    require(it.value().Statement.Params.size() <= limits::MaxParameters);
  } else {
    require(makeResponse(it.error()).Status >= 400);
  }
}
