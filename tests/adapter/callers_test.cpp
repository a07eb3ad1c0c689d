#include "callers.h"

#include "proxy/fixture.h"

#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <thread>

using namespace peridotfall;
using namespace peridotfall::adapter;
using namespace peridotfall::proxy;
using asio::ip::tcp;

namespace {

/// One caller on a real connection; the targets are fake, in virtual time.
struct CallersFixture : ProxyFixture {
  asio::io_context Loop;
  CallerConnections Connections{Loop};
  proxy::Sessions Served{TargetGroups, Connections, Metrics, Time};
  tcp::socket Peer{Loop};

  CallersFixture() {
    Served.applyRoutes(Callers.routes());
    // A port that is free now.
    tcp::acceptor free(Loop, {asio::ip::address_v4::loopback(), 0});
    auto address = free.local_endpoint();
    free.close();
    REQUIRE_FALSE(Connections.listen(address, Served));
    Peer.open(tcp::v4());
    Peer.set_option(asio::socket_base::receive_buffer_size(32 << 10));
    Peer.connect(address);
  }
  void send(const std::string &line) { asio::write(Peer, asio::buffer(line)); }
  template <class Until> void runUntil(Until until) {
    while (!until())
      Loop.run_one();
  }
};

} // namespace

// Guards against a process that ends while it still sends a long answer.
TEST_CASE_FIXTURE(CallersFixture,
                  "long answer on a slow link during a stop, it is delivered "
                  "before the process may end") {
  constexpr std::size_t RowBytes = 900'000;
  constexpr std::size_t Rows = 4;
  send("START orders\r\nQUERY q READ a\r\n");
  runUntil([&] {
    completeHandshakes();
    return busyAt("p").has_value();
  });
  auto id = *busyAt("p");
  auto next = [&] { return Links.Connections.at(id).Unanswered.front(); };
  answer(id, success(next(), TransactionState::Open));
  auto read = success(next(), TransactionState::Open);
  read.Rows.assign(Rows, std::string(RowBytes, 'r'));
  answer(id, read);
  answer(id, success(next(), TransactionState::Idle));
  Served.stop(milliseconds(6'000));
  Time.advance(milliseconds(1'600));
  Served.tick();
  Loop.poll();
  CHECK(Served.isStopped());
  CHECK_FALSE(Connections.isDelivered());
  asio::streambuf got;
  std::error_code ec;
  std::thread reader(
      [&] { asio::read_until(Peer, got, "\r\nREADY I 3.100\r\n", ec); });
  while (!Connections.isDelivered())
    Loop.poll();
  reader.join();
  CHECK_FALSE(ec);
  CHECK(got.size() > Rows * RowBytes);
}
