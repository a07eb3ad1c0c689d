/// \file
/// A relay before a server that passes its answers on slowly.

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
  std::chrono::milliseconds Gap{15}; ///< Before each piece.
  /// Bytes of answers after which nothing more is passed on.
  std::size_t StallAfter = std::numeric_limits<std::size_t>::max();
};

/// Serves one connection, on threads of its own.
class SlowRelay {
public:
  SlowRelay(std::uint16_t serverPort, RelayOptions options)
      : Options(options), Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
        There(Loop), Here(Loop), Thread([this, serverPort] {
          Acceptor.accept(Here);
          There.connect({asio::ip::address_v4::loopback(), serverPort});
          Connected.set_value();
          std::thread requests([this] { passRequests(); });
          passAnswers();
          requests.join();
        }) {}
  /// Ends the connection, which must have been made.
  ~SlowRelay() {
    Connected.get_future().wait();
    std::error_code ignored; // It may be closed already.
    Here.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    There.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
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
      auto n = Here.read_some(asio::buffer(buf), ec);
      if (!ec)
        asio::write(There, asio::buffer(buf, n), ec);
    }
    There.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  }
  void passAnswers() {
    std::string buf(Options.PieceBytes, '\0');
    std::error_code ec;
    for (std::size_t passed = 0; !ec;) {
      auto n = There.read_some(asio::buffer(buf), ec);
      std::this_thread::sleep_for(Options.Gap);
      auto most = std::min(n, Options.StallAfter - passed);
      if (!ec)
        asio::write(Here, asio::buffer(buf, most), ec);
      passed += most;
    }
  }

  RelayOptions Options;
  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket There;
  asio::ip::tcp::socket Here;
  std::promise<void> Connected; ///< From here on the sockets stay as they are.
  std::thread Thread;
};

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_HTTP_SLOW_RELAY_H
