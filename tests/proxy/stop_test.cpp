#include "fixture.h"

#include <cstdlib>
#include <random>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr milliseconds StopLimit{6'000};
constexpr milliseconds Step{20};

struct StopFixture : ProxyFixture {
  bool isClosed(CallerId caller) const {
    const auto &closed = CallerSide.Closed;
    return std::find(closed.begin(), closed.end(), caller) != closed.end();
  }
  /// Begins a stop and passes time until just before idle sessions are closed.
  void stopUntilIdleLimit() {
    Callers.stop(StopLimit);
    pass(proxy::limits::IdleSessionStopDelay - Step);
  }
  void answerNext() {
    auto id = busyAt("p");
    REQUIRE(id);
    answer(*id, success(Links.Connections.at(*id).Unanswered.front(),
                        TransactionState::Idle));
  }
};

/// Callers that send at once after an answer, some of them several statements
/// ahead, and targets that take a while.
struct BusyCallers : StopFixture {
  struct Caller {
    CallerId Id;
    std::size_t Ahead = 1;
    std::size_t Sent = 0;
    bool InTransactions = false;
  };

  std::mt19937_64 Random;
  std::vector<Caller> All;
  /// When each unanswered statement at a target is answered.
  std::map<ConnectionId, TimePoint> DoneAt;

  explicit BusyCallers(std::uint64_t seed) : Random(seed) {
    for (std::size_t n = draw(1, 4); n > 0; --n) {
      auto id = session(draw(0, 1) == 0 ? "orders" : "status");
      All.push_back({id, draw(1, 3) == 1 ? draw(2, 8) : 1, 0, draw(0, 2) == 0});
    }
  }
  std::size_t draw(std::size_t from, std::size_t to) {
    return std::uniform_int_distribution<std::size_t>(from, to)(Random);
  }
  void sendNext(Caller &it) {
    constexpr StatementKind Transaction[] = {
        StatementKind::Begin, StatementKind::Write, StatementKind::Read,
        StatementKind::Commit};
    auto kind = it.InTransactions ? Transaction[it.Sent % 4]
                : draw(0, 1) == 0 ? StatementKind::Write
                                  : StatementKind::Read;
    ++it.Sent;
    send(it.Id, kind, "text");
  }
  void sendAll() {
    for (auto &it : All)
      while (!isClosed(it.Id) && it.Sent < answers(it.Id).size() + it.Ahead)
        sendNext(it);
  }
  void serveDue() {
    completeHandshakes();
    for (auto &[id, it] : Links.Connections) {
      if (!it.Open || it.Unanswered.empty())
        continue;
      auto [at, isNew] = DoneAt.try_emplace(
          id, Time.now() + milliseconds(draw(1, 20) == 1 ? draw(0, 3'000)
                                                         : draw(0, 60)));
      if (Time.now() < at->second)
        continue;
      DoneAt.erase(id);
      const auto &next = it.Unanswered.front();
      bool ends = next.Kind == StatementKind::Rollback ||
                  next.Kind == StatementKind::Commit;
      bool begins = next.Kind == StatementKind::Begin ||
                    next.Kind == StatementKind::BeginRead;
      bool wasOpen = Open.contains(id);
      if (begins)
        Open.insert(id);
      if (ends)
        Open.erase(id);
      answer(id, success(next, (wasOpen || begins) && !ends
                                   ? TransactionState::Open
                                   : TransactionState::Idle));
    }
  }
  void run(Duration span) {
    for (Duration done{}; done < span; done += Step) {
      sendAll();
      pass(Step);
      serveDue();
    }
  }

  std::set<ConnectionId> Open; ///< Connections with a transaction.
};

/// \return the number of stops to simulate.
std::size_t stopsWanted() {
  constexpr std::size_t Few = 300;
  const char *given = std::getenv("PERIDOTFALL_STOPS");
  return given ? std::strtoul(given, nullptr, 10) : Few;
}

} // namespace

