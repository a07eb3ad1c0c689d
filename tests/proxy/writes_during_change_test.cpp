#include "failover_fixture.h"

#include <vector>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr milliseconds Step{20};
/// From an accepted promotion until the target leads.
constexpr milliseconds TakeoverDelay{600};

/// A promotion on its way to the platform.
struct Order {
  TargetName Target;
  std::uint64_t Number = 0;
  TimePoint CarriedOutAt{};
  bool IsAnswered = true;
};

struct Takeover {
  TargetName Target;
  TimePoint At{};
};

/// A group whose commits are acknowledged once one replica has them, its
/// callers and the platform. From the moment of the trouble on, replica "r"
/// receives nothing; it is chosen where all have the same records.
struct WritesDuringChangeFixture : SynchronousGroupFixture {
  std::string Primary = "p";
  Position Last{InTerm, 100};
  bool RReceives = true;
  std::vector<Order> Orders;
  std::vector<Takeover> Takeovers;
  std::uint64_t HighestNumber = 0;
  std::size_t CallsSeen = 0;
  unsigned QueriesSeen = 0;
  /// The answers to the first this many calls are lost.
  std::size_t LostAnswers = 0;
  Duration LateBy{}; ///< Of calls whose answer is lost.
  /// Logs that took the lead, by the number of their records.
  std::vector<std::uint64_t> Cuts;
  std::vector<Position> Lost;
  std::set<ConnectionId> InTransaction;

