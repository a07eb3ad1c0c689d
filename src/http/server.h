/// \file
/// An HTTP/2 server on the event loops, for callers, other daemons and the test
/// stand-ins.

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
  std::string Address; ///< IP address and port; port 0 selects a free one.
  TlsContext Tls;      ///< Null: plain text.
  std::uint32_t MaxStreams = limits::MaxCallerStreams;
  std::size_t MaxBody = limits::MaxRequestBody;
  std::chrono::milliseconds SlowSender = limits::SlowSenderLimit;
  /// Called on the connection's loop after it has closed.
  std::function<void(ConnectionHandle)> OnClosed;
};

class ServerConnection;

class Server : public std::enable_shared_from_this<Server> {
public:
  Server(Loops &loops, ServerOptions options, Handler handler);

  /// Starts to listen. \return why the address cannot be used, if so.
  std::error_code start();
  std::uint16_t port() const { return Port; }
  /// Graceful shutdown: sends GOAWAY on all connections and accepts no more.
  void drain();
  /// Closes all connections at once.
  void stop();
  std::size_t connections() const;

private:
  friend class ServerConnection;
  void accept();
  void addConnection(asio::ip::tcp::socket socket, asio::io_context &loop);
  void removeConnection(ConnectionHandle it);
  std::vector<std::shared_ptr<ServerConnection>> openConnections() const;

  Loops &Pool;
  ServerOptions Options;
  Handler OnRequest;
  std::unique_ptr<asio::ip::tcp::acceptor> Acceptor;
  asio::io_context *AcceptLoop = nullptr;
  std::uint16_t Port = 0;
  mutable std::mutex Lock;
  std::unordered_map<ConnectionHandle, std::weak_ptr<ServerConnection>> Open;
  std::uint64_t LastConnection = 0;
};

/// \return the endpoint, or nothing if the text is not an IP address and port.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_SERVER_H
