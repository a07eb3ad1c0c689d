/// \file
/// A server on loopback and ways to reach it, for tests of the transport.

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

/// Answers "/echo" at once with the body; keeps "/hold" until released.
struct ServerFixture {
  explicit ServerFixture(ServerOptions options = {}) : Pool(2) {
    options.Address = "127.0.0.1:0";
    Tested = std::make_shared<Server>(
        Pool, options, [this](const Request &request, const Respond &respond) {
          handle(request, respond);
        });
    REQUIRE_FALSE(Tested->start());
  }
  ~ServerFixture() {
    Tested->stop();
    Pool.stop();
  }
  ServerFixture(const ServerFixture &) = delete;
  ServerFixture &operator=(const ServerFixture &) = delete;

  void handle(const Request &request, const Respond &respond) {
    {
      std::lock_guard guard(Lock);
      Seen.push_back(request);
      if (request.Path == "/hold")
        Held.push_back(respond);
    }
    Changed.notify_all();
    if (request.Path != "/hold")
      respond({200, {}, request.Body});
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Tested->port());
  }

  std::shared_ptr<Channel> channel(ChannelOptions options = {}) {
    return std::make_shared<Channel>(Pool.next(), address(), options);
  }

  /// Begins a call; the future has its result.
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

  void awaitSeen(std::size_t n) {
    std::unique_lock guard(Lock);
    Changed.wait(guard, [&] { return Seen.size() >= n; });
  }

  void release() {
    std::lock_guard guard(Lock);
    for (const auto &it : Held)
      it({200, {}, "released"});
    Held.clear();
  }

  /// A bare connection, for what no proper client sends.
  asio::ip::tcp::socket rawConnection() {
    asio::ip::tcp::socket it(Bare);
    it.connect({asio::ip::address_v4::loopback(), Tested->port()});
    return it;
  }

  /// Reads until the server closes.
  static std::string readToEnd(asio::ip::tcp::socket &socket) {
    std::string out;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }

  Loops Pool;
  asio::io_context Bare;
  std::shared_ptr<Server> Tested;
  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<Request> Seen;
  std::vector<Respond> Held;
};

inline constexpr char ClientPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

} // namespace peridotfall::http

#endif // PERIDOTFALL_TESTS_HTTP_FIXTURE_H
