#include "http/channel.h"

#include "http/server.h"

#include <algorithm>
#include <array>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <mutex>
#include <set>
#include <utility>

namespace peridotfall::http {

/// The channels of one loop. A callback often owns an object that owns its
/// channel. When the loop shuts down with calls in flight, dropping these calls
/// breaks the reference cycle.
class ChannelRegistry : public asio::execution_context::service {
public:
  using key_type = ChannelRegistry;      // NOLINT: a name that Asio requires.
  static asio::execution_context::id id; // NOLINT: likewise.

  explicit ChannelRegistry(asio::execution_context &context)
      : service(context) {}

  void add(Channel *it) {
    std::lock_guard guard(Lock);
    All.insert(it);
  }
  void remove(Channel *it) {
    std::lock_guard guard(Lock);
    All.erase(it);
  }

private:
  void shutdown() override {
    std::vector<std::shared_ptr<Channel>> open;
    {
      std::lock_guard guard(Lock);
      for (auto *it : All)
        if (auto channel = it->weak_from_this().lock())
          open.push_back(std::move(channel));
    }
    for (const auto &it : open)
      it->abandon();
  }

  std::mutex Lock;
  std::set<Channel *> All;
};

asio::execution_context::id ChannelRegistry::id;

namespace {

Channel &channelOf(void *self) { return *static_cast<Channel *>(self); }

constexpr std::uint32_t AnswerWindowBytes = 4 << 20;

} // namespace

Channel::Channel(asio::io_context &loop, std::string address,
                 ChannelOptions options)
    : Loop(loop), Address(std::move(address)), Options(std::move(options)),
      ConnectTimer(loop) {
  asio::use_service<ChannelRegistry>(loop).add(this);
}

Transfer Channel::Call::received() const {
  return Progress.transfer(Out.Body.size(), std::chrono::steady_clock::now());
}

Channel::~Channel() { asio::use_service<ChannelRegistry>(Loop).remove(this); }

void Channel::abandon() {
  Terminated = true;
  auto pending = std::exchange(Pending, {});
  auto inFlight = std::exchange(InFlight, {});
}

void Channel::call(Request request, std::chrono::milliseconds limit,
                   OnResult done) {
  call(std::move(request), totalTimeout(limit), std::move(done));
}

void Channel::call(Request request, const AnswerLimits &limits, OnResult done) {
  auto it = std::make_shared<Call>(Loop);
  it->In = std::move(request);
  it->Done = std::move(done);
  asio::dispatch(Loop, [self = shared_from_this(), it, limits] {
    self->begin(it, limits);
  });
}

void Channel::startTimer(const CallPtr &call) {
  call->Timer.expires_at(call->Progress.deadline());
  call->Timer.async_wait([weak = weak_from_this(), call](std::error_code ec) {
    auto self = weak.lock();
    if (ec || !self)
      return;
    if (std::chrono::steady_clock::now() < call->Progress.deadline())
      self->startTimer(call);
    else
      self->expire(call);
  });
}

void Channel::begin(const CallPtr &call, const AnswerLimits &limits) {
  if (Closed || Terminated) {
    call->Done(TransportError{Failure::NotSent, "connection closed"});
    return;
  }
  call->Progress = AnswerProgress(limits, std::chrono::steady_clock::now());
  startTimer(call);
  if (Io && Io->isOpen() && !Connecting) {
    submit(call);
    return;
  }
  Pending.push_back(call);
  if (!Connecting)
    connect();
}

void Channel::connect() {
  Connecting = true;
  auto endpoint = parseEndpoint(Address);
  if (!endpoint) {
    // Callers expect no answer from within their call.
    asio::post(Loop, [self = shared_from_this()] {
      self->onConnected(std::make_error_code(std::errc::invalid_argument));
    });
    return;
  }
  Io = std::make_shared<Pump>(
      ByteStream(asio::ip::tcp::socket(Loop), Options.Tls),
      [weak = weak_from_this()] {
        if (auto self = weak.lock())
          self->onConnectionLost();
      });
  ConnectTimer.expires_after(Options.ConnectLimit);
  ConnectTimer.async_wait(
      [weak = weak_from_this(), io = Io](std::error_code ec) {
        if (!ec && weak.lock())
          io->stream().close();
      });
  Io->stream().socket().async_connect(
      *endpoint, [self = shared_from_this()](std::error_code ec) {
        if (ec) {
          self->onConnected(ec);
          return;
        }
        std::error_code ignored;
        self->Io->stream().socket().set_option(asio::ip::tcp::no_delay(true),
                                               ignored);
        self->Io->stream().handshake(
            false, [self](std::error_code e) { self->onConnected(e); });
      });
}

void Channel::onConnected(std::error_code ec) {
  Connecting = false;
  ConnectTimer.cancel();
  if (Closed)
    ec = asio::error::operation_aborted;
  if (ec) {
    if (!Options.Reconnect)
      Terminated = true;
    failPending("cannot connect to " + Address + ": " + ec.message());
    return;
  }
  onOpened();
}

void Channel::onOpened() {
  // Pending reads and writes keep this channel alive while the connection is
  // open.
  Io->start(makeSession(), shared_from_this());
  auto pending = std::exchange(Pending, {});
  for (const auto &it : pending)
    submit(it);
}

SessionPtr Channel::makeSession() {
  nghttp2_session_callbacks *callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         onStreamClosed);
  nghttp2_session *session = nullptr;
  nghttp2_session_client_new(&session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  std::array<nghttp2_settings_entry, 2> settings{{
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, AnswerWindowBytes},
  }};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        AnswerWindowBytes);
  return SessionPtr(session);
}

