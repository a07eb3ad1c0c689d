#include "platform/guarded.h"
#include "platform/settlement.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace peridotfall;
using namespace peridotfall::platform;
using namespace std::chrono_literals;

namespace {

/// What happens to the next changes at the fake platform.
enum class Fault { None, LoseAnswer, LoseRequest, Unreachable };

struct GuardedFixture {
  ManualClock Time;
  asio::io_context Loop;
  std::map<std::string, Object> Stored;
  std::vector<Fault> Faults; ///< Taken from the back.
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

// The writer's change takes effect, and its answer is lost. Without reading
// back the writer sends again, meets its own version and reports a conflict.
TEST_CASE_FIXTURE(GuardedFixture,
                  "change, answer lost after the effect, is accepted") {
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
                  "change, request lost or platform down, is sent again") {
  Faults = {Fault::Unreachable, Fault::LoseRequest, Fault::Unreachable};
  auto it = put(guarded(), 0, "mine");
  REQUIRE(it);
  CHECK(it.value() == Object{1, "mine"});
  CHECK(Counts->Puts == 4);
}

// Our answer is lost, and another operator's change of the same version was
// first: ours did not take effect, and the writer is told so.
TEST_CASE_FIXTURE(GuardedFixture,
                  "change, answer lost and another was first, is a conflict") {
  Stored["k"] = {1, "theirs"};
  Faults = {Fault::LoseAnswer};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
}

// Ours may have been version 1 before another became version 2: neither yes
// nor no would be true.
TEST_CASE_FIXTURE(GuardedFixture,
                  "change, answer lost and replaced since, stays unknown") {
  Stored["k"] = {2, "theirs"};
  Faults = {Fault::LoseRequest};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Unknown);
}

TEST_CASE_FIXTURE(GuardedFixture,
                  "change, platform down past the limit, was not sent") {
  Options.PutLimit = 0ms;
  Faults = {Fault::Unreachable};
  auto it = put(guarded(), 0, "mine");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Unavailable);
}

// A loop in each of 1,700 daemons lists the VMs without pause for a minute of
// virtual time. The platform takes 2,000 reads a second.
TEST_CASE_FIXTURE(GuardedFixture,
                  "budget, endless calls, holds the fleet's rate") {
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

TEST_CASE("backoff, failures in a row, grows to its limit and is spread") {
  BackoffOptions options;
  Backoff a(options, 1);
  Backoff b(options, 2);
  bool differ = false;
  for (int n = 0; n < 30; ++n) {
    auto x = a.failed();
    auto y = b.failed();
    differ |= x != y;
    CHECK(x >= options.First / 2);
    CHECK(x <= options.Longest);
  }
  CHECK(differ);
  CHECK(a.failed() >= options.Longest / 2);
  a.succeeded();
  CHECK(a.failed() <= options.First);
}
