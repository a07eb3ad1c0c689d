/// \file
/// Routing at the entry daemon: selects the target of a request, sends the
/// request to the target's owner, and retries where the answer allows it.

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

/// A request and the state of its caller's session.
struct RoutedRequest {
  StatementRequest Request;
  SessionEntry Session;
  CallerGoneFlag Gone;
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
  /// Sets the request's target to the primary, or to another target if
  /// the primary is unknown or attempts on it failed.
  static void selectPrimary(const Operation &op, const DatabaseConfig &database,
                            const GroupView &view, StatementRequest &request);
  void send(const OperationPtr &op, StatementRequest request);
  void sendLocal(const OperationPtr &op, StatementRequest request);
  void sendRemote(const OperationPtr &op, const Member &owner,
                  const StatementRequest &request);
  void recordAnswer(const StatementRequest &request,
                    const StatementAnswer &answer, Duration took);
  /// \return whether the request is attempted again; takes from the database's
  /// retry budget if so.
  bool shouldRetry(const OperationPtr &op, const StatementAnswer &answer);
  void handleAnswer(const OperationPtr &op, const StatementRequest &sent,
                    StatementAnswer answer);
  void finish(const OperationPtr &op, StatementAnswer answer);
  void runAfter(Duration pause, std::function<void()> action);
  void routeTransaction(const OperationPtr &op);
  /// Starts a lookup of the outcome of a commit whose transaction is gone, if
  /// the request has a key. \return whether a lookup was started.
  bool lookUpCommit(const OperationPtr &op, const StatementAnswer &answer);
  Duration timeLeft(const Operation &op) const;

  http::Loops &Loops;
  const Clock &Time;
  const ConfigurationInForce &Config;
  Fleet &Peers;
  GroupViews &Views;
  Owner &LocalOwner;
  ReadPlacer Placer;
  std::atomic<std::uint64_t> LastRequest;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_ROUTER_H
