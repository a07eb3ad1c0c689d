/// \file
/// An HTTP/2 server on the loops: callers, other daemons and the stand-ins.

#ifndef PERIDOTFALL_HTTP_SERVER_H
#define PERIDOTFALL_HTTP_SERVER_H

#include "http/loops.h"
#include "http/message.h"
#include "http/stream.h"
#include "peridotfall/limits.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace peridotfall::http {

struct ServerOptions {
  std::string Address; ///< IP number and port; port 0 takes a free one.
  TlsContext Tls;      ///< Null: plain text.
  std::uint32_t MaxStreams = limits::MaxCallerStreams;
  std::size_t MaxBody = limits::MaxRequestBody;
  std::chrono::milliseconds SlowSender = limits::SlowSenderLimit;
  /// Called when a connection has closed, on its loop.
  std::function<void(ConnectionHandle)> OnClosed;
};

class ServerConnection;

class Server : public std::enable_shared_from_this<Server> {
public:
  Server(Loops &loops, ServerOptions options, Handler handler);

  /// Listens. \return what is wrong with the address, if anything.
  std::error_code start();
  std::uint16_t port() const { return Port; }
  /// Tells all connections to finish (GOAWAY) and accepts no more.
  void drain();
  /// Closes everything at once.
  void stop();
  std::size_t connections() const;

private:
  friend class ServerConnection;
  void accept();
  void adopt(asio::ip::tcp::socket socket, asio::io_context &loop);
  void forget(ConnectionHandle it);
  std::vector<std::shared_ptr<ServerConnection>> all() const;

  Loops &Pool;
  ServerOptions Options;
  Handler Handle;
  std::unique_ptr<asio::ip::tcp::acceptor> Acceptor;
  asio::io_context *AcceptLoop = nullptr;
  std::uint16_t Port = 0;
  mutable std::mutex Lock;
  std::unordered_map<ConnectionHandle, std::weak_ptr<ServerConnection>> Open;
  std::uint64_t LastConnection = 0;
};

/// \return the endpoint, or nothing where the text is no IP number and port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_SERVER_H
