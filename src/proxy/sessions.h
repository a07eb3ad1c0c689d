/// \file
/// Sessions of callers: what each has set, prepared and written, and how each
/// of its statements is run. Decisions only; bytes are moved by the ports.

#ifndef PERIDOTFALL_PROXY_SESSIONS_H
#define PERIDOTFALL_PROXY_SESSIONS_H

#include "proxy/groups.h"
#include "proxy/metrics.h"

#include <deque>
#include <map>
#include <string>

namespace peridotfall::proxy {

namespace limits {

/// Share of a statement's limit that it may wait for a primary or one of its
/// connections. Load: a change of primary. Harm: all that waits runs into its
/// limit together with no time left to run. Reason: the third that is left is
/// the work of a queue of several statements.
inline constexpr double PrimaryWaitShare = 0.65;
/// Longest wait of a read for a connection to the target chosen for it;
/// another target may have one. Reason: a few statements' time.
inline constexpr milliseconds ReadWait{120};
/// Share of a statement's limit after which a read that got no answer is
/// tried at another target, and the least such time. Load: a target that is
/// silent. Harm: all its reads run into their limit. Reason: longer than the
/// longest work of a read, and two such tries fit into the limit.
inline constexpr double ReadPatienceShare = 0.4;
inline constexpr milliseconds LeastReadPatience{150};
/// Tries of one statement, the first included.
inline constexpr unsigned MostTries = 5;
/// Time that a try needs at the least to be worth it.
inline constexpr milliseconds LeastTry{20};
/// Longest wait of a read for a replica to catch up that is not worth a turn
/// of the timer.
inline constexpr milliseconds NoWait{3};
/// Pause before a statement that a busy target refused is tried there again.
inline constexpr milliseconds BusyPause{15};
/// The same at the most; each pause is one longer than the one before.
inline constexpr milliseconds MostBusyPause{120};
/// When a caller whose statement found no primary shall come back: about the
/// rest of a change of primary once a statement has waited for it.
inline constexpr milliseconds PrimaryRetryAfter{400};
/// The same where connections or slots were taken: some statements' time.
inline constexpr milliseconds BusyRetryAfter{150};
/// Statements that a session may send before their answers. Harm: memory.
inline constexpr std::size_t MostPipelined = 64;
/// A stopping daemon closes idle sessions after this long, when no new ones
/// come to it any more: its readiness is asked once a second, twice.
inline constexpr milliseconds StopQuiet{1'500};
/// What is left of the time to stop for the last answers to leave.
inline constexpr milliseconds StopReserve{400};
/// Values and prepared names of one session. Harm: memory of a small VM.
inline constexpr std::size_t MostSessionNames = 256;

} // namespace limits

/// Moves bytes to callers; never calls back from within.
class CallerPort {
public:
  virtual ~CallerPort() = default;
  virtual void greet(CallerId caller) = 0;
  virtual void answer(CallerId caller, const Answer &answer) = 0;
  /// An error that belongs to no statement; the session ends.
  virtual void reject(CallerId caller, const StatementError &why) = 0;
  virtual void close(CallerId caller) = 0;
};

/// Not synchronised.
class Sessions {
public:
  Sessions(Groups &groups, CallerPort &port, ProxyMetrics &metrics,
           const Clock &clock);

  /// \return whether it is newer than the one in force; else nothing changes.
  bool takeRoutes(const RoutingTable &table);
  const RoutingTable &routes() const { return Table; }
  /// \param at when the store last confirmed that the routes are the newest.
  void confirmRoutes(TimePoint at) { RoutesConfirmedAt = at; }

  void start(CallerId caller, const DatabaseName &database);
  void statement(CallerId caller, Statement it);
  void closed(CallerId caller);
  void tick();
  /// Runs what waits for the group's primary.
  void resume(const GroupName &group);
  /// Ends sessions as they come to rest, all within \p limit; open
  /// transactions have half of it.
  void stop(Duration limit);
  bool isStopping() const { return StoppingSince.has_value(); }
  /// \return whether nothing is left, or the limit is over.
  bool isStopped() const;