// Guards against writes of a session that sends at once after each answer,
// which the process takes until its end and leaves unanswered.
TEST_CASE_FIXTURE(StopFixture,
                  "session never idle, it is closed after an answer") {
  auto caller = session("orders");
  stopUntilIdleLimit();
  send(caller, StatementKind::Write, "WRITE a 1");
  pass(2 * Step);
  CHECK_FALSE(isClosed(caller));
  serve("p", TransactionState::Idle);
  CHECK(last(caller).ok());
  CHECK(isClosed(caller));
  CHECK(Callers.isStopped());
}

TEST_CASE_FIXTURE(StopFixture,
                  "statements sent ahead, those received by the time to close "
                  "run, later ones are refused") {
  auto caller = session("orders");
  stopUntilIdleLimit();
  send(caller, StatementKind::Write, "WRITE a 1");
  send(caller, StatementKind::Write, "WRITE b 1");
  completeHandshakes();
  pass(2 * Step);
  answerNext();
  REQUIRE(answers(caller).size() == 1);
  send(caller, StatementKind::Write, "WRITE c 1");
  serve("p", TransactionState::Idle);
  REQUIRE(answers(caller).size() == 3);
  CHECK(answers(caller)[1].ok());
  CHECK(last(caller).Error->Kind == ErrorKind::Busy);
  CHECK(isClosed(caller));
}

// Guards against an answer that is lost with the process: the statement's own
// limit is longer than the time to stop.
TEST_CASE_FIXTURE(StopFixture,
                  "target silent until the end of the stop, each statement is "
                  "answered before") {
  RoutingTable table = Callers.routes();
  ++table.Version;
  table.Routes.at(DatabaseName("orders")).StatementLimit =
      std::chrono::seconds(30);
  Callers.applyRoutes(table);
  auto writing = session("orders");
  auto committing = session("orders");
  auto inTransaction = session("orders");
  for (auto it : {committing, inTransaction}) {
    send(it, StatementKind::Begin);
    send(it, StatementKind::Write, "WRITE a 1");
    serve("p", TransactionState::Open);
  }
  send(writing, StatementKind::Write, "WRITE a 1");
  send(committing, StatementKind::Commit, "COMMIT");
  send(inTransaction, StatementKind::Write, "WRITE b 1");
  completeHandshakes();
  Callers.stop(StopLimit);
  pass(StopLimit - proxy::limits::LastAnswersReserve + Step);
  CHECK(last(writing).Error->Kind == ErrorKind::InDoubt);
  CHECK(last(committing).Error->Kind == ErrorKind::InDoubt);
  CHECK(last(inTransaction).Error->Kind == ErrorKind::Busy);
  pass(Step);
  CHECK(Callers.isStopped());
}

TEST_CASE_FIXTURE(StopFixture,
                  "transaction that never pauses, it is ended after half of "
                  "the time") {
  auto caller = session("orders");
  send(caller, StatementKind::Begin);
  send(caller, StatementKind::Write, "WRITE a 1");
  serve("p", TransactionState::Open);
  Callers.stop(StopLimit);
  for (Duration done{}; done < StopLimit && !isClosed(caller); done += Step) {
    send(caller, StatementKind::Write, "WRITE b 1");
    pass(Step);
    serve("p", TransactionState::Open);
    CHECK(done < StopLimit / 2 + Step);
  }
  CHECK(last(caller).ok());
  CHECK(isClosed(caller));
}

TEST_CASE("any stop among busy callers, each statement received is answered "
          "before its session is closed") {
  std::size_t unanswered = 0;
  std::size_t open = 0;
  for (std::size_t seed = 1; seed <= stopsWanted(); ++seed) {
    BusyCallers it(seed);
    it.run(milliseconds(it.draw(0, 400)));
    it.Callers.stop(StopLimit);
    for (Duration done{}; done < StopLimit && !it.Callers.isStopped();
         done += 5 * Step)
      it.run(5 * Step);
    open += !it.Callers.isStopped();
    for (const auto &caller : it.All)
      unanswered += caller.Sent - it.answers(caller.Id).size();
  }
  CHECK(unanswered == 0);
  CHECK(open == 0);
}
