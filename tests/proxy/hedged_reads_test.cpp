#include "fixture.h"

#include <algorithm>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// Reads of the route "views"; the replica that gets a read is silent.
struct HedgeFixture : ProxyFixture {
  CallerId Caller;
  std::string Silent;
  std::string Other;

  void passServing(Duration span, const std::vector<const char *> &targets) {
    for (Duration done{}; done < span; done += milliseconds(20)) {
      completeHandshakes();
      for (const auto *it : targets)
        serve(it, TransactionState::Idle);
      pass(milliseconds(20));
    }
  }
  void readAtSilent() {
    learnHead();
    Caller = session("views");
    send(Caller, StatementKind::Read, "READ a");
    passServing(milliseconds(60), {"p"});
    completeHandshakes();
    Silent = busyAt("r") ? "r" : "s";
    Other = Silent == "r" ? "s" : "r";
    REQUIRE(busyAt(Silent.c_str()));
  }
  void waitForHedge() {
    passServing(milliseconds(140), {"p"});
    completeHandshakes();
    REQUIRE(busyAt(Other.c_str()));
  }
  const Statement &sentTo(const std::string &target) {
    return Links.Connections.at(*busyAt(target.c_str())).Unanswered.front();
  }
  void breakConnection(const std::string &target) {
    auto id = *busyAt(target.c_str());
    TargetGroups.withPool(TargetName(target), id,
                          [&](TargetPool &pool) { pool.closed(id); });
  }
  bool allIdle() {
    auto stats = TargetGroups.poolStats();
    return stats.Idle == stats.Open && stats.Waiting == 0;
  }
};

} // namespace

TEST_CASE_FIXTURE(HedgeFixture,
                  "read at a silent replica, is answered by the other one") {
  readAtSilent();
  waitForHedge();
  CHECK(sentTo(Other).NotBefore == sentTo(Silent).NotBefore);
  CHECK(answers(Caller).empty());
  serve(Other.c_str(), TransactionState::Idle);
  REQUIRE(answers(Caller).size() == 1);
  CHECK(last(Caller).ok());
  CHECK(Metrics.HedgesUsed->Value() == 1);
}

// Guards against a second answer that reaches the caller, or whose connection
// is not returned.
TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, second answer, is discarded with its lease") {
  readAtSilent();
  waitForHedge();
  serve(Other.c_str(), TransactionState::Idle);
  serve(Silent.c_str(), TransactionState::Idle);
  CHECK(answers(Caller).size() == 1);
  passServing(milliseconds(40), {"p"});
  serve("p", TransactionState::Open);
  CHECK(allIdle());
}

TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, first copy answers first, its answer is used") {
  readAtSilent();
  waitForHedge();
  serve(Silent.c_str(), TransactionState::Idle);
  CHECK(answers(Caller).size() == 1);
  serve(Other.c_str(), TransactionState::Idle);
  CHECK(answers(Caller).size() == 1);
  CHECK(Metrics.HedgesUsed->Value() == 0);
}

TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, first copy fails, the second one is used") {
  readAtSilent();
  waitForHedge();
  breakConnection(Silent);
  CHECK(answers(Caller).empty());
  serve(Other.c_str(), TransactionState::Idle);
  REQUIRE(answers(Caller).size() == 1);
  CHECK(last(Caller).ok());
}

TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, second copy fails, the first one is used") {
  readAtSilent();
  waitForHedge();
  breakConnection(Other);
  CHECK(answers(Caller).empty());
  serve(Silent.c_str(), TransactionState::Idle);
  REQUIRE(answers(Caller).size() == 1);
  CHECK(last(Caller).ok());
}

// Guards against copies that keep their connections after the caller has left.
TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, caller leaves, ends both leases") {
  readAtSilent();
  waitForHedge();
  Callers.closed(Caller);
  serve(Other.c_str(), TransactionState::Idle);
  serve(Silent.c_str(), TransactionState::Idle);
  serve("p", TransactionState::Open);
  CHECK(allIdle());
}

// Guards against a silent replica that is never found, because another one
// answers the reads that are sent to it.
TEST_CASE_FIXTURE(HedgeFixture,
                  "hedged read, first copy never answered, counts as failure") {
  readAtSilent();
  waitForHedge();
  serve(Other.c_str(), TransactionState::Idle);
  auto connection = *busyAt(Silent.c_str());
  passServing(milliseconds(800), {"p"});
  CHECK_FALSE(Links.Connections.at(connection).Open);
  CHECK_FALSE(TargetGroups.isUsable(TargetName(Silent)));
}

// Guards against a write that runs twice.
TEST_CASE_FIXTURE(HedgeFixture, "write at a silent primary, has no copy") {
  learnHead();
  Caller = session("orders");
  send(Caller, StatementKind::Write, "WRITE a x");
  passServing(milliseconds(700), {"r", "s"});
  std::size_t sent = 0;
  for (const auto &[id, it] : Links.Connections)
    sent += static_cast<std::size_t>(
        std::count_if(it.Seen.begin(), it.Seen.end(), [](const auto &s) {
          return s.Kind == StatementKind::Write;
        }));
  CHECK(sent == 1);
}

TEST_CASE("hedges, all reads late, are a twentieth of them at most") {
  ReadHedge hedge;
  unsigned sent = 0;
  for (int n = 0; n < 1'000; ++n) {
    hedge.noteRead();
    if (hedge.mayHedge(std::chrono::seconds(1), {}, {})) {
      hedge.spend();
      ++sent;
    }
  }
  CHECK(sent >= 49);
  CHECK(sent <= 51);
}

TEST_CASE("hedge, group refused work for load, is not sent") {
  ReadHedge hedge;
  TimePoint now{std::chrono::seconds(9)};
  CHECK(hedge.mayHedge(milliseconds(200), {}, now));
  CHECK_FALSE(hedge.mayHedge(milliseconds(200), now - milliseconds(300), now));
  CHECK(hedge.mayHedge(milliseconds(200), now - milliseconds(600), now));
}

TEST_CASE("hedge delay, by answers seen, is that of the slowest fiftieth") {
  ReadHedge hedge;
  for (int n = 0; n < 400; ++n)
    hedge.noteAnswer(milliseconds(n % 100 == 0 ? 700 : 8));
  CHECK(hedge.delay() == proxy::limits::MinHedgeDelay);
  for (int n = 0; n < 4'000; ++n)
    hedge.noteAnswer(milliseconds(n % 20 == 0 ? 200 : 8));
  CHECK(hedge.delay() >= milliseconds(200));
  CHECK(hedge.delay() <= milliseconds(250));
}
