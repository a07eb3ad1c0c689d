/// \file
/// A TCP relay that counts the payload bytes it forwards, without TCP and IP
/// headers.

#ifndef PERIDOTFALL_BENCH_SLOPES_RELAY_H
#define PERIDOTFALL_BENCH_SLOPES_RELAY_H

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdint>
#include <memory>

namespace peridotfall::bench {

class CountingRelay {
public:
  CountingRelay(asio::io_context &loop, std::uint16_t to)
      : Loop(loop), Destination(loopback(to)), Acceptor(loop, loopback(0)) {
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Payload bytes forwarded so far, both directions.
  double bytes() const { return static_cast<double>(ByteCount.load()); }

private:
  using Tcp = asio::ip::tcp;
  struct Connection {
    explicit Connection(asio::io_context &loop) : Client(loop), Server(loop) {}
    Tcp::socket Client;
    Tcp::socket Server;
    std::array<char, 65536> ClientBuffer{};
    std::array<char, 65536> ServerBuffer{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  static Tcp::endpoint loopback(std::uint16_t port) {
    return {asio::ip::address_v4::loopback(), port};
  }

  void accept() {
    auto connection = std::make_shared<Connection>(Loop);
    Acceptor.async_accept(
        connection->Client, [this, connection](std::error_code ec) {
          if (ec)
            return;
          connection->Client.set_option(Tcp::no_delay(true));
          connection->Server.async_connect(
              Destination, [this, connection](std::error_code failed) {
                if (failed)
                  return;
                connection->Server.set_option(Tcp::no_delay(true));
                forward(connection, connection->Client, connection->Server,
                        connection->ClientBuffer);
                forward(connection, connection->Server, connection->Client,
                        connection->ServerBuffer);
              });
          accept();
        });
  }

  void forward(const ConnectionPtr &connection, Tcp::socket &from,
               Tcp::socket &to, std::array<char, 65536> &buffer) {
    from.async_read_some(
        asio::buffer(buffer), [this, connection, &from, &to,
                               &buffer](std::error_code ec, std::size_t n) {
          if (ec) {
            std::error_code ignored;
            to.close(ignored);
            return;
          }
          ByteCount += n;
          asio::async_write(to, asio::buffer(buffer.data(), n),
                            [this, connection, &from, &to,
                             &buffer](std::error_code failed, std::size_t) {
                              if (!failed)
                                forward(connection, from, to, buffer);
                            });
        });
  }

  asio::io_context &Loop;
  Tcp::endpoint Destination;
  Tcp::acceptor Acceptor;
  std::atomic<std::uint64_t> ByteCount{0};
};

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_RELAY_H
