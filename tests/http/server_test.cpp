#include "http/fixture.h"

using namespace peridotfall;
using namespace peridotfall::http;

namespace {

struct SlowSenderFixture : ServerFixture {
  SlowSenderFixture()
      : ServerFixture({.SlowSender = std::chrono::milliseconds(100)}) {}
};

/// HEADERS without END_STREAM: a request whose body is never sent. The block
/// has POST, / and http of HPACK's static table, and a literal :authority "a".
const std::string UnfinishedRequest = {0, 0,      6,      1,      4, 0, 0,  0,
                                       1, '\x83', '\x84', '\x86', 1, 1, 'a'};
/// The same with END_STREAM and the literal :path "/hold".
const std::string HoldRequest = {0,   0,   12,     1,      5, 0,   0,
                                 0,   1,   '\x83', 4,      5, '/', 'h',
                                 'o', 'l', 'd',    '\x86', 1, 1,   'a'};
const std::string EmptySettings = {0, 0, 0, 4, 0, 0, 0, 0, 0};

} // namespace

TEST_CASE_FIXTURE(ServerFixture,
                  "server, request, answers with the whole body") {
  auto it = begin(*channel(), post("/echo", "body")).get();
  REQUIRE(it);
  CHECK(it.value().Status == 200);
  CHECK(it.value().Body == "body");
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, body over the limit, answers 413 and runs "
                  "nothing") {
  std::string big(limits::MaxRequestBody + 1, 'x');
  auto it = begin(*channel(), post("/echo", big)).get();
  REQUIRE(it);
  CHECK(it.value().Status == 413);
  CHECK(Requests.empty());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, too many headers, answers 431 and runs nothing") {
  auto request = post("/echo");
  for (std::size_t n = 0; n <= limits::MaxHeaderFields; ++n)
    request.Fields.push_back({"x-field-" + std::to_string(n), "v"});
  auto it = begin(*channel(), request).get();
  REQUIRE(it);
  CHECK(it.value().Status == 431);
  CHECK(Requests.empty());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, long header values, answers 431 and runs nothing") {
  auto request = post("/echo");
  request.Fields.push_back(
      {"x-long", std::string(limits::MaxHeaderBytes + 1, 'v')});
  auto it = begin(*channel(), request).get();
  REQUIRE(it);
  CHECK(it.value().Status == 431);
  CHECK(Requests.empty());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, another protocol, closes the connection") {
  auto socket = rawConnection();
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  readToEnd(socket);
  CHECK(Requests.empty());
}

TEST_CASE_FIXTURE(SlowSenderFixture,
                  "server, request without its body, closes the "
                  "connection") {
  // The caller sends a request's headers and nothing more. Without a limit the
  // stream and its buffer would never be released.
  auto socket = rawConnection();
  asio::write(socket, asio::buffer(std::string(ClientPreface) + EmptySettings +
                                   UnfinishedRequest));
  readToEnd(socket);
  CHECK(Requests.empty());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, caller half-closes the connection, closes it and "
                  "marks the request as cancelled") {
  // The caller sends a whole request and shuts down its sending side. HTTP/2
  // needs both directions, so the server closes the connection. The flag makes
  // the handler drop work that has not started.
  auto socket = rawConnection();
  asio::write(socket, asio::buffer(std::string(ClientPreface) + EmptySettings +
                                   HoldRequest));
  awaitRequests(1);
  auto gone = Requests[0].Cancelled;
  CHECK_FALSE(gone->load());
  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  readToEnd(socket);
  while (TestServer->connections() != 0)
    std::this_thread::yield();
  CHECK(gone->load());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "server, drained with a request in flight, finishes it and "
                  "accepts no more") {
  // Graceful shutdown: GOAWAY is sent while a request is in flight. The caller
  // receives the whole answer; a later request fails as not sent.
  auto open = channel({.Reconnect = false});
  auto result = begin(*open, post("/hold"));
  awaitRequests(1);
  TestServer->drain();
  release();
  auto it = result.get();
  REQUIRE(it);
  CHECK(it.value().Body == "released");
  while (TestServer->connections() != 0)
    std::this_thread::yield();
  auto later = begin(*open, post("/echo")).get();
  REQUIRE_FALSE(later);
  CHECK(later.error().Kind == Failure::NotSent);
}

TEST_CASE_FIXTURE(ServerFixture,
                  "channel, connection refused, reports not sent") {
  // Bound but not listening: the port stays reserved and refuses connections.
  asio::ip::tcp::acceptor bound(ClientLoop);
  bound.open(asio::ip::tcp::v4());
  bound.bind({asio::ip::address_v4::loopback(), 0});
  auto address = "127.0.0.1:" + std::to_string(bound.local_endpoint().port());
  auto open = std::make_shared<Channel>(Pool.next(), address, ChannelOptions{});
  auto it = begin(*open, post("/echo")).get();
  REQUIRE_FALSE(it);
  CHECK((it.error().Kind == Failure::NotSent));
}

// Guards against a caller that has not stored the call when its answer comes.
TEST_CASE("channel, no address, reports not sent after the call") {
  for (const char *address : {"", "nowhere", "10.1.0.8:65536", "10.1.0.8"}) {
    CAPTURE(address);
    asio::io_context loop;
    auto open = std::make_shared<Channel>(loop, address, ChannelOptions{});
    std::optional<CallResult> result;
    bool isWithin = true;
    asio::post(loop, [&] {
      open->call({}, std::chrono::seconds(20),
                 [&](CallResult it) { result = std::move(it); });
      isWithin = result.has_value();
    });
    loop.run();
    CHECK_FALSE(isWithin);
    REQUIRE(result);
    REQUIRE_FALSE(*result);
    CHECK(result->error().Kind == Failure::NotSent);
  }
}

TEST_CASE_FIXTURE(ServerFixture,
                  "channel, connection lost in flight, reports may have "
                  "run") {
  // The request has reached the server when the connection closes: it must not
  // be reported as not sent.
  auto open = channel();
  auto result = begin(*open, post("/hold"));
  awaitRequests(1);
  TestServer->stop();
  auto it = result.get();
  REQUIRE_FALSE(it);
  CHECK(it.error().Kind == Failure::MaybeRun);
}

TEST_CASE_FIXTURE(ServerFixture,
                  "channel, answer times out, reports may have run") {
  auto open = channel();
  auto result = begin(*open, post("/hold"), std::chrono::milliseconds(50));
  auto it = result.get();
  REQUIRE_FALSE(it);
  CHECK(it.error().Kind == Failure::MaybeRun);
}

TEST_CASE_FIXTURE(ServerFixture,
                  "channel, concurrent calls, each gets its own answer") {
  auto open = channel();
  std::vector<std::future<CallResult>> results;
  constexpr int Calls = 500;
  for (int n = 0; n < Calls; ++n)
    results.push_back(begin(*open, post("/echo", std::to_string(n))));
  for (int n = 0; n < Calls; ++n) {
    auto it = results[static_cast<std::size_t>(n)].get();
    REQUIRE(it);
    CHECK(it.value().Body == std::to_string(n));
  }
}
