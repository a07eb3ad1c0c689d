#include "platform/http_platform.h"

#include "http/fixture.h"
#include "http/slow_relay.h"
#include "http/status.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <string>

using namespace peridotfall;
using peridotfall::testing::SlowRelay;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t LargeValue = 128 << 10;

/// A platform whose one object is large, on a slow link.
struct SlowPlatformFixture {
  http::Loops Pool{2};
  std::shared_ptr<http::Server> There;

  SlowPlatformFixture() {
    http::ServerOptions options;
    options.Address = "127.0.0.1:0";
    There = std::make_shared<http::Server>(
        Pool, options, [](const http::Request &, const http::Respond &respond) {
          respond({http::StatusOk,
                   {},
                   R"({"version":7,"value":")" + std::string(LargeValue, 'x') +
                       R"("})"});
        });
    REQUIRE_FALSE(There->start());
  }
  ~SlowPlatformFixture() {
    There->stop();
    Pool.stop();
  }
  SlowPlatformFixture(const SlowPlatformFixture &) = delete;
  SlowPlatformFixture &operator=(const SlowPlatformFixture &) = delete;
};

} // namespace

// Guards against an answer on its way that is taken for silence.
TEST_CASE_FIXTURE(
    SlowPlatformFixture,
    "large object of the platform on a slow link, is read whole") {
  SlowRelay relay(There->port(), {});
  platform::HttpOptions options;
  options.Address = relay.address();
  options.CallLimit = milliseconds(300);
  std::promise<Result<platform::Object>> read;
  {
    auto api = platform::makeHttpPlatform(Pool.next(), options);
    api.Get("key", [&](Result<platform::Object> it) {
      read.set_value(std::move(it));
    });
    auto it = read.get_future().get();
    REQUIRE(it);
    CHECK(it.value().Version == 7);
    CHECK(it.value().Value.size() == LargeValue);
  }
}
