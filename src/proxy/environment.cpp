#include "proxy/environment.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace peridotfall::proxy {

namespace {

std::string nameOf(std::uint64_t number) { return fmt::format("p{}", number); }

Statement setStatement(const std::string &name, const std::string &value) {
  auto it = makeProxyStatement(StatementKind::Set);
  it.Name = name;
  it.Argument = value;
  return it;
}

/// The protocol can't unset a single value; only a reset removes it.
bool needsReset(const ConnectionEnvironment &have, const SessionValues &want) {
  return have.NeedsReset ||
         std::any_of(have.Set.begin(), have.Set.end(),
                     [&](const auto &it) { return !want.contains(it.first); });
}

bool hasRoomFor(const ConnectionEnvironment &it,
                const PreparedStatement &body) {
  return it.Numbers.empty() ||
         (it.Numbers.size() < limits::MaxPreparedPerConnection &&
          it.ShapeBytes + body.Shape.size() <=
              limits::MaxPreparedBytesPerConnection);
}

/// Removes the statement that was prepared first.
Statement planRemoval(ConnectionEnvironment &have) {
  auto &numbers = have.Numbers;
  auto oldest = std::min_element(
      numbers.begin(), numbers.end(),
      [](const auto &a, const auto &b) { return a.second < b.second; });
  auto it = makeProxyStatement(StatementKind::Deallocate);
  it.Name = nameOf(oldest->second);
  have.ShapeBytes -= oldest->first.Shape.size();
  numbers.erase(oldest);
  return it;
}

void planPrepare(ConnectionEnvironment &have, const PreparedStatement &body,
                 std::vector<Statement> &out) {
  if (have.Numbers.contains(body))
    return;
  while (!hasRoomFor(have, body))
    out.push_back(planRemoval(have));
  have.Numbers[body] = ++have.LastNumber;
  have.ShapeBytes += body.Shape.size();
  auto it = makeProxyStatement(StatementKind::Prepare);
  it.Name = nameOf(have.LastNumber);
  it.Body = body;
  out.push_back(std::move(it));
}

} // namespace

std::optional<std::string> preparedName(const ConnectionEnvironment &it,
                                        const PreparedStatement &body) {
  auto known = it.Numbers.find(body);
  if (known == it.Numbers.end())
    return std::nullopt;
  return nameOf(known->second);
}

void forgetPrepared(ConnectionEnvironment &it) {
  it.Numbers.clear();
  it.ShapeBytes = 0;
}

std::string earlierName(const PreparedStatement &it) {
  return (it.Writes ? "w_" : "r_") + it.Shape;
}

void invalidate(ConnectionEnvironment &it) {
  auto last = it.LastNumber;
  it = {};
  it.LastNumber = last;
  it.NeedsReset = true;
}

std::vector<Statement> planSetup(ConnectionEnvironment &have,
                                 const SessionValues &want,
                                 const std::vector<PreparedStatement> &needed) {
  std::vector<Statement> out;
  if (needsReset(have, want)) {
    out.push_back(makeProxyStatement(StatementKind::Reset));
    invalidate(have);
    have.NeedsReset = false;
  }
  for (const auto &[name, value] : want) {
    auto it = have.Set.find(name);
    if (it != have.Set.end() && it->second == value)
      continue;
    out.push_back(setStatement(name, value));
    have.Set[name] = value;
  }
  for (const auto &it : needed)
    planPrepare(have, it, out);
  return out;
}

std::size_t distance(const ConnectionEnvironment &have,
                     const SessionValues &want,
                     const std::vector<PreparedStatement> &needed) {
  std::size_t n = have.NeedsReset;
  for (const auto &[name, value] : want) {
    auto it = have.Set.find(name);
    n += it == have.Set.end() || it->second != value;
  }
  for (const auto &it : have.Set)
    n += !want.contains(it.first);
  for (const auto &it : needed)
    n += !have.Numbers.contains(it);
  return n;
}

} // namespace peridotfall::proxy
