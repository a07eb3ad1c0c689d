#include "line_stream.h"
#include "wire.h"

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace peridotfall;
using namespace peridotfall::adapter;
using asio::ip::tcp;

namespace {

/// A stream under test, with a plain socket as its peer.
struct StreamFixture {
  asio::io_context Loop;
  tcp::socket Peer{Loop};
  std::shared_ptr<LineStream> Stream;
  std::vector<std::string> Lines;
  std::string Why;

  StreamFixture() {
    tcp::acceptor acceptor(Loop, {asio::ip::address_v4::loopback(), 0});
    Peer.connect(acceptor.local_endpoint());
    Stream = std::make_shared<LineStream>(acceptor.accept());
    Stream->start([this](std::string_view line) { Lines.emplace_back(line); },
                  [this](const char *why) { Why = why; });
  }
  void send(const std::string &bytes) {
    asio::write(Peer, asio::buffer(bytes));
  }
  template <class Until> void runUntil(Until until) {
    while (!until())
      Loop.run_one();
  }
};

} // namespace

TEST_CASE_FIXTURE(StreamFixture, "lines received in parts, are assembled") {
  send("QUERY a RE");
  send("AD x\r\nQUERY b COMMIT\r\nQUE");
  runUntil([&] { return Lines.size() == 2; });
  CHECK(Lines == std::vector<std::string>{"QUERY a READ x", "QUERY b COMMIT"});
}

// Guards against a line without an end that uses up the memory of a small VM.
TEST_CASE_FIXTURE(StreamFixture, "line that never ends, closes the stream") {
  std::string bytes(64 << 10, 'x');
  std::error_code ec;
  for (std::size_t sent = 0;
       sent <= MaxMessageBytes + bytes.size() && Why.empty();
       sent += bytes.size()) {
    asio::write(Peer, asio::buffer(bytes), ec);
    while (Loop.poll_one() > 0) {
    }
  }
  runUntil([&] { return !Why.empty(); });
  CHECK(Why == "message too long");
}

// Guards against unbounded buffering for a peer that does not read. The stream
// is closed at the bound, but not during write(), whose caller still uses it.
TEST_CASE_FIXTURE(StreamFixture, "peer that does not read, closes the stream") {
  std::string bytes(1 << 20, 'x');
  for (unsigned n = 0; n < 64; ++n) {
    Stream->write(bytes);
    CHECK((n > 0 || Why.empty()));
  }
  CHECK(Why.empty());
  runUntil([&] { return !Why.empty(); });
  CHECK(Why == "the other side does not read");
}

TEST_CASE_FIXTURE(StreamFixture,
                  "finished stream, sends its queued bytes first") {
  Stream->write("ERROR NODB x\r\n");
  Stream->finish();
  std::string got(14, ' ');
  std::error_code ec;
  std::thread reader([&] { asio::read(Peer, asio::buffer(got), ec); });
  Loop.run();
  reader.join();
  CHECK(got == "ERROR NODB x\r\n");
}

TEST_CASE_FIXTURE(
    StreamFixture,
    "incomplete line, is reported from its first byte to its end") {
  CHECK_FALSE(Stream->isUnfinished());
  send("QUERY a RE");
  runUntil([&] { return Stream->isUnfinished(); });
  send("AD x\r\n");
  runUntil([&] { return Lines.size() == 1; });
  CHECK_FALSE(Stream->isUnfinished());
}

// Guards against a reset that overtakes the last bytes: the peer sends on while
// it reads a long answer.
TEST_CASE_FIXTURE(StreamFixture,
                  "finished stream, peer sends on while it reads, it gets all "
                  "bytes") {
  constexpr std::size_t Size = 3 << 20;
  Peer.set_option(asio::socket_base::receive_buffer_size(32 << 10));
  Stream->write(std::string(Size, 'x'));
  Stream->finish();
  std::size_t got = 0;
  std::thread reader([&] {
    std::string part(64 << 10, ' ');
    std::error_code ec;
    while (got < Size && !ec) {
      asio::write(Peer, asio::buffer("QUERY a READ x\r\n", 16), ec);
      ec.clear();
      got += Peer.read_some(asio::buffer(part), ec);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    Peer.close(ec);
  });
  Loop.run();
  reader.join();
  CHECK(got == Size);
  CHECK(Stream->isClosed());
}

TEST_CASE_FIXTURE(StreamFixture,
                  "finished stream, is closed once the peer has all bytes") {
  constexpr std::size_t Size = 3 << 20;
  Peer.set_option(asio::socket_base::receive_buffer_size(32 << 10));
  Stream->write(std::string(Size, 'x'));
  Stream->finish();
  Loop.poll();
  CHECK_FALSE(Stream->isClosed());
  std::thread reader([&] {
    std::string got(Size, ' ');
    std::error_code ec;
    asio::read(Peer, asio::buffer(got), ec);
  });
  while (!Stream->isClosed())
    Loop.poll();
  reader.join();
}
