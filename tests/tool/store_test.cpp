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

/// An in-memory platform behind the guard. Its loop runs on its own thread, as
/// in the tool.
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
    return updateConfiguration(
        Api, [](const Configuration *) { return Configuration(); }, who);
  }
};

} // namespace

// The platform makes the change, but its answer is lost. The retry must report
// the change as accepted and must not apply it a second time.
TEST_CASE_FIXTURE(StoreFixture, "apply, answer lost, is accepted once") {
  LoseAnswers = 1;
  auto it = apply("mari");
  REQUIRE(it);
  CHECK(it.value().Revision == 1);
  auto stored = fetchConfiguration(Api);
  REQUIRE(stored);
  CHECK(stored.value()->Id == it.value().Id);
}

// Two operators read the same revision and the second one's change is stored
// first. The other must get a conflict with the name of that operator.
TEST_CASE_FIXTURE(StoreFixture,
                  "apply, two at once, conflict names the other operator") {
  REQUIRE(apply("mari"));
  BeforePut = [this] { REQUIRE(apply("jaan")); };
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
  CHECK(it.error().Message.find("jaan has applied revision 2") !=
        std::string::npos);
}

// Another operator's change is stored first, and the answer to this operator's
// change is lost too. The stored change must not be reported as this
// operator's.
TEST_CASE_FIXTURE(StoreFixture,
                  "apply, other change first and answer lost, is a conflict") {
  REQUIRE(apply("mari"));
  LoseAnswers = 1;
  BeforePut = [this] { REQUIRE(apply("jaan")); };
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Conflict);
}

TEST_CASE_FIXTURE(StoreFixture,
                  "apply, stored configuration unreadable, changes nothing") {
  Stored[platform::ConfigurationKey] = {3, "{"};
  auto it = apply("mari");
  REQUIRE_FALSE(it);
  CHECK(it.error().Code == ErrorCode::Invalid);
  CHECK(Stored[platform::ConfigurationKey].Version == 3);
}

// Answers of an older revision that arrive late must not replace newer ones.
TEST_CASE_FIXTURE(StoreFixture,
                  "answers, older revision arrives late, newer ones stay") {
  REQUIRE(storeAnswers(Api, {2, "b", "jaan", "two"}));
  REQUIRE(storeAnswers(Api, {1, "a", "mari", "one"}));
  auto it = fetchAnswers(Api);
  REQUIRE(it);
  CHECK(it.value().Text == "two");
}