  explicit WritesDuringChangeFixture(bool waits = true) {
    RoutingTable table;
    table.Version = 2;
    table.Groups[GroupName("ledger")] = {16, waits};
    addRoute(table, "orders", Guarantee::Primary);
    table.Routes.at(DatabaseName("orders")).StatementLimit =
        milliseconds(4'000);
    TargetGroups.applySettings(table.Groups);
    Callers.applyRoutes(table);
    Received["p"] = Received["r"] = Received["s"] = Last;
    Head = Last;
    advance(milliseconds(2'600));
  }

  Answer answerOf(const std::string &target, const Statement &it) override {
    bool leads = target == Primary;
    if (it.Kind == StatementKind::Status) {
      auto out = success(it, TransactionState::Idle);
      out.Status = TargetStatus{leads, Last.InTerm, Received[target]};
      return out;
    }
    bool needsLead = it.Kind == StatementKind::Begin ||
                     it.Kind == StatementKind::Write ||
                     it.Kind == StatementKind::Commit;
    if (needsLead && !leads)
      return failure(ErrorKind::ReadOnly, TransactionState::Idle);
    bool isOpen = InTransaction.contains(Answering);
    if (it.Kind == StatementKind::Commit ||
        (it.Kind == StatementKind::Write && !isOpen)) {
      ++Last.Index;
      for (const auto &[name, at] : std::map(Received))
        if (name != "r" || RReceives || name == Primary)
          Received[name] = Last;
      Head = Last;
    }
    if (it.Kind == StatementKind::Begin)
      InTransaction.insert(Answering);
    if (it.Kind == StatementKind::Commit || it.Kind == StatementKind::Rollback)
      InTransaction.erase(Answering);
    return success(it, InTransaction.contains(Answering)
                           ? TransactionState::Open
                           : TransactionState::Idle);
  }

  CallerId openTransaction() {
    auto caller = session("orders");
    send(caller, StatementKind::Begin);
    send(caller, StatementKind::Write, "WRITE a 1");
    for (unsigned n = 0; n < 5; ++n)
      simulateTargets();
    REQUIRE(last(caller).ok());
    return caller;
  }

  void takeOver(const TargetName &target) {
    if (target.Value == Primary)
      return;
    auto has = Received[target.Value];
    Cuts.push_back(has.Index);
    for (const auto &[caller, answers] : CallerSide.Answers)
      for (const auto &it : answers)
        if (it.ok() && it.Signature != "-" && it.At &&
            it.State == TransactionState::Idle && it.At > has)
          Lost.push_back(*it.At);
    Entries.at(TargetName(Primary)).ClaimsPrimary = false;
    Primary = target.Value;
    Last = {Last.InTerm + 1, has.Index};
    for (const auto &[name, at] : std::map(Received))
      Received[name] = Last;
    Head = Last;
    auto &entry = Entries.at(target);
    entry.ClaimsPrimary = true;
    entry.Revision += 10;
    TargetGroups.updateTargets(Entries);
  }

  void carryOut(const Order &it) {
    bool isRefused = it.Number < HighestNumber;
    HighestNumber = std::max(HighestNumber, it.Number);
    if (!isRefused)
      Takeovers.push_back({it.Target, Time.now() + TakeoverDelay});
    if (it.IsAnswered)
      Failover.handlePromoted(
          GroupName("ledger"),
          isRefused ? CallOutcome::Refused : CallOutcome::Done, it.Number);
  }

  void runPlatform() {
    for (; CallsSeen < Calls.Promotions.size(); ++CallsSeen) {
      const auto &call = Calls.Promotions[CallsSeen];
      bool isLost = CallsSeen < LostAnswers;
      Orders.push_back({call.Target, call.Number,
                        Time.now() + (isLost ? LateBy : Duration(Step)),
                        !isLost});
      if (isLost)
        Failover.handlePromoted(GroupName("ledger"), CallOutcome::Unknown,
                                call.Number);
    }
    auto due = [this](TimePoint at) { return Time.now() >= at; };
    for (const auto &it : std::vector(Orders))
      if (due(it.CarriedOutAt))
        carryOut(it);
    std::erase_if(Orders,
                  [&](const Order &it) { return due(it.CarriedOutAt); });
    for (const auto &it : std::vector(Takeovers))
      if (due(it.At))
        takeOver(it.Target);
    std::erase_if(Takeovers, [&](const Takeover &it) { return due(it.At); });
    if (QueriesSeen < Calls.PeerQueries) {
      QueriesSeen = Calls.PeerQueries;
      reportFromPeers({8, 0});
    }
  }

  void advance(Duration span) {
    for (Duration done{}; done < span; done += Step) {
      Time.advance(Step);
      simulateTargets();
      TargetGroups.markUsed(GroupName("ledger"));
      TargetGroups.tick();
      Callers.tick();
      Failover.tick();
      runPlatform();
      simulateTargets();
    }
  }

  /// Connections stay open, and what is sent is read later.
  void darken() {
    PrimaryAnswers = false;
    RReceives = false;
  }
  void comeBack() { PrimaryAnswers = true; }
  void leave() {
    RReceives = false;
    setLeaving("p");
  }
};

/// Writes and a commit at a point of time.
struct Load {
  CallerId Committing;

  static Load prepare(WritesDuringChangeFixture &it) {
    return {it.openTransaction()};
  }
  void send(WritesDuringChangeFixture &it) const {
    it.send(Committing, StatementKind::Commit, "COMMIT");
    it.send(it.session("orders"), StatementKind::Write, "WRITE b 2");
  }
};

struct LoadOutcome {
  std::size_t Lost = 0;
  std::size_t Changes = 0;
  std::size_t Committed = 0;
};

LoadOutcome outcomeOf(WritesDuringChangeFixture &it) {
  LoadOutcome out{it.Lost.size(), it.Cuts.size(), 0};
  for (const auto &[caller, answers] : it.CallerSide.Answers)
    for (const auto &answer : answers)
      out.Committed += answer.ok() && answer.Signature != "-";
  return out;
}

/// The primary is dark for \p dark; the load comes \p at after it went dark.
LoadOutcome runDark(WritesDuringChangeFixture &it, Duration dark, Duration at) {
  auto load = Load::prepare(it);
  it.darken();
  constexpr milliseconds Length{6'000};
  for (Duration done{}; done < Length; done += Step) {
    if (done == at)
      load.send(it);
    if (done == dark)
      it.comeBack();
    it.advance(Step);
  }
  return outcomeOf(it);
}

} // namespace

// Guards against the loss of commits that a primary acknowledges when it is
// back before its replacement takes effect, wherever a write is sent.
TEST_CASE("primary dark and back, commits at any time, none of those "
          "acknowledged is lost") {
  std::size_t lostUnheld = 0;
  LoadOutcome sum;
  for (auto dark : {milliseconds(900), milliseconds(1'200), milliseconds(1'400),
                    milliseconds(1'600), milliseconds(1'900)})
    for (Duration at{}; at < milliseconds(3'000); at += 2 * Step) {
      CAPTURE(dark.count());
      CAPTURE(std::chrono::duration_cast<milliseconds>(at).count());
      WritesDuringChangeFixture it;
      auto out = runDark(it, dark, at);
      CHECK(out.Lost == 0);
      sum.Changes += out.Changes;
      sum.Committed += out.Committed;
      WritesDuringChangeFixture unheld(false);
      lostUnheld += runDark(unheld, dark, at).Lost;
    }
  MESSAGE(sum.Changes << " changes, " << sum.Committed << " successes; "
                      << lostUnheld << " lost where nothing is held");
  CHECK(sum.Changes > 0);
  CHECK(sum.Committed > 0);
  CHECK(lostUnheld > 0);
}

// Guards against the loss of commits of open transactions at a leaving primary.
TEST_CASE("primary leaving and a replica deaf, commits at any time, none of "
          "those acknowledged is lost") {
  LoadOutcome sum;
  for (Duration at{}; at < milliseconds(2'000); at += Step) {
    CAPTURE(std::chrono::duration_cast<milliseconds>(at).count());
    WritesDuringChangeFixture it;
    auto load = Load::prepare(it);
    it.leave();
    it.advance(at);
    load.send(it);
    it.advance(milliseconds(3'000));
    auto out = outcomeOf(it);
    CHECK(out.Lost == 0);
    CHECK(out.Changes == 1);
    sum.Committed += out.Committed;
  }
  CHECK(sum.Committed > 0);
}

// Guards against the loss of commits to an order without an answer, which the
// platform carries out after the primary is back.
TEST_CASE("promotion without an answer carried out late, commits at any time, "
          "none of those acknowledged is lost") {
  LoadOutcome sum;
  for (auto late : {milliseconds(100), milliseconds(700), milliseconds(1'500),
                    milliseconds(3'000), milliseconds(5'000)})
    for (Duration at{}; at < milliseconds(6'000); at += 10 * Step) {
      CAPTURE(late.count());
      CAPTURE(std::chrono::duration_cast<milliseconds>(at).count());
      WritesDuringChangeFixture it;
      it.LostAnswers = 2;
      it.LateBy = late;
      auto load = Load::prepare(it);
      it.darken();
      for (Duration done{}; done < milliseconds(10'000); done += Step) {
        if (done == at)
          load.send(it);
        if (!it.PrimaryAnswers && !it.Calls.Promotions.empty())
          it.comeBack();
        it.advance(Step);
      }
      auto out = outcomeOf(it);
      CHECK(out.Lost == 0);
      CHECK(it.TargetGroups.holds().empty());
      sum.Committed += out.Committed;
    }
  CHECK(sum.Committed > 0);
}
