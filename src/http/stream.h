/// \file
/// A byte stream: TCP, or TLS over TCP.

#ifndef PERIDOTFALL_HTTP_STREAM_H
#define PERIDOTFALL_HTTP_STREAM_H

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace peridotfall::http {

using TlsContext = std::shared_ptr<asio::ssl::context>;
using ReadHandler =
    std::function<void(std::error_code, std::span<const std::uint8_t>)>;
using DoneHandler = std::function<void(std::error_code)>;

class ByteStream {
public:
  /// \param tls null for plain TCP.
  ByteStream(asio::ip::tcp::socket socket, TlsContext tls);

  asio::ip::tcp::socket &socket();
  /// Runs the TLS handshake. For plain TCP, calls \p done at once.
  void handshake(bool asServer, DoneHandler done);
  /// Reads the available bytes. They are valid only during the callback.
  void read(ReadHandler done);
  /// \param buf must stay valid until the callback.
  void write(asio::const_buffer buf, DoneHandler done);
  void close();

private:
  void readPlain(ReadHandler done);

  TlsContext Context;
  std::optional<asio::ip::tcp::socket> Plain;
  std::optional<asio::ssl::stream<asio::ip::tcp::socket>> Tls;
  std::vector<std::uint8_t> TlsBuffer;
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_STREAM_H
