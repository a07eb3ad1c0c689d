#include "platform/guarded.h"
#include "platform/settlement.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace peridotfall;
using namespace peridotfall::platform;
using namespace std::chrono_literals;

namespace {

/// Faults injected into the next Put calls to the fake platform.
enum class Fault { None, LoseAnswer, LoseRequest, Unreachable };

struct GuardedFixture {
  ManualClock Time;
  asio::io_context Loop;
  std::map<std::string, Object> Stored;
  std::vector<Fault> Faults; ///< Consumed from the back.
  std::shared_ptr<CallCounts> Counts = std::make_shared<CallCounts>();
  GuardOptions Options;

  GuardedFixture() { Options.Retry = {1us, 2us}; }

  Result<Object> store(const std::string &key, std::uint64_t expected,
                       const std::string &value) {
    if (Stored[key].Version != expected)
      return Error{ErrorCode::Conflict, "another version"};
    Stored[key] = {expected + 1, value};
    return Stored[key];
  }

  Api fake() {
    Api it;
    it.Get = [this](const std::string &key, OnObject done) {
      done(Stored[key]);
    };
    it.Put = [this](const std::string &key, std::uint64_t expected,
                    const std::string &value, OnObject done) {
      auto fault = Fault::None;
      if (!Faults.empty()) {
        fault = Faults.back();
        Faults.pop_back();
      }
      if (fault == Fault::Unreachable)
        return done(Error{ErrorCode::Unavailable, "down"});
      if (fault == Fault::LoseRequest)
        return done(Error{ErrorCode::Unknown, "lost"});
      auto answer = store(key, expected, value);
      if (fault == Fault::LoseAnswer)
        answer = Error{ErrorCode::Unknown, "lost"};
      done(answer);
    };
    it.ListVms = [](const OnMembers &done) { done(std::vector<Member>{}); };
    return it;
  }

  Api guarded() { return makeGuarded(fake(), Loop, Time, Options, Counts); }

  Result<Object> put(const Api &api, std::uint64_t expected,
                     const std::string &value) {
    std::optional<Result<Object>> out;
    api.Put("k", expected, value,
            [&](const Result<Object> &it) { out.emplace(it); });
    Loop.restart();
    Loop.run();
    REQUIRE(out);
    return *out;
  }
};

} // namespace

// The change is stored and its answer is lost. Without a read-back, the retry
// conflicts with the writer's own version and is reported as a conflict.
TEST_CASE_FIXTURE(GuardedFixture,
                  "change, stored but answer lost, is accepted") {
  Faults = {Fault::LoseAnswer};
  auto unguarded = fake();
  std::optional<Result<Object>> first;
  std::optional<Result<Object>> again;
  unguarded.Put("bare", 0, "mine", [&](auto it) { first.emplace(it); });
  unguarded.Put("bare", 0, "mine", [&](auto it) { again.emplace(it); });
  CHECK(first->error().Code == ErrorCode::Unknown);
  CHECK(again->error().Code == ErrorCode::Conflict);

  Faults = {Fault::LoseAnswer};
  auto it = put(guarded(), 0, "mine");
  REQUIRE(it);
  CHECK(it.value() == Object{1, "mine"});
}

TEST_CASE_FIXTURE(GuardedFixture,
                  "change, request lost or platform down, is retried") {
  Faults = {Fault::Unreachable, Fault::LoseRequest, Fault::Unreachable};
  auto it = put(guarded(), 0, "mine");
  REQUIRE(it);
  CHECK(it.value() == Object{1, "mine"});
  CHECK(Counts->Puts == 4);
}

// The answer is lost, and another operator's change to the same version was
// stored first: the change had no effect and is reported as a conflict.
TEST_CASE_FIXTURE(
    GuardedFixture,
    "change, answer lost and another stored first, is a conflict") {
  Stored["k"] = {1, "theirs"};
  Faults = {Fault::LoseAnswer};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
}

// The change may have been version 1 before another became version 2, so
// neither success nor conflict can be reported.
TEST_CASE_FIXTURE(GuardedFixture,
                  "change, answer lost and replaced since, stays unknown") {
  Stored["k"] = {2, "theirs"};
  Faults = {Fault::LoseRequest};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Unknown);
}

TEST_CASE_FIXTURE(
    GuardedFixture,
    "change, platform down past the limit, is reported as not sent") {
  Options.PutLimit = 0ms;
  Faults = {Fault::Unreachable};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Unavailable);
}

// A faulty loop in each of 1,700 daemons lists the VMs ten times a second for
// ten minutes of virtual time. The platform's capacity is 2,000 reads a second.
TEST_CASE_FIXTURE(GuardedFixture,
                  "budget, endless calls, limits the fleet's rate") {
  auto api = guarded();
  constexpr int Seconds = 600;
  std::uint64_t refused = 0;
  for (int n = 0; n < Seconds * 10; ++n) {
    api.ListVms([&](const auto &it) { refused += it ? 0 : 1; });
    Time.advance(100ms);
  }
  auto sent = static_cast<double>(Counts->Lists);
  CHECK(refused == Counts->Refused);
  CHECK((sent - Options.Budget.ReadBurst) / Seconds * 1'700 < 1'100);
}

TEST_CASE("backoff, consecutive failures, grows to its limit with jitter") {
  BackoffOptions options;
  Backoff a(options, 1);
  Backoff b(options, 2);
  bool differ = false;
  for (int n = 0; n < 30; ++n) {
    auto x = a.nextDelay();
    auto y = b.nextDelay();
    differ |= x != y;
    CHECK(x >= options.InitialDelay / 2);
    CHECK(x <= options.MaxDelay);
  }
  CHECK(differ);
  CHECK(a.nextDelay() >= options.MaxDelay / 2);
  a.reset();
  CHECK(a.nextDelay() <= options.InitialDelay);
}