void Channel::submit(const CallPtr &call) {
  Headers fields = {{":method", call->In.Method},
                    {":scheme", Options.Tls ? "https" : "http"},
                    {":authority", Address},
                    {":path", call->In.Path}};
  fields.insert(fields.end(), call->In.Fields.begin(), call->In.Fields.end());
  auto values = toNameValues(fields);
  call->Body.Bytes = std::move(call->In.Body);
  auto body = makeDataProvider(call->Body);
  auto stream = nghttp2_submit_request(
      Io->session(), nullptr, values.data(), values.size(),
      call->Body.Bytes.empty() ? nullptr : &body, nullptr);
  if (stream < 0) {
    call->Timer.cancel();
    call->Done(TransportError{Failure::NotSent, nghttp2_strerror(stream)});
    return;
  }
  call->Stream = stream;
  InFlight[stream] = call;
  Io->flush();
}

void Channel::recordProgress(const CallPtr &call) {
  bool begins = !call->Progress.hasBegun();
  call->Progress.received(std::chrono::steady_clock::now());
  // The stall limit may end earlier than the limit for the first byte.
  if (begins)
    startTimer(call);
}

void Channel::expire(const CallPtr &call) {
  if (call->Stream == 0) {
    auto it = std::find(Pending.begin(), Pending.end(), call);
    if (it == Pending.end())
      return;
    Pending.erase(it);
    call->Done(TransportError{Failure::NotSent, "connection timed out"});
    return;
  }
  if (InFlight.erase(call->Stream) == 0)
    return;
  if (Io->session()) {
    nghttp2_submit_rst_stream(Io->session(), NGHTTP2_FLAG_NONE, call->Stream,
                              NGHTTP2_CANCEL);
    // The session still reads the body until the stream is closed.
    asio::post(Loop, [keep = call] {});
    Io->flush();
  }
  call->Done(TransportError{
      Failure::MaybeRun, "no answer within the time limit", call->received()});
}

int Channel::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                      const std::uint8_t *name, std::size_t nameLength,
                      const std::uint8_t *value, std::size_t valueLength,
                      std::uint8_t, void *self) {
  auto &inFlight = channelOf(self).InFlight;
  auto it = inFlight.find(frame->hd.stream_id);
  if (it == inFlight.end())
    return 0;
  std::string field(reinterpret_cast<const char *>(name), nameLength);
  std::string text(reinterpret_cast<const char *>(value), valueLength);
  auto &out = it->second->Out;
  channelOf(self).recordProgress(it->second);
  if (field == ":status")
    std::from_chars(text.data(), text.data() + text.size(), out.Status);
  else if (out.Fields.size() < limits::MaxHeaderFields)
    out.Fields.push_back({std::move(field), std::move(text)});
  return 0;
}

int Channel::onData(nghttp2_session *session, std::uint8_t, std::int32_t stream,
                    const std::uint8_t *data, std::size_t length, void *self) {
  auto &channel = channelOf(self);
  auto it = channel.InFlight.find(stream);
  if (it == channel.InFlight.end())
    return 0;
  channel.recordProgress(it->second);
  auto &body = it->second->Out.Body;
  if (body.size() + length > channel.Options.MaxBody) {
    it->second->TooLarge = true;
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_CANCEL);
    return 0;
  }
  body.append(reinterpret_cast<const char *>(data), length);
  return 0;
}

int Channel::onStreamClosed(nghttp2_session *, std::int32_t stream,
                            std::uint32_t code, void *self) {
  auto &channel = channelOf(self);
  auto it = channel.InFlight.find(stream);
  if (it == channel.InFlight.end())
    return 0;
  auto call = it->second;
  channel.InFlight.erase(it);
  call->Timer.cancel();
  call->Out.Received = call->received();
  // The callback must not run inside an nghttp2 callback: it may start another
  // call.
  asio::post(channel.Loop, [call, code] {
    if (code == NGHTTP2_NO_ERROR && !call->TooLarge)
      call->Done(std::move(call->Out));
    else if (code == NGHTTP2_REFUSED_STREAM)
      call->Done(
          TransportError{Failure::NotSent, "stream refused by the peer"});
    else
      call->Done(TransportError{Failure::MaybeRun,
                                call->TooLarge ? "answer too large"
                                               : nghttp2_http2_strerror(code)});
  });
  return 0;
}

void Channel::failPending(const std::string &why) {
  auto pending = std::exchange(Pending, {});
  for (const auto &it : pending) {
    it->Timer.cancel();
    it->Done(TransportError{Failure::NotSent, why});
  }
}

/// Bytes of the calls in flight may have been sent, so their outcome is
/// unknown.
void Channel::onConnectionLost() {
  if (!Options.Reconnect)
    Terminated = true;
  auto inFlight = std::exchange(InFlight, {});
  for (const auto &[stream, it] : inFlight) {
    it->Timer.cancel();
    asio::post(Loop, [call = it] {
      call->Done(TransportError{Failure::MaybeRun, "connection lost"});
    });
  }
}

void Channel::close() {
  asio::dispatch(Loop, [self = shared_from_this()] {
    self->Closed = true;
    self->Terminated = true;
    if (self->Io && self->Io->isOpen())
      self->Io->close();
    else if (self->Io)
      self->Io->stream().close();
    self->failPending("connection closed");
  });
}

} // namespace peridotfall::http
