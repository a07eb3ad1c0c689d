#include "fixture.h"

#include <algorithm>
#include <deque>
#include <random>

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

/// A target with one slot, in which connections are opened and statements run
/// in the order in which they were sent.
struct OneSlotTarget final : TargetPort {
  static constexpr milliseconds Opening{12};
  static constexpr milliseconds Work{18};

  struct Job {
    ConnectionId Connection;
    milliseconds Left;
    bool Opens;
  };

  ConnectionId open(const TargetEntry &, const AccountName &account) override {
    Opened.push_back(account.Value);
    Jobs.push_back({{++Last}, Opening, true});
    return {Last};
  }
  void send(ConnectionId connection, const std::vector<Statement> &) override {
    Jobs.push_back({connection, Work, false});
  }
  void close(ConnectionId) override {}

  std::uint64_t Last = 0;
  std::deque<Job> Jobs;
  std::vector<std::string> Opened; ///< Accounts, in order.
};

/// A quarter of a target with 4 slots and 70 connections, and its callers.
struct FairQueueingFixture {
  static constexpr milliseconds Goal{500};
  static constexpr milliseconds Span{20'000};

  struct Load {
    AccountName Account;
    unsigned Priority = 2;
    double PerSecond = 0;
  };
  struct Outcome {
    std::size_t Arrived = 0;
    std::size_t InTime = 0;

    double share() const {
      return static_cast<double>(InTime) / static_cast<double>(Arrived);
    }
  };

  ManualClock Time;
  OneSlotTarget Target;
  std::uint64_t LastLease = 0;
  TargetPool Pool{TargetEntry{}, Target, Time, LastLease};
  std::map<std::string, Outcome> ByAccount;
  std::map<unsigned, Outcome> ByPriority;
  std::vector<Duration> RetryDelays;
  std::size_t Displaced = 0;
  std::size_t MostOpening = 0;
  std::mt19937 Random{11};

  FairQueueingFixture() {
    Pool.setCapacity(16, 6);
    Pool.OnRefused = [this](QueueRefusal why) {
      Displaced += why == QueueRefusal::Displaced;
    };
  }

  void run(const std::vector<Load> &loads) {
    std::uniform_real_distribution<> chance;
    for (milliseconds t{}; t < Span; t += milliseconds(1)) {
      for (const auto &it : loads)
        if (chance(Random) < it.PerSecond / 1'000)
          begin(it);
      serve();
      MostOpening = std::max(MostOpening, Pool.stats().Opening);
      if (t.count() % 5 == 0)
        Pool.tick();
      Time.advance(milliseconds(1));
    }
  }

  void begin(const Load &load) {
    Batch batch;
    batch.Statements.resize(1);
    batch.Statements[0].Kind = StatementKind::Read;
    batch.Statements[0].Id = "q";
    batch.EndsLease = true;
    batch.Timeout = milliseconds(1'000);
    LeaseRequest request{TargetName(),        load.Priority, milliseconds(400),
                         milliseconds(1'000), Goal,          load.Account};
    auto &account = ByAccount[load.Account.Value];
    auto &priority = ByPriority[load.Priority];
    ++account.Arrived;
    ++priority.Arrived;
    Pool.begin(request, batch, [&, since = Time.now()](const BatchResult &it) {
      bool inTime = it.End == BatchEnd::Complete && Time.now() - since <= Goal;
      account.InTime += inTime;
      priority.InTime += inTime;
      if (it.RetryAfter)
        RetryDelays.push_back(*it.RetryAfter);
    });
  }
  /// Lets the target work for a millisecond.
  void serve() {
    if (Target.Jobs.empty())
      return;
    auto &first = Target.Jobs.front();
    first.Left -= milliseconds(1);
    if (first.Left.count() > 0)
      return;
    auto done = first;
    Target.Jobs.pop_front();
    Answer answer;
    answer.Signature = "s";
    if (done.Opens)
      Pool.opened(done.Connection);
    else
      Pool.answered(done.Connection, answer);
  }
};

constexpr double Capacity = 1'000.0 / OneSlotTarget::Work.count();
constexpr int Accounts = 20;

/// Each account sends half of its fair share, one ten times that share.
std::vector<FairQueueingFixture::Load> oneHeavyAccount() {
  std::vector<FairQueueingFixture::Load> out;
  for (int n = 1; n < Accounts; ++n)
    out.push_back(
        {AccountName("a" + std::to_string(n)), 2, Capacity / Accounts / 2});
  out.push_back({AccountName("heavy"), 2, 10 * Capacity / Accounts});
  return out;
}

} // namespace

// One account in a burst fills the queue of a target, and the other accounts
// wait behind it or are refused because of it.
TEST_CASE_FIXTURE(FairQueueingFixture,
                  "one account sends ten times its fair share, others are "
                  "served in time") {
  run(oneHeavyAccount());
  Outcome light;
  for (const auto &[name, it] : ByAccount)
    if (name != "heavy") {
      light.Arrived += it.Arrived;
      light.InTime += it.InTime;
    }
  CAPTURE(light.share());
  CAPTURE(ByAccount["heavy"].share());
  CHECK(light.share() >= 0.95);
  CHECK(Displaced > 0);
  REQUIRE_FALSE(RetryDelays.empty());
  CHECK(*std::max_element(RetryDelays.begin(), RetryDelays.end()) <=
        proxy::limits::MaxQueueRetryAfter);
}

// The least urgent callers send three times their usual load, more than the
// target can do.
TEST_CASE_FIXTURE(FairQueueingFixture,
                  "threefold burst of the least urgent priority, the most "
                  "urgent are served in time") {
  std::vector<Load> loads;
  for (int n = 0; n < Accounts; ++n) {
    AccountName account("a" + std::to_string(n));
    loads.push_back({account, 0, 0.2 * Capacity / Accounts});
    loads.push_back({account, 3, 3 * 0.4 * Capacity / Accounts});
  }
  run(loads);
  CAPTURE(ByPriority[3].share());
  CHECK(ByPriority[0].share() >= 0.98);
}

// Accounts without a connection arrive while others' statements wait for the
// open ones. Opening a connection for each would take most of the target's
// slots for a while.
TEST_CASE_FIXTURE(FairQueueingFixture,
                  "statements wait for open connections, few are opened at a "
                  "time and those of the most urgent first") {
  begin({AccountName("a"), 2});
  while (!Target.Jobs.empty())
    serve();
  for (int n = 0; n < 3; ++n)
    begin({AccountName("a"), 0});
  for (const auto *it : {"b", "c", "d"})
    begin({AccountName(it), 2});
  CHECK(Pool.stats().Opening == 2);
  begin({AccountName("urgent"), 1});
  CHECK(Pool.stats().Opening == 2);
  auto before = Target.Opened.size();
  while (Target.Opened.size() == before && !Target.Jobs.empty())
    serve();
  REQUIRE(Target.Opened.size() > before);
  CHECK(Target.Opened[before] == "urgent");
}

// The target accepts no new connections for a while. The open ones must still
// be used.
TEST_CASE_FIXTURE(
    FairQueueingFixture,
    "connections being opened hang, statements run on open ones") {
  begin({AccountName("a"), 2});
  while (!Target.Jobs.empty())
    serve();
  for (const auto *it : {"b", "c", "d", "e", "f", "g"})
    begin({AccountName(it), 2});
  REQUIRE(Pool.stats().Opening == 6);
  begin({AccountName("a"), 2});
  CHECK_FALSE(Target.Jobs.back().Opens);
}
