#include "http/pump.h"

#include <algorithm>

#include <utility>

namespace peridotfall::http {

namespace {

ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *buf,
                 std::size_t length, std::uint32_t *flags,
                 nghttp2_data_source *source, void *) {
  auto &body = *static_cast<BodySource *>(source->ptr);
  auto n = std::min(length, body.Bytes.size() - body.Sent);
  std::copy_n(body.Bytes.data() + body.Sent, n, buf);
  body.Sent += n;
  if (body.Sent == body.Bytes.size())
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(n);
}

} // namespace

std::string_view findHeader(const Headers &headers, std::string_view name) {
  for (const auto &it : headers)
    if (it.Name == name)
      return it.Value;
  return {};
}

std::vector<nghttp2_nv> toNameValues(const Headers &headers) {
  std::vector<nghttp2_nv> out;
  out.reserve(headers.size());
  for (const auto &it : headers) {
    // nghttp2 copies both strings, although it takes non-const pointers.
    auto *name =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(it.Name.data()));
    auto *value =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(it.Value.data()));
    out.push_back(
        {name, value, it.Name.size(), it.Value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return out;
}

nghttp2_data_provider makeDataProvider(BodySource &body) {
  nghttp2_data_provider it{};
  it.source.ptr = &body;
  it.read_callback = readBody;
  return it;
}

Pump::Pump(ByteStream stream, std::function<void()> onClosed)
    : Stream(std::move(stream)), OnClosed(std::move(onClosed)) {}

void Pump::start(SessionPtr session, const std::shared_ptr<void> &owner) {
  Session = std::move(session);
  Owner = owner;
  Open = true;
  read();
  flush();
}

void Pump::read() {
  Stream.read([this, self = shared_from_this(), owner = Owner.lock()](
                  std::error_code ec, std::span<const std::uint8_t> bytes) {
    if (!Open)
      return;
    if (ec) {
      close();
      return;
    }
    receive(bytes);
    if (Open)
      read();
  });
}

void Pump::receive(std::span<const std::uint8_t> bytes) {
  InSession = true;
  auto n = nghttp2_session_mem_recv(Session.get(), bytes.data(), bytes.size());
  InSession = false;
  if (n < 0) {
    // Protocol error by the peer. nghttp2's GOAWAY is collected, and sent where
    // that is still possible.
    collectOutput();
    close();
    return;
  }
  flush();
}

/// Gathers the session's frames, so that many answers share one write.
void Pump::collectOutput() {
  constexpr std::size_t MaxWriteBytes = 64 << 10;
  InSession = true;
  while (Out.size() < MaxWriteBytes) {
    const std::uint8_t *data = nullptr;
    auto n = nghttp2_session_mem_send(Session.get(), &data);
    if (n <= 0)
      break;
    Out.append(reinterpret_cast<const char *>(data),
               static_cast<std::size_t>(n));
  }
  InSession = false;
}

void Pump::flush() {
  if (!Open || Writing || InSession)
    return;
  collectOutput();
  if (Out.empty()) {
    closeIfFinished();
    return;
  }
  Writing = true;
  Stream.write(asio::buffer(Out),
               [self = shared_from_this()](std::error_code ec) {
                 self->Writing = false;
                 self->Out.clear();
                 if (!self->Open)
                   return;
                 if (ec)
                   self->close();
                 else
                   self->flush();
               });
}

void Pump::closeIfFinished() {
  if (nghttp2_session_want_read(Session.get()) == 0 &&
      nghttp2_session_want_write(Session.get()) == 0)
    close();
}

void Pump::close() {
  if (!Open)
    return;
  Open = false;
  Stream.close();
  auto onClosed = std::exchange(OnClosed, nullptr);
  if (onClosed)
    onClosed();
}

} // namespace peridotfall::http
