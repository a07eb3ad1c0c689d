/// \file
/// A TCP relay to a server that forwards the server's answers slowly.

#ifndef PERIDOTFALL_TESTS_HTTP_SLOW_RELAY_H
#define PERIDOTFALL_TESTS_HTTP_SLOW_RELAY_H

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <future>
#include <limits>
#include <string>
#include <thread>

namespace peridotfall::testing {

struct RelayOptions {
  std::size_t PieceBytes = 4 << 10;
  std::chrono::milliseconds Gap{15}; ///< Delay before each piece.
  /// Bytes of answers after which nothing more is forwarded.
  std::size_t StallAfter = std::numeric_limits<std::size_t>::max();
};

/// Relays one connection, on its own threads.
class SlowRelay {
public:
  SlowRelay(std::uint16_t serverPort, RelayOptions options)
      : Options(options), Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
        Upstream(Loop), Downstream(Loop), Thread([this, serverPort] {
          Acceptor.accept(Downstream);
          Upstream.connect({asio::ip::address_v4::loopback(), serverPort});
          Connected.set_value();
          std::thread requests([this] { passRequests(); });
          passAnswers();
          requests.join();
        }) {}
  /// Waits until the connection was made, then closes it.
  ~SlowRelay() {
    Connected.get_future().wait();
    std::error_code ignored; // It may be closed already.
    Downstream.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    Upstream.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    Thread.join();
  }
  SlowRelay(const SlowRelay &) = delete;
  SlowRelay &operator=(const SlowRelay &) = delete;

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
  void passRequests() {
    std::array<char, 4 << 10> buf{};
    std::error_code ec;
    while (!ec) {
      auto n = Downstream.read_some(asio::buffer(buf), ec);
      if (!ec)
        asio::write(Upstream, asio::buffer(buf, n), ec);
    }
    Upstream.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  }
  void passAnswers() {
    std::string buf(Options.PieceBytes, '\0');
    std::error_code ec;
    for (std::size_t passed = 0; !ec;) {
      auto n = Upstream.read_some(asio::buffer(buf), ec);
      std::this_thread::sleep_for(Options.Gap);
      auto most = std::min(n, Options.StallAfter - passed);
      if (!ec)
        asio::write(Downstream, asio::buffer(buf, most), ec);
      passed += most;
    }
  }

  RelayOptions Options;
  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Upstream;
  asio::ip::tcp::socket Downstream;
  std::promise<void> Connected; ///< The sockets are not replaced from here on.
  std::thread Thread;
};

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_HTTP_SLOW_RELAY_H
