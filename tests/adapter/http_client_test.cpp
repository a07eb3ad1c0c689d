#include "http_client.h"

#include "http/slow_relay.h"

#include <array>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace peridotfall::adapter;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Answers each request, except on connections that were silenced.
class TestServer {
public:
  explicit TestServer(asio::io_context &loop)
      : Acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }
  tcp::endpoint endpoint() const { return Acceptor.local_endpoint(); }
  std::size_t accepted() const { return All.size(); }
  void silenceOpenConnections() {
    for (auto &it : All)
      it->Silent = true;
  }

private:
  struct Connection {
    explicit Connection(tcp::socket socket) : Socket(std::move(socket)) {}

    tcp::socket Socket;
    std::string In;
    bool Silent = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec)
        return;
      All.push_back(std::make_shared<Connection>(std::move(socket)));
      read(All.back());
      accept();
    });
  }
  void read(const ConnectionPtr &it) {
    asio::async_read_until(it->Socket, asio::dynamic_buffer(it->In), "\r\n\r\n",
                           [this, it](std::error_code ec, std::size_t n) {
                             if (ec)
                               return;
                             it->In.erase(0, n);
                             if (!it->Silent)
                               answer(it);
                             read(it);
                           });
  }
  static void answer(const ConnectionPtr &it) {
    static const std::string Ok =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    asio::async_write(it->Socket, asio::buffer(Ok),
                      [it](std::error_code, std::size_t) {});
  }

  tcp::acceptor Acceptor;
  std::vector<ConnectionPtr> All;
};

struct HttpClientFixture {
  asio::io_context Loop;
  TestServer Server{Loop};
  HttpClient Client{Loop, Server.endpoint()};
  std::vector<int> Statuses;

  void send(milliseconds timeout) {
    HttpRequest it;
    it.Method = "GET";
    it.Target = "/";
    it.Timeout = timeout;
    Client.send(std::move(it), [this](const HttpResponse &response) {
      Statuses.push_back(response.Status);
    });
  }
  void runUntilAnswers(std::size_t n) {
    while (Statuses.size() < n)
      Loop.run_one();
  }
};

} // namespace

// Guards against requests that time out one after the other on idle connections
// that the same network fault has broken.
TEST_CASE_FIXTURE(
    HttpClientFixture,
    "request without a response, the next one opens a new connection") {
  constexpr milliseconds Long{5'000};
  constexpr milliseconds Short{100};
  send(Long);
  send(Long);
  send(Long);
  runUntilAnswers(3);
  REQUIRE(Server.accepted() == 3);
  Server.silenceOpenConnections();
  send(Short);
  runUntilAnswers(4);
  CHECK(Statuses.back() == 0);
  send(Short);
  runUntilAnswers(5);
  CHECK(Statuses.back() == 200);
}

// Guards against a timeout that expires while the response arrives, and whose
// queued handler then aborts the next request on the connection.
TEST_CASE(
    "response and timeout at the same time, the next request is answered") {
  constexpr milliseconds Short{300};
  constexpr milliseconds Long{5'000};
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  asio::io_context loop;
  asio::io_context serverLoop;
  tcp::acceptor acceptor(serverLoop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  HttpClient client(loop, acceptor.local_endpoint());
  std::vector<int> statuses;
  HttpRequest second{"GET", "/", {}, "", Long};
  client.send({"GET", "/", {}, "", Short}, [&](const HttpResponse &first) {
    statuses.push_back(first.Status);
    client.send(second,
                [&](const HttpResponse &it) { statuses.push_back(it.Status); });
  });
  loop.run_one();
  auto socket = acceptor.accept();
  while (socket.available() == 0)
    loop.poll();
  loop.poll(); // The client reads the response from here on.
  asio::write(socket, asio::buffer(ok));
  std::this_thread::sleep_for(2 * Short);
  while (statuses.empty())
    loop.run_one();
  loop.poll();
  asio::write(socket, asio::buffer(ok));
  while (statuses.size() < 2)
    loop.run_one();
  REQUIRE(statuses.size() == 2);
  CHECK(statuses[0] == 200);
  CHECK(statuses[1] == 200);
}

namespace {

/// Answers one request with a large body, on its own thread.
struct LargeAnswerServer {
  static constexpr std::size_t BodyBytes = 128 << 10;

  LargeAnswerServer()
      : Acceptor(Loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Thread([this] {
          auto socket = Acceptor.accept();
          std::string in;
          asio::read_until(socket, asio::dynamic_buffer(in), "\r\n\r\n");
          std::error_code ignored; // The client may close the connection.
          asio::write(socket,
                      asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(BodyBytes) + "\r\n\r\n" +
                                   std::string(BodyBytes, 'x')),
                      ignored);
        }) {}
  ~LargeAnswerServer() { Thread.join(); }

  asio::io_context Loop;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

HttpResponse requestOverSlowLink(peridotfall::testing::RelayOptions options,
                                 milliseconds timeout) {
  LargeAnswerServer server;
  peridotfall::testing::SlowRelay relay(server.Acceptor.local_endpoint().port(),
                                        options);
  asio::io_context loop;
  HttpClient client(loop, {asio::ip::address_v4::loopback(), relay.port()});
  HttpRequest request{"GET", "/", {}, "", timeout, true};
  HttpResponse out;
  client.send(request, [&](const HttpResponse &it) { out = it; });
  loop.run();
  return out;
}

} // namespace

// Guards against a timeout while a large response is still being received.
TEST_CASE("large response on a slow link, is received completely") {
  // Long enough for a request to be passed on by a busy machine; the response
  // takes longer.
  constexpr milliseconds FirstByteTimeout{2'000};
  auto it = requestOverSlowLink({.Gap = milliseconds(80)}, FirstByteTimeout);
  CHECK(it.Status == 200);
  CHECK(it.Body.size() == LargeAnswerServer::BodyBytes);
  CHECK(it.Received.Elapsed > FirstByteTimeout);
}

// Guards against a connection that stalls in the middle of a response and is
// noticed only after the much longer timeout to the first byte.
TEST_CASE("large response that stalls, times out before the timeout to the "
          "first byte") {
  constexpr milliseconds FirstByteTimeout{20'000};
  auto began = std::chrono::steady_clock::now();
  auto it = requestOverSlowLink({.StallAfter = 16 << 10}, FirstByteTimeout);
  CHECK(it.Status == 0);
  CHECK(it.Received.Bytes > 0);
  CHECK(std::chrono::steady_clock::now() - began < FirstByteTimeout);
}

// Guards against text in a header or a path that reads as further headers.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "request, text that a line can't carry, is not sent") {
  for (const char *text : {"a\r\nX-Fence-Token: 9", "a\n", "\x7f"}) {
    CAPTURE(text);
    for (bool inHeader : {true, false}) {
      HttpRequest it;
      it.Method = "GET";
      it.Target = inHeader ? "/" : "/" + std::string(text);
      it.Headers = {{"X-Duty-Holder", inHeader ? text : "a"}};
      Client.send(std::move(it), [this](const HttpResponse &response) {
        Statuses.push_back(response.Status);
      });
    }
  }
  runUntilAnswers(6);
  CHECK(Statuses == std::vector<int>(6, 0));
  CHECK(Server.accepted() == 0);
}
