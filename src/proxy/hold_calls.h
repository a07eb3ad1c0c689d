/// \file
/// Calls between daemons about held writes: from the failover leader to the
/// connection holders, and their queries to it.

#ifndef PERIDOTFALL_PROXY_HOLD_CALLS_H
#define PERIDOTFALL_PROXY_HOLD_CALLS_H

#include "http/message.h"
#include "proxy/failover_controller.h"
#include "proxy/relay.h"

#include <functional>
#include <string>

namespace peridotfall::proxy {

namespace limits {

/// Timeout of a call; the answer waits for the commits that are under way.
inline constexpr milliseconds HoldCallTimeout = WriteDrain + milliseconds(200);

} // namespace limits

/// All calls on the loop's thread.
class HoldCalls {
public:
  HoldCalls(CallPort &calls, Groups &groups, FailoverController &failover)
      : Links(calls), Targets(groups), Failover(failover) {}

  /// Tells a daemon of a hold or its end.
  /// \param address of the daemon.
  /// \param done told whether the daemon holds the writes; may be empty.
  void hold(const std::string &address, const WriteHold &hold,
            std::function<void(bool)> done);
  /// Asks the failover leader which holds are in force.
  /// \param address of the leader.
  void query(const std::string &address);
  /// Answers a request of another daemon.
  /// \return whether the path belongs to this protocol.
  bool handle(const http::Request &request, const http::Respond &respond);

private:
  CallPort &Links;
  Groups &Targets;
  FailoverController &Failover;
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_HOLD_CALLS_H
