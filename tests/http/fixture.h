/// \file
/// A server on the loopback interface and clients for it, for transport tests.

#ifndef PERIDOTFALL_TESTS_HTTP_FIXTURE_H
#define PERIDOTFALL_TESTS_HTTP_FIXTURE_H

#include "http/channel.h"
#include "http/loops.h"
#include "http/server.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <vector>

namespace peridotfall::http {

/// Answers "/echo" at once with the request's body, and "/hold" only after
/// release().
struct ServerFixture {
  explicit ServerFixture(ServerOptions options = {}) : Pool(2) {
    options.Address = "127.0.0.1:0";
    TestServer = std::make_shared<Server>(
        Pool, options, [this](const Request &request, const Respond &respond) {
          handle(request, respond);
        });
    REQUIRE_FALSE(TestServer->start());
  }
  ~ServerFixture() {
    TestServer->stop();
    Pool.stop();
  }
  ServerFixture(const ServerFixture &) = delete;
  ServerFixture &operator=(const ServerFixture &) = delete;

  void handle(const Request &request, const Respond &respond) {
    {
      std::lock_guard guard(Lock);
      Requests.push_back(request);
      if (request.Path == "/hold")
        HeldResponds.push_back(respond);
    }
    Changed.notify_all();
    if (request.Path != "/hold")
      respond({200, {}, request.Body});
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(TestServer->port());
  }

  std::shared_ptr<Channel> channel(ChannelOptions options = {}) {
    return std::make_shared<Channel>(Pool.next(), address(), options);
  }

  /// Starts a call. \return a future of its result.
  static std::future<CallResult>
  begin(Channel &channel, Request request,
        std::chrono::milliseconds limit = std::chrono::seconds(20)) {
    auto promise = std::make_shared<std::promise<CallResult>>();
    auto future = promise->get_future();
    channel.call(std::move(request), limit, [promise](CallResult it) {
      promise->set_value(std::move(it));
    });
    return future;
  }

  static Request post(std::string path, std::string body = "") {
    Request it;
    it.Method = "POST";
    it.Path = std::move(path);
    it.Body = std::move(body);
    return it;
  }

  void awaitRequests(std::size_t n) {
    std::unique_lock guard(Lock);
    Changed.wait(guard, [&] { return Requests.size() >= n; });
  }

  void release() {
    std::lock_guard guard(Lock);
    for (const auto &it : HeldResponds)
      it({200, {}, "released"});
    HeldResponds.clear();
  }

  /// A raw TCP connection, to send what a conforming client does not.
  asio::ip::tcp::socket rawConnection() {
    asio::ip::tcp::socket it(ClientLoop);
    it.connect({asio::ip::address_v4::loopback(), TestServer->port()});
    return it;
  }

  /// Reads until the server closes the connection.
  static std::string readToEnd(asio::ip::tcp::socket &socket) {
    std::string out;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }

  Loops Pool;
  asio::io_context ClientLoop;
  std::shared_ptr<Server> TestServer;
  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<Request> Requests;
  std::vector<Respond> HeldResponds;
};

inline constexpr char ClientPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

} // namespace peridotfall::http

#endif // PERIDOTFALL_TESTS_HTTP_FIXTURE_H
