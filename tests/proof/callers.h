/// \file
/// Callers: sessions that use any daemon, write and read, and retry only where
/// the outcome or an idempotency key makes it safe.

#ifndef PERIDOTFALL_PROOF_CALLERS_H
#define PERIDOTFALL_PROOF_CALLERS_H

#include "proof/daemon.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peridotfall::proof {

struct CallerOptions {
  std::size_t Sessions = 8;
  milliseconds ShortestPause{20};
  milliseconds LongestPause{120};

  auto operator<=>(const CallerOptions &) const = default;
};

class Callers {
public:
  /// \param pick load balancer: returns the daemon for the next request.
  Callers(RunContext context, NodeId node, CallerOptions options,
          std::function<Daemon *()> pick)
      : Context(context), Node(node), Options(options), Pick(std::move(pick)) {}

  void start();
  void stop() { Stopped = true; }

private:
  struct Session {
    SessionId Id;
    std::string Token;
  };
  /// One read, write or transaction of a caller, with all its retries.
  struct Task {
    std::size_t Session = 0;
    RequestKind Kind = RequestKind::Write;
    EffectId Effect;
    std::string Key;
    int AttemptsLeft = 0;
    std::size_t Request = 0; ///< Index in the history.
    int Part = 0;            ///< Of a transaction: number of steps done.
    std::string Transaction;
  };

  void next(std::size_t session);
  void beginRequest(Task task);
  void send(const Task &task, const StatementRequest &request, int refusals);
  StatementRequest requestFor(const Task &task) const;
  void replied(Task task, const Result<CallerReply> &reply);
  void record(const Task &task, const CallerReply &reply);
  bool inTransaction(Task task, const Result<CallerReply> &reply);
  void after(Task task, bool known, Outcome outcome);

  RunContext Context;
  NodeId Node;
  CallerOptions Options;
  std::function<Daemon *()> Pick;
  std::vector<Session> Sessions;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastEffect = 0;
  bool Stopped = false;
};

} // namespace peridotfall::proof

#endif // PERIDOTFALL_PROOF_CALLERS_H
