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

/// A platform that serves one large object.
struct SlowPlatformFixture {
  http::Loops Pool{2};
  std::shared_ptr<http::Server> PlatformServer;

  SlowPlatformFixture() {
    http::ServerOptions options;
    options.Address = "127.0.0.1:0";
    PlatformServer = std::make_shared<http::Server>(
        Pool, options, [](const http::Request &, const http::Respond &respond) {
          respond({http::StatusOk,
                   {},
                   R"({"version":7,"value":")" + std::string(LargeValue, 'x') +
                       R"("})"});
        });
    REQUIRE_FALSE(PlatformServer->start());
  }
  ~SlowPlatformFixture() {
    PlatformServer->stop();
    Pool.stop();
  }
  SlowPlatformFixture(const SlowPlatformFixture &) = delete;
  SlowPlatformFixture &operator=(const SlowPlatformFixture &) = delete;
};

} // namespace

// Guards against a timeout while a large answer is still arriving.
TEST_CASE_FIXTURE(
    SlowPlatformFixture,
    "large object of the platform, slow link, is read completely") {
  SlowRelay relay(PlatformServer->port(), {});
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