  std::size_t open() const { return All.size(); }

private:
  struct Transaction {
    bool ReadOnly = false;
    bool Wrote = false;
    Route Served;
    std::uint64_t Version = 0; ///< Of the routing table that Served is of.
    LeaseId Lease;
    TargetName Target;
    /// Its connection was lost; the next statement says so.
    bool Gone = false;
  };
  /// A caller's statement under way.
  struct Unit {
    Statement It;
    Route Served;
    std::uint64_t Version = 0; ///< Of the routing table that Served is of.
    std::uint64_t Serial = 0;
    TimePoint Began;
    TimePoint Until;
    unsigned Tries = 0;
    bool PrimaryOnly = false;
    bool Placed = false;            ///< Counts at its target.
    bool Parked = false;            ///< Waits for a primary.
    std::optional<TimePoint> RunAt; ///< Waits for a replica or a slot.
    std::optional<TimePoint> WaitsSince;
    WaitPlace WaitsFor = WaitPlace::Primary;
    TargetName Avoid;
    TargetName Target;
    LeaseId Lease;
    Batch Sent;
    TimePoint SentAt;
  };
  struct Session {
    CallerId Id;
    DatabaseName Database;
    bool Greeted = false;
    Values Set;
    std::map<std::string, Prepared> Names;
    TransactionState State = TransactionState::Idle;
    Transaction Open; ///< Unless State is Idle.
    Position Own;     ///< Of its last commit.
    std::deque<Statement> Inbox;
    std::optional<Unit> Current;
    TimePoint Active;
  };

  Session *find(CallerId caller);
  void greet(Session &session);
  void advance(Session &session);
  void handle(Session &session, Statement it);
  void handleLocal(Session &session, const Statement &it);
  bool resolve(Session &session, Statement &it);
  void begin(Session &session, const Statement &it);
  void rollBack(Session &session);
  void deallocate(Session &session, const std::string &name);
  void set(Session &session, const Statement &it);
  void prepare(Session &session, const Statement &it);

  void beginUnit(Session &session, Statement it);
  void place(Session &session);
  void placeRead(Session &session, Group &group);
  void placeAtPrimary(Session &session, Group &group);
  /// \return when its answer is of little use to the caller.
  static std::optional<TimePoint> goalOf(const Unit &unit);
  /// \return when a statement is given up on that waits for a primary.
  static TimePoint primaryWaitEnd(const Unit &unit);
  void park(Session &session);
  /// Lets the statement wait until \p until and be placed again then.
  void pause(Unit &unit, WaitPlace place, TimePoint until);
  void beginWait(Unit &unit, WaitPlace place);
  void endWait(Unit &unit);
  void countAnswers(const BatchResult &result);
  void countRead(const Unit &unit, const Answer &answer);
  Batch composeFirst(const Session &session, bool atPrimary,
                     std::optional<Position> notBefore) const;
  void sendFirst(Session &session, const TargetName &target, bool atPrimary,
                 std::optional<Position> notBefore);
  /// \return whether it was sent to the target that leads its group.
  bool isAtPrimary(const Unit &unit) const;
  void onFirst(Session &session, const BatchResult &result);
  void onFirstWhole(Session &session, const BatchResult &result);
  void runHeld(Session &session);
  void onHeld(Session &session, const BatchResult &result);
  void lostHeld(Session &session, const BatchResult &result);
  void retry(Session &session, ErrorKind why);
  void retryBusy(Session &session, TimePoint now);
  void report(Session &session, Group &group, const BatchResult &result);

  void deliver(Session &session, Answer answer);
  void rejectRemoved(Session &session, const Statement &it);
  void answerDone(Session &session);
  void answerError(Session &session, ErrorKind kind, std::string detail);
  void refuse(Session &session, milliseconds retryAfter, const char *why);
  void giveUpLost(Session &session, const char *why);
  void dropLease(LeaseId lease);
  using UnitHandler = void (Sessions::*)(Session &, const BatchResult &);
  OnBatch guarded(const Session &session, UnitHandler then);
  void logServed(const Session &session, const Answer &answer) const;
  /// \return how long ago the store last confirmed the routes.
  milliseconds routesAge() const;
  void tickSession(Session &session, TimePoint now);

  Groups &Targets;
  CallerPort &Port;
  ProxyMetrics &Counts;
  const Clock &Time;
  RoutingTable Table;
  TimePoint RoutesConfirmedAt;
  std::map<CallerId, Session> All;
  std::uint64_t LastSerial = 0;
  std::optional<TimePoint> StoppingSince;
  TimePoint TransactionsUntil{};
  TimePoint StopAt{};
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_PROXY_SESSIONS_H
