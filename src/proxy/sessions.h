/// \file
/// Caller sessions: the values, prepared statements and transaction of each,
/// and how its statements are executed. Only decides; the ports do the I/O.

#ifndef PERIDOTFALL_PROXY_SESSIONS_H
#define PERIDOTFALL_PROXY_SESSIONS_H

#include "proxy/account_quotas.h"
#include "proxy/attempt_time.h"
#include "proxy/groups.h"
#include "proxy/metrics.h"
#include "proxy/read_hedge.h"
#include "telemetry/events.h"

#include <deque>
#include <map>
#include <string>

namespace peridotfall::proxy {

namespace limits {

/// Share of a statement's limit that it may wait for a primary or one of its
/// connections. While the primary changes, statements queue up; if they could
/// wait for their whole limit, all would time out together with no time left to
/// run. The remaining third is enough to run a queue of several statements.
inline constexpr double PrimaryWaitShare = 0.65;
/// Longest wait of a read for a connection to the chosen target; another target
/// may have a free one. About the execution time of a few statements.
inline constexpr milliseconds ReadWait{120};
/// Share of a statement's limit after which an unanswered read is retried at
/// another target, and the minimum of that time. Without it, all reads at a
/// silent target run into their limit. It is longer than the longest execution
/// of a read, and two such attempts fit into the limit.
inline constexpr double ReadTimeoutShare = 0.4;
inline constexpr milliseconds MinReadTimeout{150};
/// Attempts of one statement, the first included.
inline constexpr unsigned MaxAttempts = 5;
/// Waits for a replica to catch up that are no longer than this don't justify a
/// timer; the read is sent at once.
inline constexpr milliseconds NegligibleWait{3};
/// Retry-after for callers whose statement found no primary: about what is left
/// of a change of primary after a statement has waited for it.
inline constexpr milliseconds PrimaryRetryAfter{400};
/// Retry-after where all connections or slots were taken, unless the queue that
/// refused has reported one: the execution time of some statements.
inline constexpr milliseconds BusyRetryAfter{150};
/// Statements that a session may send before they are answered. Bounds memory.
inline constexpr std::size_t MaxPipelinedStatements = 64;
/// A stopping daemon closes idle sessions after this long. By then no new
/// sessions arrive: its readiness is polled once a second, twice.
inline constexpr milliseconds IdleSessionStopDelay{1'500};
/// Part of the time to stop that is reserved for sending the last answers.
inline constexpr milliseconds LastAnswersReserve{400};
/// Maximum number of values, and of prepared statements, of one session. Bounds
/// memory on a small VM.
inline constexpr std::size_t MaxSessionNames = 256;
/// Bytes of a session's values, and of its prepared statements. They are sent
/// to other daemons with each statement, in messages of limited size.
inline constexpr std::size_t MaxSessionBytes = 1 << 20;

} // namespace limits

/// Sends to callers. Never calls back from within its functions.
class CallerPort {
public:
  virtual ~CallerPort() = default;
  virtual void completeHandshake(CallerId caller) = 0;
  virtual void answer(CallerId caller, const Answer &answer) = 0;
  /// Reports an error that belongs to no statement and ends the session.
  virtual void reject(CallerId caller, const StatementError &why) = 0;
  virtual void close(CallerId caller) = 0;
};

/// Not synchronised.
class Sessions {
public:
  Sessions(Groups &groups, CallerPort &port, ProxyMetrics &metrics,
           const Clock &clock);

  /// \param quotas limits the accounts' operations; without it none is limited.
  void setQuotas(QuotaPort &quotas) { Quotas = &quotas; }
  /// \return whether \p table was applied; one that is not newer than the
  /// current table is ignored.
  bool applyRoutes(const RoutingTable &table);
  const RoutingTable &routes() const { return Table; }
  /// \param at when the store last confirmed that the routes are current.
  void confirmRoutes(TimePoint at) { RoutesConfirmedAt = at; }

  /// \param key the digest of the caller's key; empty: it sent none.
  void start(CallerId caller, const DatabaseName &database,
             const std::optional<KeyDigest> &key);
  void statement(CallerId caller, Statement it);
  void closed(CallerId caller);
  void tick();
  /// Runs the statements that wait for the group's primary.
  void resume(const GroupName &group);
  /// Closes sessions once they are idle or between two statements, and all of
  /// them within \p limit. Open transactions have half of it to finish. Each
  /// statement that was received is answered.
  void stop(Duration limit);
  bool isStopping() const { return StoppingSince.has_value(); }
  /// \return whether the daemon is stopping and all sessions are closed.
  bool isStopped() const { return StoppingSince && All.empty(); }

