/// \file
/// Callers: sessions that roam between daemons, order, pay and read, and ask
/// again as a fair caller does.

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
  /// \param pick the balancer: a daemon for the next request.
  Callers(Setting setting, NodeId node, CallerOptions options,
          std::function<Daemon *()> pick)
      : At(setting), Node(node), Options(options), Pick(std::move(pick)) {}

  void start();
  void stop() { Stopped = true; }

private:
  struct Session {
    SessionId Id;
    std::string Token;
  };
  /// One thing a caller wants done, over all its requests for it.
  struct Wish {
    std::size_t Session = 0;
    RequestKind Kind = RequestKind::Write;
    EffectId Effect;
    std::string Key;
    int TriesLeft = 0;
    std::size_t Request = 0; ///< Place in the history.
    int Part = 0;            ///< Of a transaction: steps that are done.
    std::string Transaction;
  };

  void next(std::size_t session);
  void ask(Wish wish);
  void send(const Wish &wish, const StatementRequest &request, int refusals);
  StatementRequest requestFor(const Wish &wish) const;
  void replied(Wish wish, const Result<CallerReply> &reply);
  void record(const Wish &wish, const CallerReply &reply);
  bool inTransaction(Wish wish, const Result<CallerReply> &reply);
  void after(Wish wish, bool known, Outcome outcome);

  Setting At;
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
