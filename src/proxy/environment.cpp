#include "proxy/environment.h"

#include <algorithm>

namespace peridotfall::proxy {

namespace {

Statement setStatement(const std::string &name, const std::string &value) {
  auto it = makeProxyStatement(StatementKind::Set);
  it.Name = name;
  it.Argument = value;
  return it;
}

Statement prepareStatement(const PreparedStatement &body) {
  auto it = makeProxyStatement(StatementKind::Prepare);
  it.Name = sharedName(body);
  it.Body = body;
  return it;
}

/// The protocol can't unset a single value; only a reset removes it.
bool needsReset(const SessionValues &have, const SessionValues &want) {
  return std::any_of(have.begin(), have.end(),
                     [&](const auto &it) { return !want.contains(it.first); });
}

} // namespace

std::string sharedName(const PreparedStatement &it) {
  return (it.Writes ? "w_" : "r_") + it.Shape;
}

std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const SessionValues &want,
                                 const std::vector<PreparedStatement> &needed) {
  std::vector<Statement> out;
  if (needsReset(have.Set, want)) {
    out.push_back(makeProxyStatement(StatementKind::Reset));
    have = {};
  }
  for (const auto &[name, value] : want) {
    auto it = have.Set.find(name);
    if (it != have.Set.end() && it->second == value)
      continue;
    out.push_back(setStatement(name, value));
    have.Set[name] = value;
  }
  for (const auto &it : needed)
    if (have.PreparedStatements.insert(it).second)
      out.push_back(prepareStatement(it));
  return out;
}

std::size_t distance(const SessionValues &have, const SessionValues &want) {
  std::size_t n = 0;
  for (const auto &[name, value] : want) {
    auto it = have.find(name);
    n += it == have.end() || it->second != value;
  }
  for (const auto &it : have)
    n += !want.contains(it.first);
  return n;
}

} // namespace peridotfall::proxy