  std::size_t open() const { return All.size(); }

private:
  struct Transaction {
    bool ReadOnly = false;
    bool Wrote = false;
    Route AssignedRoute;
    std::uint64_t Version = 0; ///< Of the table with AssignedRoute.
    AccountName Account;
    LeaseId Lease;
    TargetName Target;
    /// The next statement is answered with an error.
    bool ConnectionLost = false;
  };
  /// A second copy of a read.
  struct ReadCopy {
    TargetName Target;
    LeaseId Lease;
    Batch Sent;
    TimePoint SentAt;
  };
  /// The execution of a caller's statement, over all its attempts.
  struct StatementRun {
    Statement Request;
    AccountName Account;
    Route AssignedRoute;
    std::uint64_t Version = 0; ///< Of the table with AssignedRoute.
    std::uint64_t Serial = 0;
    TimePoint StartedAt;
    TimePoint Deadline;
    unsigned Attempts = 0;
    /// Attempts refused as busy, where waits follow from the time left.
    unsigned BusyRefusals = 0;
    bool PrimaryOnly = false;
    /// A copy may have run at a target since the last admission.
    bool MayHaveRun = false;
    bool InFlight = false;          ///< Counted as running at its target.
    bool Parked = false;            ///< Waiting for a primary.
    std::optional<TimePoint> RunAt; ///< Waiting for a replica or a slot.
    std::optional<TimePoint> WaitingSince;
    WaitReason WaitingFor = WaitReason::Primary;
    TargetName Avoid;
    TargetName Target;
    LeaseId Lease;
    Batch Sent;
    TimePoint SentAt;
    TimePoint FirstSentAt;
    /// Of a single read at a target chosen by placement; empty: it can't be
    /// hedged.
    std::optional<ReadDemand> Demand;
    std::optional<ReadCopy> Hedge;
    bool Hedged = false;
  };
  struct Session {
    CallerId Id;
    DatabaseName Database;
    std::optional<KeyDigest> Key;
    AccountName Account; ///< Empty: the caller needs no key.
    /// The key was removed; the session ends once its statement has ended.
    bool KeyRemoved = false;
    bool HandshakeDone = false;
    SessionValues Set;
    std::map<std::string, PreparedStatement> PreparedStatements;
    TransactionState State = TransactionState::Idle;
    Transaction Open; ///< Valid unless State is Idle.
    Position LastCommit;
    std::deque<Statement> Inbox;
    std::optional<StatementRun> Current;
    TimePoint LastActive;
    /// Statements that still run before the session is closed for a stop.
    std::optional<std::size_t> LeftBeforeStop;
  };

  Session *find(CallerId caller);
  void acceptOrReject(Session &session);
  /// Ends a session that has not begun. \p session is gone afterwards.
  void rejectStart(const Session &session, telemetry::Event event,
                   const StatementError &why);
  /// \return the account of a session by the current table; nothing if its key
  /// is needed and belongs to no account.
  std::optional<AccountName> accountOf(const Session &session) const;
  /// Applies changes of the accounts to a session that has begun.
  void updateAccount(Session &session);
  void endForRemovedKey(Session &session);
  void advance(Session &session);
  void handle(Session &session, Statement it);
  void handleLocal(Session &session, const Statement &it);
  bool resolve(Session &session, Statement &it);
  void begin(Session &session, const Statement &it);
  void rollBack(Session &session);
  void deallocate(Session &session, const std::string &name);
  void set(Session &session, const Statement &it);
  void prepare(Session &session, const Statement &it);

