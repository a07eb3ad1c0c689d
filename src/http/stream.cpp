#include "http/stream.h"

#include "peridotfall/limits.h"

#include <array>
#include <asio/write.hpp>
#include <utility>

namespace peridotfall::http {

ByteStream::ByteStream(asio::ip::tcp::socket socket, TlsContext tls)
    : Context(std::move(tls)) {
  if (Context)
    Tls.emplace(std::move(socket), *Context);
  else
    Plain.emplace(std::move(socket));
}

asio::ip::tcp::socket &ByteStream::socket() {
  return Tls ? Tls->next_layer() : *Plain;
}

void ByteStream::handshake(bool asServer, DoneHandler done) {
  if (!Tls) {
    done({});
    return;
  }
  Tls->async_handshake(asServer ? asio::ssl::stream_base::server
                                : asio::ssl::stream_base::client,
                       std::move(done));
}

void ByteStream::read(ReadHandler done) {
  if (!Tls) {
    readPlain(std::move(done));
    return;
  }
  if (TlsBuffer.empty())
    TlsBuffer.resize(limits::ReadBufferBytes);
  Tls->async_read_some(
      asio::buffer(TlsBuffer),
      [this, done = std::move(done)](std::error_code ec, std::size_t n) {
        done(ec, {TlsBuffer.data(), n});
      });
}

/// Waits without a buffer, then reads into a buffer of the thread. An idle
/// connection needs no buffer: most of millions of connections are idle.
void ByteStream::readPlain(ReadHandler done) {
  Plain->async_wait(
      asio::ip::tcp::socket::wait_read,
      [this, done = std::move(done)](std::error_code ec) {
        thread_local std::array<std::uint8_t, limits::SharedReadBytes> buf;
        std::size_t n = 0;
        if (!ec) {
          Plain->non_blocking(true, ec);
          n = Plain->read_some(asio::buffer(buf), ec);
        }
        if (ec == asio::error::would_block)
          ec = {};
        done(ec, {buf.data(), n});
      });
}

void ByteStream::write(asio::const_buffer buf, DoneHandler done) {
  auto finish = [done = std::move(done)](std::error_code ec, std::size_t) {
    done(ec);
  };
  if (Tls)
    asio::async_write(*Tls, buf, std::move(finish));
  else
    asio::async_write(*Plain, buf, std::move(finish));
}

void ByteStream::close() {
  std::error_code ec;
  socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  socket().close(ec);
}

} // namespace peridotfall::http
