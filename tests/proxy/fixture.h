/// \file
/// One daemon's sessions and groups with three fake targets, in virtual time.

#ifndef PERIDOTFALL_TESTS_PROXY_FIXTURE_H
#define PERIDOTFALL_TESTS_PROXY_FIXTURE_H

#include "proxy/sessions.h"

#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

/// Records the statements sent to targets, by connection and in order.
struct FakeTargets final : TargetPort {
  struct Connection {
    TargetName Target;
    AccountName Account;
    bool Open = true;
    std::deque<Statement> Unanswered;
    std::vector<Statement> Seen;
  };

  ConnectionId open(const TargetEntry &target,
                    const AccountName &account) override {
    ConnectionId id{++Last};
    Connections[id].Target = target.Name;
    Connections[id].Account = account;
    Opening.push_back(id);
    return id;
  }
  void send(ConnectionId connection,
            const std::vector<Statement> &statements) override {
    auto &it = Connections.at(connection);
    it.Unanswered.insert(it.Unanswered.end(), statements.begin(),
                         statements.end());
    it.Seen.insert(it.Seen.end(), statements.begin(), statements.end());
  }
  void close(ConnectionId connection) override {
    Connections.at(connection).Open = false;
  }

  std::uint64_t Last = 0;
  std::map<ConnectionId, Connection> Connections;
  std::vector<ConnectionId> Opening;
};

struct FakeCallers final : CallerPort {
  void completeHandshake(CallerId caller) override {
    HandshakesDone.push_back(caller);
  }
  void answer(CallerId caller, const Answer &answer) override {
    Answers[caller].push_back(answer);
  }
  void reject(CallerId caller, const StatementError &why) override {
    Rejected[caller] = why;
  }
  void close(CallerId caller) override { Closed.push_back(caller); }

  std::vector<CallerId> HandshakesDone;
  std::map<CallerId, std::vector<Answer>> Answers;
  std::map<CallerId, StatementError> Rejected;
  std::vector<CallerId> Closed;
};

/// There is no other daemon, so nothing is relayed.
struct NoRelay final : RelayPort {
  void begin(const VmName &, LeaseId, const LeaseRequest &, Batch,
             OnBatch) override {
    FAIL("nothing is relayed here");
  }
  void run(LeaseId, Batch, OnBatch) override {}
  void abandon(LeaseId) override {}
  bool owns(LeaseId) const override { return false; }
};

/// A target that serves two statements at a time.
inline TargetEntry targetEntry(TargetName name, GroupName group,
                               DomainName domain, bool primary) {
  TargetEntry it;
  it.Name = std::move(name);
  it.Group = std::move(group);
  it.Address = "127.0.0.1:1";
  it.Domain = std::move(domain);
  it.Region = RegionName("tartu");
  it.StartId = 1;
  it.Slots = 2;
  it.ClaimsPrimary = primary;
  return it;
}

/// A primary "p" and replicas "r" and "s" of one group. The routes "orders"
/// (primary), "views" (bounded staleness) and "status" (read your writes).
struct ProxyFixture {
  static constexpr Term InTerm = 3;

  ManualClock Time;
  FakeTargets Links;
  FakeCallers CallerSide;
  NoRelay Relay;
  Groups TargetGroups{{VmName("vm"), DomainName("press"), RegionName("tartu")},
                      Links,
                      Relay,
                      Time};
  ProxyMetrics Metrics = makeProxyMetrics();
  Sessions Callers{TargetGroups, CallerSide, Metrics, Time};
  TargetList Entries;
  Position Head{InTerm, 100};
  std::uint64_t LastCaller = 0;
  unsigned LastRequest = 0;

  ProxyFixture() {
    addTarget("p", true);
    addTarget("r", false);
    addTarget("s", false);
    TargetGroups.updateTargets(Entries);
    RoutingTable table;
    table.Version = 1;
    table.Groups[GroupName("ledger")] = {16, false};
    addRoute(table, "orders", Guarantee::Primary);
    addRoute(table, "views", Guarantee::BoundedStaleness);
    addRoute(table, "status", Guarantee::ReadYourWrites);
    TargetGroups.applySettings(table.Groups);
    Callers.applyRoutes(table);
  }

