/// \file
/// Routing at the entry: finds the target for a request, sends it to the
/// target's owner, and goes on elsewhere where the answer allows it.

#ifndef PERIDOTFALL_DAEMON_ROUTER_H
#define PERIDOTFALL_DAEMON_ROUTER_H

#include "config/in_force.h"
#include "daemon/fleet.h"
#include "daemon/owner.h"
#include "daemon/read_placer.h"
#include "daemon/views.h"
#include "peridotfall/session_token.h"

#include <atomic>
#include <functional>
#include <memory>

namespace peridotfall {

/// A request with what its caller's session knows.
struct RoutedRequest {
  StatementRequest Request;
  SessionEntry Session;
  GoneFlag Gone;
};

class Router : public std::enable_shared_from_this<Router> {
public:
  Router(http::Loops &loops, const Clock &clock,
         const ConfigurationInForce &config, Fleet &fleet, GroupViews &views,
         Owner &owner);

  /// \param done called once, on any thread.
  void route(RoutedRequest request, OnAnswer done);

private:
  struct Operation;
  using OperationPtr = std::shared_ptr<Operation>;

  void attempt(const OperationPtr &op);
  static void aimAtPrimary(const Operation &op, const DatabaseConfig &database,
                           const GroupView &view, StatementRequest &request);
  void send(const OperationPtr &op, StatementRequest request);
  void sendLocal(const OperationPtr &op, StatementRequest request);
  void sendRemote(const OperationPtr &op, const Member &owner,
                  const StatementRequest &request);
  void learn(const StatementRequest &request, const StatementAnswer &answer,
             Duration took);
  bool goOn(const OperationPtr &op, const StatementAnswer &answer);
  void answered(const OperationPtr &op, const StatementRequest &sent,
                StatementAnswer answer);
  void end(const OperationPtr &op, StatementAnswer answer);
  void later(Duration pause, std::function<void()> action);
  void routeTransaction(const OperationPtr &op);
  /// \return whether the key of a commit without a transaction is looked up.
  bool asksForCommit(const OperationPtr &op, const StatementAnswer &answer);
  Duration timeLeft(const Operation &op) const;

  http::Loops &Loops;
  const Clock &Time;
  const ConfigurationInForce &Config;
  Fleet &Peers;
  GroupViews &Views;
  Owner &Local;
  ReadPlacer Places;
  std::atomic<std::uint64_t> LastRequest;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_ROUTER_H
