/// \file
/// A minimal test double of a target of a database group: runs SQL in an
/// in-memory SQLite database, ships its log to replicas with a lag, has terms
/// and limited connections and slots. The log represents a target's durable
/// state; it is lost when the process ends.
///
/// In addition to the protocol of src/target/wire.h it serves
///
///     POST /log       log records, for its replicas
///     POST /control   {"shipLagMs", "applyLagMs", "serviceMs", "cut",
///                      "leaving"}: fault injection

#ifndef PERIDOTFALL_TESTS_STANDIN_TARGET_H
#define PERIDOTFALL_TESTS_STANDIN_TARGET_H

#include "base/document.h"
#include "http/channel.h"
#include "http/loops.h"
#include "http/server.h"
#include "standin/sql_store.h"
#include "target/target.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotfall::standin {

struct TargetOptions {
  std::string Address;
  unsigned Connections = 16;
  unsigned Slots = 2;
  std::chrono::milliseconds ConnectTime{0};
  std::chrono::microseconds ServiceTime{0}; ///< Statement's time in a slot.
  std::chrono::milliseconds ShipLag{0}; ///< Until a replica's log has a record.
  std::chrono::milliseconds ApplyLag{0}; ///< From then until readers see it.
  bool Primary = false;                  ///< Starts as the primary of term 1.
  std::string Follow; ///< Address of the primary to follow at the start.
};

/// Runs on one loop; only that loop's thread uses its state.
class Target : public std::enable_shared_from_this<Target> {
public:
  Target(http::Loops &loops, TargetOptions options);

  std::error_code start();
  std::uint16_t port() const { return Server->port(); }
  void stop();

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  struct Transaction {
    std::unique_ptr<SqlSession> Session;
    std::vector<LoggedStatement> Writes;
  };
  struct Work {
    StatementRequest Request;
    ConnectionHandle Connection;
    http::Respond Respond;
    std::shared_ptr<std::atomic<bool>> Gone;
    TimePoint Expires;
  };
  struct LogWaiter {
    Position After;
    http::Respond Respond;
  };
  struct AwaitWaiter {
    Term InTerm = 0;
    Position At;
    http::Respond Respond;
  };

  void handle(const http::Request &request, const http::Respond &respond);
  void route(const http::Request &request, const Json &body,
             const http::Respond &respond);
  void handleClosed(ConnectionHandle it);
  void runAfter(std::chrono::microseconds delay, std::function<void()> action);

  // Statements (target_statements.cpp).
  void connect(ConnectionHandle connection, const http::Respond &respond);
  void enqueue(const http::Request &request, const Json &body,
               const http::Respond &respond);
  void runNext();
  void run(const Work &work);
  StatementAnswer execute(const Work &work);
  StatementAnswer begin(const Work &work);
  StatementAnswer runInTransaction(const Work &work, Transaction &it);
  StatementAnswer findCommit(const StatementRequest &request);
  StatementAnswer commit(const Work &work, Transaction &it);
  StatementAnswer write(const StatementRequest &request);
  StatementAnswer read(const StatementRequest &request);
  std::optional<StatementAnswer> rejectWrite(const StatementRequest &request);
  std::optional<StatementAnswer> replay(const StatementRequest &request,
                                        SqlSession &session);
  StatementAnswer makeAnswer(const StatementRequest &request,
                             const SqlResult &result) const;
  /// Stores the answer under the request's key, commits and logs both.
  StatementAnswer commitAndLog(const StatementRequest &request,
                               SqlSession &session,
                               std::vector<LoggedStatement> writes,
                               const SqlResult &result);
  void dropTransactions();

  // Terms and the log (target_log.cpp).
  target::Status status() const;
  Position lastPosition() const;
  http::Response fence(Term term);
  http::Response promote(Term term);
  http::Response follow(Term term, const std::string &address);
  void acceptTerm(Term term);
  void await(const Json &body, const http::Respond &respond);
  void serveLog(const Json &body, const http::Respond &respond);
  http::Response logResponse(Position after) const;
  void append(Record record);
  void wakeWaiters();
  void requestLog();
  void handleLogResponse(std::uint64_t generation, TimePoint requestedAt,
                         const http::CallResult &result);
  void appendReceived(const std::vector<Record> &records);
  void applyUpTo(std::uint64_t index);
  void dropLastRecord();
  http::Response control(const Json &body);

  http::Loops &Pool;
  TargetOptions Options;
  std::shared_ptr<http::Server> Server;
  std::shared_ptr<http::Channel> Upstream;

  Term CurrentTerm = 1;
  bool IsPrimary = false;
  bool Leaving = false;
  bool IsCut = false;
  std::vector<Record> Log;
  std::uint64_t Applied = 0;    ///< Records that readers see.
  Position Received;            ///< Last record received, maybe not logged yet.
  std::uint64_t Generation = 0; ///< Changes with the followed primary.
  TimePoint CaughtUpAt;
  SqlStore Store;

  std::map<ConnectionHandle, Transaction> Transactions;
  std::set<ConnectionHandle> Connected;
  std::deque<Work> Queue;
  unsigned BusySlots = 0;
  std::vector<LogWaiter> LogWaiters;
  std::vector<AwaitWaiter> AwaitWaiters;
};

} // namespace peridotfall::standin

#endif // PERIDOTFALL_TESTS_STANDIN_TARGET_H