  void beginRun(Session &session, Statement it);
  using AdmissionHandler = void (Sessions::*)(Session &, const QuotaDecision &);
  /// Asks whether the account may run another operation.
  void admitOperation(Session &session, AdmissionHandler then);
  void handleAdmission(Session &session, const QuotaDecision &decision);
  /// Continues a session's statement, unless its account has changed.
  void proceed(Session &session);
  void place(Session &session);
  void placeRead(Session &session, Group &group);
  void placeAtPrimary(Session &session, Group &group);
  /// \return when the answer stops being useful to the caller (the route's
  /// goal); nothing: it has no such time.
  static std::optional<TimePoint> goalOf(const StatementRun &run);
  /// \return when a statement stops waiting for a primary.
  TimePoint primaryWaitDeadline(const StatementRun &run) const;
  /// \return whether a statement waits for a primary, and when to retry if not.
  PrimaryWait primaryWait(const StatementRun &run);
  /// \return whether waits follow from the time that callers have left.
  bool hasAccounts() const { return Table.Accounts.has_value(); }
  void park(Session &session);
  /// Places the statement again at \p until.
  void pause(StatementRun &run, WaitReason place, TimePoint until);
  void beginWait(StatementRun &run, WaitReason place);
  void endWait(StatementRun &run);
  void countAnswers(const BatchResult &result);
  void countRead(const StatementRun &run, const Answer &answer);
  Batch composeFirstBatch(const Session &session, bool atPrimary,
                          std::optional<Position> notBefore) const;
  void sendFirstBatch(Session &session, const TargetName &target,
                      bool atPrimary, std::optional<Position> notBefore);
  /// \return whether it was sent to the current leader of its group.
  bool isAtPrimary(const StatementRun &run) const;
  void handleFirstResult(Session &session, const BatchResult &result);
  void handleFirstAnswers(Session &session, const BatchResult &result);
  void runOnLease(Session &session);
  void handleLeaseResult(Session &session, const BatchResult &result);
  void handleLostLease(Session &session, const BatchResult &result);
  /// \param retryAfter when the target expects to have room; empty: not known.
  void retry(Session &session, ErrorKind why,
             std::optional<milliseconds> retryAfter = {});
  void retryBusy(Session &session, TimePoint now);
  /// Tries again at another target, or later if all have refused.
  void retryWhileTimeLeft(Session &session,
                          std::optional<milliseconds> retryAfter);
  /// \return the attempts that failed for another reason than load.
  static unsigned failedAttempts(const StatementRun &run) {
    return run.Attempts - run.BusyRefusals;
  }
  Duration minAttemptTimeOf(const StatementRun &run) const;
  milliseconds primaryRetryAfter(const StatementRun &run);
  void report(const StatementRun &run, Group &group, const BatchResult &result);

  /// \return how long a read waits for a connection.
  Duration readWaitOf(const StatementRun &run) const;
  LeaseRequest makeRequest(const StatementRun &run, const TargetName &target,
                           Duration wait) const;
  /// Sends a second copy of a read that is not answered in the usual time.
  void hedgeIfLate(Session &session, TimePoint now);
  /// \return where a second copy of the read may run; empty if nowhere.
  TargetName chooseHedge(const StatementRun &run, Group &group);
  void handleHedgeAdmission(Session &session, const QuotaDecision &decision);
  void sendHedge(Session &session, Group &group, const TargetName &target);
  void handleHedgeResult(Session &session, const BatchResult &result);
  /// Exchanges a read's two copies.
  static void swapCopies(StatementRun &run);
  /// Lets a read's second copy end by itself; its answer is not used.
  void leaveToEnd(StatementRun &run);
  /// Ends a copy of a read that another copy has answered.
  void endUnusedCopy(std::uint64_t serial, const BatchResult &result);

  void deliver(Session &session, Answer answer);
  void rejectRemoved(Session &session, const Statement &it);
  void answerDone(Session &session);
  void answerError(Session &session, ErrorKind kind, std::string detail);
  void refuse(Session &session, milliseconds retryAfter, const char *why);
  void answerUnknownOutcome(Session &session, const char *why);
  /// Answers a statement that no target can run in its session's state.
  void rejectSetup(Session &session, const StatementError &why);
  void releaseLease(LeaseId lease);
  using RunHandler = void (Sessions::*)(Session &, const BatchResult &);
  OnBatch ifStillCurrent(const Session &session, RunHandler then);
  void logServed(const Session &session, const Answer &answer) const;
  /// \return the time since the store last confirmed the routes.
  milliseconds routesAge() const;
  void tickSession(Session &session, TimePoint now);
  /// \return whether a session without a running statement is to be closed for
  /// a stop.
  bool isStopDue(const Session &session) const;
  /// Refuses what the session has not begun, and closes it.
  void closeForStop(Session &session);
  /// Answers a statement that is still running at the end of a stop.
  void endForStop(Session &session);

  Groups &Targets;
  CallerPort &Port;
  ProxyMetrics &Metrics;
  const Clock &Time;
  QuotaPort *Quotas = nullptr;
  RoutingTable Table;
  TimePoint RoutesConfirmedAt;
  std::map<CallerId, Session> All;
  std::uint64_t LastSerial = 0;
  ReadHedge Hedges;
  /// Copies of reads whose answers are not used, by the read's serial.
  std::map<std::uint64_t, StatementRun> UnusedCopies;
  std::optional<TimePoint> StoppingSince;
  TimePoint TransactionStopDeadline{};
  TimePoint StopDeadline{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SESSIONS_H
