#include "http/server_connection.h"
#include "http/status.h"

#include <array>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <string_view>
#include <utility>

namespace peridotfall::http {

namespace {

ServerConnection &connectionOf(void *self) {
  return *static_cast<ServerConnection *>(self);
}

std::string_view view(const std::uint8_t *data, std::size_t n) {
  return {reinterpret_cast<const char *>(data), n};
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<Server> server,
                                   ConnectionHandle handle,
                                   asio::ip::tcp::socket socket,
                                   asio::io_context &loop)
    : Owner(std::move(server)), Handle(handle), Loop(loop), SenderTimer(loop) {
  std::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  auto remote = socket.remote_endpoint(ec);
  if (!ec)
    Peer = remote.address().to_string();
  Io = std::make_shared<Pump>(ByteStream(std::move(socket), Owner->Options.Tls),
                              [this] { closed(); });
}

void ServerConnection::start() {
  // The timer for slow senders also closes a connection whose TLS handshake
  // stalls.
  startSenderTimer();
  Io->stream().handshake(true, [self = shared_from_this()](std::error_code ec) {
    self->HandshakeDone = true;
    if (ec) {
      self->Io->stream().close();
      self->closed();
      return;
    }
    self->Io->start(self->makeSession(), self);
  });
}

SessionPtr ServerConnection::makeSession() {
  nghttp2_session_callbacks *callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBegin);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         onStreamClosed);
  nghttp2_session *session = nullptr;
  nghttp2_session_server_new(&session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  std::array<nghttp2_settings_entry, 2> settings{{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Owner->Options.MaxStreams},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<std::uint32_t>(limits::MaxHeaderBytes)},
  }};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  return SessionPtr(session);
}

ServerConnection::Exchange *ServerConnection::find(std::int32_t stream) {
  auto it = Exchanges.find(stream);
  return it == Exchanges.end() ? nullptr : &it->second;
}

int ServerConnection::onBegin(nghttp2_session *, const nghttp2_frame *frame,
                              void *self) {
  if (frame->hd.type != NGHTTP2_HEADERS ||
      frame->headers.cat != NGHTTP2_HCAT_REQUEST)
    return 0;
  auto &conn = connectionOf(self);
  auto &it = conn.Exchanges[frame->hd.stream_id];
  it.In.Connection = conn.Handle;
  it.In.Peer = conn.Peer;
  it.In.Cancelled = std::make_shared<std::atomic<bool>>(false);
  it.LastReceived = std::chrono::steady_clock::now();
  conn.startSenderTimer();
  return 0;
}

int ServerConnection::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                               const std::uint8_t *name, std::size_t nameLength,
                               const std::uint8_t *value,
                               std::size_t valueLength, std::uint8_t,
                               void *self) {
  auto &conn = connectionOf(self);
  if (auto *it = conn.find(frame->hd.stream_id))
    conn.addHeader(*it, frame->hd.stream_id,
                   std::string(view(name, nameLength)),
                   std::string(view(value, valueLength)));
  return 0;
}

int ServerConnection::onData(nghttp2_session *, std::uint8_t,
                             std::int32_t stream, const std::uint8_t *data,
                             std::size_t length, void *self) {
  auto &conn = connectionOf(self);
  if (auto *it = conn.find(stream))
    conn.addBody(*it, stream, view(data, length));
  return 0;
}

int ServerConnection::onFrame(nghttp2_session *, const nghttp2_frame *frame,
                              void *self) {
  if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA)
    return 0;
  if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
    return 0;
  auto &conn = connectionOf(self);
  auto *it = conn.find(frame->hd.stream_id);
  if (it && !it->Complete) {
    it->Complete = true;
    if (!it->Refused)
      conn.dispatch(frame->hd.stream_id, *it);
  }
  return 0;
}

int ServerConnection::onStreamClosed(nghttp2_session *, std::int32_t stream,
                                     std::uint32_t, void *self) {
  auto &conn = connectionOf(self);
  auto it = conn.Exchanges.find(stream);
  if (it == conn.Exchanges.end())
    return 0;
  it->second.In.Cancelled->store(true);
  conn.Exchanges.erase(it);
  return 0;
}

