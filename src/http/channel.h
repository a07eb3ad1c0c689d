/// \file
/// An HTTP/2 client connection to one address.

#ifndef PERIDOTFALL_HTTP_CHANNEL_H
#define PERIDOTFALL_HTTP_CHANNEL_H

#include "http/answer_progress.h"
#include "http/message.h"
#include "http/pump.h"
#include "peridotfall/limits.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/outcome/outcome.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridotfall::http {

using CallResult =
    BOOST_OUTCOME_V2_NAMESPACE::checked<Response, TransportError>;
using OnResult = std::function<void(CallResult)>;

struct ChannelOptions {
  TlsContext Tls = nullptr;
  /// Reconnects for the next call after the connection was lost. Off where the
  /// connection has state of its own, such as an open transaction.
  bool Reconnect = true;
  std::chrono::milliseconds ConnectLimit = limits::ConnectLimit;
  std::size_t MaxBody = limits::MaxAnswerBody;
};

class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(asio::io_context &loop, std::string address, ChannelOptions options);

  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Thread-safe. The callback runs on the channel's loop, exactly once.
  /// \param limit longest wait for the whole answer, including the connect.
  void call(Request request, std::chrono::milliseconds limit, OnResult done);
  /// The same for an answer that may be large.
  void call(Request request, const AnswerLimits &limits, OnResult done);
  /// Thread-safe. Calls in flight fail.
  void close();
  /// Thread-safe. \return whether the connection has ended for good: closed, or
  /// lost without Reconnect.
  bool isTerminated() const { return Terminated.load(); }
  /// On the channel's loop only. \return whether a call has no answer yet.
  bool hasCalls() const { return !Pending.empty() || !InFlight.empty(); }
  const std::string &address() const { return Address; }
  asio::io_context &loop() { return Loop; }

private:
  friend class ChannelRegistry;

  struct Call {
    explicit Call(asio::io_context &loop) : Timer(loop) {}

    Request In;
    Response Out;
    OnResult Done;
    BodySource Body;
    asio::steady_timer Timer;
    std::int32_t Stream = 0;
    bool TooLarge = false;
    AnswerProgress Progress;

    Transfer received() const;
  };
  using CallPtr = std::shared_ptr<Call>;

  static int onHeader(nghttp2_session *, const nghttp2_frame *,
                      const std::uint8_t *name, std::size_t nameLength,
                      const std::uint8_t *value, std::size_t valueLength,
                      std::uint8_t flags, void *self);
  static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t stream,
                    const std::uint8_t *data, std::size_t length, void *self);
  static int onStreamClosed(nghttp2_session *, std::int32_t stream,
                            std::uint32_t code, void *self);

  void begin(const CallPtr &call, const AnswerLimits &limits);
  /// Times the call out at the deadline of its limits.
  void startTimer(const CallPtr &call);
  void connect();
  void onConnected(std::error_code ec);
  void onOpened();
  SessionPtr makeSession();
  void submit(const CallPtr &call);
  void recordProgress(const CallPtr &call);
  void expire(const CallPtr &call);
  void failPending(const std::string &why);
  void onConnectionLost();
  /// Drops all calls without running their callbacks: the loop has shut down.
  void abandon();

  asio::io_context &Loop;
  std::string Address;
  ChannelOptions Options;
  std::shared_ptr<Pump> Io;
  asio::steady_timer ConnectTimer;
  bool Connecting = false;
  bool Closed = false;
  std::atomic<bool> Terminated{false};
  std::deque<CallPtr> Pending;
  std::map<std::int32_t, CallPtr> InFlight;
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_CHANNEL_H
