/// \file
/// A TCP relay that counts the bytes of one link, TCP and IP headers left
/// out.

#ifndef PERIDOTFALL_BENCH_SLOPES_RELAY_H
#define PERIDOTFALL_BENCH_SLOPES_RELAY_H

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdint>
#include <memory>

namespace peridotfall::bench {

class Relay {
public:
  Relay(asio::io_context &loop, std::uint16_t to)
      : Loop(loop), To(loopback(to)), Acceptor(loop, loopback(0)) {
    accept();
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }
  /// Bytes so far, both ways.
  double bytes() const { return static_cast<double>(Count.load()); }

private:
  using Tcp = asio::ip::tcp;
  struct Link {
    explicit Link(asio::io_context &loop) : A(loop), B(loop) {}
    Tcp::socket A;
    Tcp::socket B;
    std::array<char, 65536> FromA{};
    std::array<char, 65536> FromB{};
  };
  using LinkPtr = std::shared_ptr<Link>;

  static Tcp::endpoint loopback(std::uint16_t port) {
    return {asio::ip::address_v4::loopback(), port};
  }

  void accept() {
    auto link = std::make_shared<Link>(Loop);
    Acceptor.async_accept(link->A, [this, link](std::error_code ec) {
      if (ec)
        return;
      link->A.set_option(Tcp::no_delay(true));
      link->B.async_connect(To, [this, link](std::error_code failed) {
        if (failed)
          return;
        link->B.set_option(Tcp::no_delay(true));
        pump(link, link->A, link->B, link->FromA);
        pump(link, link->B, link->A, link->FromB);
      });
      accept();
    });
  }

  void pump(const LinkPtr &link, Tcp::socket &from, Tcp::socket &to,
            std::array<char, 65536> &buf) {
    from.async_read_some(
        asio::buffer(buf),
        [this, link, &from, &to, &buf](std::error_code ec, std::size_t n) {
          if (ec) {
            std::error_code ignored;
            to.close(ignored);
            return;
          }
          Count += n;
          asio::async_write(to, asio::buffer(buf.data(), n),
                            [this, link, &from, &to,
                             &buf](std::error_code failed, std::size_t) {
                              if (!failed)
                                pump(link, from, to, buf);
                            });
        });
  }

  asio::io_context &Loop;
  Tcp::endpoint To;
  Tcp::acceptor Acceptor;
  std::atomic<std::uint64_t> Count{0};
};

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_RELAY_H