/// Unlimited headers could exhaust the memory of a small VM. The request is
/// refused as soon as it exceeds the limit, and its further headers are
/// dropped.
void ServerConnection::addHeader(Exchange &it, std::int32_t stream,
                                 std::string name, std::string value) {
  if (it.Refused)
    return;
  it.HeaderBytes += name.size() + value.size();
  if (it.HeaderBytes > limits::MaxHeaderBytes ||
      it.In.Fields.size() >= limits::MaxHeaderFields) {
    refuse(stream, it, StatusHeadersTooLarge);
    return;
  }
  if (name == ":method")
    it.In.Method = std::move(value);
  else if (name == ":path")
    it.In.Path = std::move(value);
  else if (name.front() != ':')
    it.In.Fields.push_back({std::move(name), std::move(value)});
}

void ServerConnection::addBody(Exchange &it, std::int32_t stream,
                               std::string_view bytes) {
  it.LastReceived = std::chrono::steady_clock::now();
  if (it.Refused)
    return;
  if (it.In.Body.size() + bytes.size() > Owner->Options.MaxBody) {
    refuse(stream, it, StatusTooLarge);
    return;
  }
  it.In.Body.append(bytes);
}

void ServerConnection::refuse(std::int32_t stream, Exchange &it, int status) {
  it.Refused = true;
  it.In.Body.clear();
  it.In.Body.shrink_to_fit();
  respond(stream, {status, {}, ""});
}

void ServerConnection::dispatch(std::int32_t stream, Exchange &it) {
  std::weak_ptr<ServerConnection> weak = weak_from_this();
  auto respond = [weak, stream, &loop = Loop](Response response) {
    asio::dispatch(loop,
                   [weak, stream, response = std::move(response)]() mutable {
                     if (auto self = weak.lock())
                       self->respond(stream, std::move(response));
                   });
  };
  auto request = std::move(it.In);
  it.In.Cancelled = request.Cancelled;
  Owner->OnRequest(std::move(request), std::move(respond));
}

void ServerConnection::respond(std::int32_t stream, Response response) {
  auto *it = find(stream);
  if (!it || it->Answered || !Io->session())
    return;
  it->Answered = true;
  it->Out.Bytes = std::move(response.Body);
  Headers fields = {{":status", std::to_string(response.Status)}};
  fields.insert(fields.end(), std::make_move_iterator(response.Fields.begin()),
                std::make_move_iterator(response.Fields.end()));
  auto values = toNameValues(fields);
  auto body = makeDataProvider(it->Out);
  nghttp2_submit_response(Io->session(), stream, values.data(), values.size(),
                          it->Out.Bytes.empty() ? nullptr : &body);
  Io->flush();
}

/// Closes the connection of a slow sender, which occupies a stream and a
/// buffer. Runs only while a request or the handshake is incomplete, so that
/// idle connections need no timer.
void ServerConnection::startSenderTimer() {
  if (SenderTimerRunning)
    return;
  SenderTimerRunning = true;
  SenderTimer.expires_after(Owner->Options.SlowSender / 4);
  SenderTimer.async_wait(
      [weak = weak_from_this(),
       since = std::chrono::steady_clock::now()](std::error_code ec) {
        auto self = weak.lock();
        if (ec || !self)
          return;
        self->SenderTimerRunning = false;
        auto limit =
            std::chrono::steady_clock::now() - self->Owner->Options.SlowSender;
        bool unfinished = !self->HandshakeDone;
        for (const auto &[stream, it] : self->Exchanges) {
          if (it.Complete)
            continue;
          unfinished = true;
          if (it.LastReceived < limit) {
            self->Io->close();
            return;
          }
        }
        if (unfinished)
          self->startSenderTimer();
      });
}

void ServerConnection::drain() {
  asio::post(Loop, [self = shared_from_this()] {
    if (!self->Io->isOpen())
      return;
    // Streams above the last processed one are refused. Their requests were not
    // run, so the caller may send them elsewhere.
    nghttp2_submit_goaway(
        self->Io->session(), NGHTTP2_FLAG_NONE,
        nghttp2_session_get_last_proc_stream_id(self->Io->session()),
        NGHTTP2_NO_ERROR, nullptr, 0);
    self->Io->flush();
  });
}

void ServerConnection::stop() {
  asio::post(Loop, [self = shared_from_this()] {
    if (self->Io->isOpen())
      self->Io->close();
    else
      self->Io->stream().close();
  });
}

void ServerConnection::closed() {
  SenderTimer.cancel();
  for (auto &[stream, it] : Exchanges)
    it.In.Cancelled->store(true);
  Owner->removeConnection(Handle);
  if (Owner->Options.OnClosed)
    Owner->Options.OnClosed(Handle);
}

} // namespace peridotfall::http
