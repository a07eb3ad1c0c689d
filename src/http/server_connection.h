/// \file
/// One accepted HTTP/2 connection. Its state is accessed on its loop only.

#ifndef PERIDOTFALL_HTTP_SERVER_CONNECTION_H
#define PERIDOTFALL_HTTP_SERVER_CONNECTION_H

#include "http/pump.h"
#include "http/server.h"

#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

namespace peridotfall::http {

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(std::shared_ptr<Server> server, ConnectionHandle handle,
                   asio::ip::tcp::socket socket, asio::io_context &loop);

  void start();
  /// Thread-safe.
  void drain();
  /// Thread-safe.
  void stop();

private:
  struct Exchange {
    Request In;
    std::size_t HeaderBytes = 0;
    bool Refused = false;  ///< Answered before it was complete.
    bool Complete = false; ///< The whole request was received.
    bool Answered = false;
    BodySource Out;
    std::chrono::steady_clock::time_point LastReceived;
  };

  static int onBegin(nghttp2_session *, const nghttp2_frame *, void *self);
  static int onHeader(nghttp2_session *, const nghttp2_frame *,
                      const std::uint8_t *name, std::size_t nameLength,
                      const std::uint8_t *value, std::size_t valueLength,
                      std::uint8_t flags, void *self);
  static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t stream,
                    const std::uint8_t *data, std::size_t length, void *self);
  static int onFrame(nghttp2_session *, const nghttp2_frame *, void *self);
  static int onStreamClosed(nghttp2_session *, std::int32_t stream,
                            std::uint32_t code, void *self);

  SessionPtr makeSession();
  Exchange *find(std::int32_t stream);
  void addHeader(Exchange &it, std::int32_t stream, std::string name,
                 std::string value);
  void addBody(Exchange &it, std::int32_t stream, std::string_view bytes);
  void dispatch(std::int32_t stream, Exchange &it);
  void respond(std::int32_t stream, Response response);
  void refuse(std::int32_t stream, Exchange &it, int status);
  void startSenderTimer();
  void closed();

  std::shared_ptr<Server> Owner;
  ConnectionHandle Handle;
  asio::io_context &Loop;
  std::string Peer;
  std::shared_ptr<Pump> Io;
  std::map<std::int32_t, Exchange> Exchanges;
  asio::steady_timer SenderTimer;
  bool SenderTimerRunning = false;
  bool HandshakeDone = false;
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_SERVER_CONNECTION_H