  void addTarget(const char *name, bool primary) {
    auto it = targetEntry(TargetName(name), GroupName("ledger"),
                          DomainName(std::string("domain-") + name), primary);
    it.Revision = Entries.size() + 1;
    Entries[it.Name] = it;
  }
  static void addRoute(RoutingTable &table, const char *name, Guarantee reads) {
    Route it;
    it.Database = DatabaseName(name);
    it.Group = GroupName("ledger");
    it.Reads = reads;
    if (reads != Guarantee::Primary)
      it.MaxStaleness = milliseconds(1'500);
    table.Routes[it.Database] = it;
  }

  CallerId session(const char *database) {
    CallerId id{++LastCaller};
    Callers.start(id, DatabaseName(database), std::nullopt);
    return id;
  }
  void send(CallerId caller, StatementKind kind, const char *text = "") {
    Statement it;
    it.Kind = kind;
    it.Id = "q" + std::to_string(++LastRequest);
    it.Text = text;
    Callers.statement(caller, it);
  }
  const std::vector<Answer> &answers(CallerId caller) {
    return CallerSide.Answers[caller];
  }
  const Answer &last(CallerId caller) {
    REQUIRE_FALSE(CallerSide.Answers[caller].empty());
    return CallerSide.Answers[caller].back();
  }

  /// Completes the handshake of every connection that is being opened.
  void completeHandshakes() {
    while (!Links.Opening.empty()) {
      auto id = Links.Opening.back();
      Links.Opening.pop_back();
      TargetGroups.withPool(Links.Connections.at(id).Target, id,
                            [&](TargetPool &pool) { pool.opened(id); });
    }
  }
  /// \return a connection to the target with an unanswered statement.
  std::optional<ConnectionId> busyAt(const char *target) {
    for (const auto &[id, it] : Links.Connections)
      if (it.Open && it.Target.Value == target && !it.Unanswered.empty())
        return id;
    return std::nullopt;
  }
  /// Answers the oldest statement on a connection.
  Statement answer(ConnectionId id, Answer answer) {
    auto &line = Links.Connections.at(id);
    REQUIRE_FALSE(line.Unanswered.empty());
    auto out = line.Unanswered.front();
    line.Unanswered.pop_front();
    TargetGroups.withPool(line.Target, id, [&](TargetPool &pool) {
      pool.answered(id, std::move(answer));
    });
    return out;
  }
  Answer success(const Statement &it, TransactionState state) const {
    Answer out;
    bool isOwn = it.Id.empty();
    out.Signature = isOwn ? "-" : "sig-" + it.Id;
    if (it.Kind == StatementKind::Read)
      out.Rows = {"row"};
    out.State = state;
    out.At = Head;
    return out;
  }
  static Answer failure(ErrorKind kind, TransactionState state) {
    Answer out;
    out.Error = StatementError{kind, ""};
    out.State = state;
    return out;
  }
  /// Answers all statements sent to the target, as a healthy one does.
  void serve(const char *target, TransactionState state) {
    completeHandshakes();
    while (auto id = busyAt(target)) {
      const auto &next = Links.Connections.at(*id).Unanswered.front();
      bool ends = next.Kind == StatementKind::Rollback ||
                  next.Kind == StatementKind::Commit;
      bool begins = next.Kind == StatementKind::Begin ||
                    next.Kind == StatementKind::BeginRead;
      answer(*id, success(next, ends     ? TransactionState::Idle
                                : begins ? TransactionState::Open
                                         : state));
    }
  }
  /// Makes the group learn the head of its log from an answer.
  void learnHead() {
    auto caller = session("orders");
    send(caller, StatementKind::Read, "READ a");
    serve("p", TransactionState::Open);
    REQUIRE(last(caller).ok());
  }
  /// \param open starts a session of a route to the primary.
  /// \return \p count callers, each of which has sent a read to the primary,
  /// whose last answer took 60 ms.
  std::vector<CallerId> readAtSlowPrimary(const std::function<CallerId()> &open,
                                          std::size_t count) {
    constexpr milliseconds AnswerTime{60};
    auto first = open();
    send(first, StatementKind::Read, "READ a");
    completeHandshakes();
    Time.advance(AnswerTime);
    serve("p", TransactionState::Open);
    REQUIRE(last(first).ok());
    std::vector<CallerId> out;
    while (out.size() < count) {
      out.push_back(open());
      send(out.back(), StatementKind::Read, "READ a");
    }
    pass(milliseconds(20));
    return out;
  }
  void pass(Duration span) {
    constexpr milliseconds Step{20};
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      TargetGroups.tick();
      Callers.tick();
    }
  }
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_TESTS_PROXY_FIXTURE_H
