#include "http/answer_progress.h"
#include "http/fixture.h"
#include "http/slow_relay.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace peridotfall;
using namespace peridotfall::http;
using peridotfall::testing::RelayOptions;
using peridotfall::testing::SlowRelay;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t LargeBody = 128 << 10;
/// Long enough for a request to be passed on by a busy machine.
constexpr milliseconds FirstByte{2'000};
/// With these, LargeBody takes longer than FirstByte.
constexpr RelayOptions SlowLink{.Gap = milliseconds(80)};
const SteadyTime Start{std::chrono::seconds(1'000)};

/// A server that is called through a slow relay.
struct SlowAnswerFixture : ServerFixture {
  CallResult callThrough(SlowRelay &relay, const AnswerLimits &limits) {
    auto slow = std::make_shared<Channel>(Pool.next(), relay.address(),
                                          ChannelOptions{});
    auto promise = std::make_shared<std::promise<CallResult>>();
    auto result = promise->get_future();
    slow->call(post("/echo", std::string(LargeBody, 'x')), limits,
               [promise](CallResult it) { promise->set_value(std::move(it)); });
    auto out = result.get();
    slow->close();
    return out;
  }
};

} // namespace

TEST_CASE("answer that keeps arriving, first-byte limit passed, does not time "
          "out") {
  constexpr milliseconds Begin{200};
  constexpr milliseconds Piece{100};
  AnswerProgress it(firstByteTimeout(Begin), Start);
  CHECK(it.deadline() == Start + Begin);
  for (auto at = Piece; at < 10 * Piece; at += Piece)
    it.received(Start + at);
  CHECK(it.deadline() == Start + 9 * Piece + limits::AnswerStall);
}

TEST_CASE("call with a limit on its whole answer, limit passed, times out") {
  constexpr milliseconds Whole{200};
  AnswerProgress it(totalTimeout(Whole), Start);
  it.received(Start + Whole / 2);
  CHECK(it.deadline() == Start + Whole);
}

// Guards against a timeout while a large answer is still arriving.
TEST_CASE_FIXTURE(SlowAnswerFixture,
                  "large answer between daemons, slow link, is received "
                  "completely") {
  SlowRelay relay(TestServer->port(), SlowLink);
  auto it = callThrough(relay, firstByteTimeout(FirstByte));
  REQUIRE(it);
  CHECK(it.value().Body.size() == LargeBody);
  CHECK(it.value().Received.Bytes == LargeBody);
  CHECK(it.value().Received.Elapsed > FirstByte);
}

// Guards against waiting too long for an answer that stalls halfway.
TEST_CASE_FIXTURE(SlowAnswerFixture,
                  "large answer between daemons, stalls, times out before the "
                  "first-byte limit") {
  constexpr milliseconds Begin{20'000};
  SlowRelay relay(TestServer->port(), RelayOptions{.StallAfter = 16 << 10});
  auto began = std::chrono::steady_clock::now();
  auto it = callThrough(relay, firstByteTimeout(Begin));
  REQUIRE_FALSE(it);
  CHECK(it.error().Kind == Failure::MaybeRun);
  CHECK(it.error().Received.Bytes > 0);
  CHECK(std::chrono::steady_clock::now() - began < Begin);
}
