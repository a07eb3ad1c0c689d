/// \file
/// Copies of the store's objects from other daemons, for one that the store
/// turns away or that is cut from it.

#ifndef PERIDOTFALL_PROXY_COPIES_H
#define PERIDOTFALL_PROXY_COPIES_H

#include "http/message.h"
#include "peridotfall/membership.h"
#include "proxy/metrics.h"
#include "proxy/mirror.h"
#include "proxy/object_packer.h"
#include "proxy/relay.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::proxy {

namespace limits {

/// Between two questions of a daemon that has lost the store. Reason: a
/// version of the configuration must be in force within seconds; one small
/// question in half a second costs the one asked a few dozen microseconds.
inline constexpr milliseconds CopyPause{500};
inline constexpr milliseconds CopyLimit{400};

} // namespace limits

/// All calls on the loop.
class Copies {
public:
  Copies(CallPort &calls, ObjectPacker &packer, ProxyMetrics &counts,
         const Clock &clock, std::uint64_t seed)
      : Links(calls), Packer(packer), Counts(counts), Time(clock),
        Random(seed) {}

  /// \param mirror outlives this.
  void add(Mirror &mirror) { Mirrors.push_back(&mirror); }
  void takeMembers(const VmName &self, const std::vector<Member> &live);
  void tick();
  /// \return whether the path is of this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);

private:
  void ask(Mirror &mirror);

  CallPort &Links;
  ObjectPacker &Packer;
  ProxyMetrics &Counts;
  const Clock &Time;
  std::mt19937_64 Random;
  std::vector<Mirror *> Mirrors;
  std::set<std::string> Pending; ///< Kinds whose copy is asked for.
  std::vector<std::string> Addresses;
  TimePoint NextAsk{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_COPIES_H
