#include "http/loops.h"
#include "platform/guarded.h"
#include "tool/store.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace peridotfall;
using namespace peridotfall::tool;
using namespace std::chrono_literals;

namespace {

/// A platform in memory, behind the guard; its loop runs on a thread of its
/// own, as the tool's does.
struct StoreFixture {
  http::Loops Loops{1};
  SystemClock Time;
  std::map<std::string, platform::Object> Stored;
  std::function<void()> BeforePut = [] {};
  int LoseAnswers = 0;
  platform::Api Api = makeApi();

  ~StoreFixture() { Loops.stop(); }

  platform::Api makeApi() {
    platform::Api it;
    it.Get = [this](const std::string &key, const platform::OnObject &done) {
      auto found = Stored.find(key);
      if (found == Stored.end())
        return done(Error{ErrorCode::NotFound, "none"});
      done(found->second);
    };
    it.Put = [this](const std::string &key, std::uint64_t expected,
                    const std::string &value, const platform::OnObject &done) {
      std::exchange(BeforePut, [] {})();
      auto &object = Stored[key];
      if (object.Version != expected)
        return done(Error{ErrorCode::Conflict, "another"});
      object = {expected + 1, value};
      if (LoseAnswers-- > 0)
        return done(Error{ErrorCode::Unknown, "lost"});
      done(object);
    };
    platform::GuardOptions options;
    options.Retry = {1us, 2us};
    return platform::makeGuarded(it, Loops.at(0), Time, options,
                                 std::make_shared<platform::CallCounts>());
  }

  Result<Configuration> apply(const std::string &who) {
    return acceptNext(
        Api, [](const Configuration *) { return Configuration(); }, who);
  }
};

} // namespace

// The platform makes the change and its answer is lost. The operator has to
// be told that it is accepted, and once.
TEST_CASE_FIXTURE(StoreFixture, "apply, answer lost, is accepted once") {
  LoseAnswers = 1;
  auto it = apply("mari");
  REQUIRE(it);
  CHECK(it.value().Revision == 1);
  auto stored = fetchConfiguration(Api);
  REQUIRE(stored);
  CHECK(stored.value()->Id == it.value().Id);
}

// Two operators read the same revision, and the second one's change arrives
// first. One wins, and the other is told by whom it lost.
TEST_CASE_FIXTURE(StoreFixture, "apply, two at once, tells the loser by whom") {
  REQUIRE(apply("mari"));
  BeforePut = [this] { REQUIRE(apply("jaan")); };
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
  CHECK(it.error().Message.find("jaan has applied revision 2") !=
        std::string::npos);
}

// The loser's own answer is lost too: it must not take the winner's change for
// its own.
TEST_CASE_FIXTURE(StoreFixture, "apply, lost the race and the answer, is a "
                                "conflict") {
  REQUIRE(apply("mari"));
  LoseAnswers = 1;
  BeforePut = [this] { REQUIRE(apply("jaan")); };
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "apply, stored one unreadable, changes nothing") {
  Stored[platform::ConfigurationKey] = {3, "{"};
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Invalid);
  CHECK(Stored[platform::ConfigurationKey].Version == 3);
}

// The answers of an earlier revision arrive late; those in force stay.
TEST_CASE_FIXTURE(StoreFixture, "answers, an older revision late, stay") {
  REQUIRE(storeAnswers(Api, {2, "b", "jaan", "two"}));
  REQUIRE(storeAnswers(Api, {1, "a", "mari", "one"}));
  auto it = fetchAnswers(Api);
  REQUIRE(it);
  CHECK(it.value().Text == "two");
}
