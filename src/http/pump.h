/// \file
/// Moves bytes between a stream and an nghttp2 session; server and client
/// connections share it.

#ifndef PERIDOTFALL_HTTP_PUMP_H
#define PERIDOTFALL_HTTP_PUMP_H

#include "http/message.h"
#include "http/stream.h"

#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <span>
#include <string>
#include <vector>

namespace peridotfall::http {

struct SessionDeleter {
  void operator()(nghttp2_session *it) const { nghttp2_session_del(it); }
};
using SessionPtr = std::unique_ptr<nghttp2_session, SessionDeleter>;

/// All calls on the stream's loop.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(ByteStream stream, std::function<void()> onClosed);

  /// Takes the session and begins to read and write.
  /// \param owner of this pump; pending reads and writes keep it alive, so it
  /// lives as long as the connection is open.
  void start(SessionPtr session, const std::shared_ptr<void> &owner);
  /// Sends what the session has to send. Safe within session callbacks.
  void flush();
  void close();
  bool isOpen() const { return Open; }
  nghttp2_session *session() { return Session.get(); }
  ByteStream &stream() { return Stream; }

private:
  void read();
  void receive(std::span<const std::uint8_t> bytes);
  void collect();
  void closeIfFinished();

  ByteStream Stream;
  SessionPtr Session;
  std::weak_ptr<void> Owner;
  std::function<void()> OnClosed;
  std::string Out;
  bool Open = false;
  bool Writing = false;
  bool InSession = false;
};

/// Shallow: the header names and values must outlive the call it is used in.
std::vector<nghttp2_nv> toNameValues(const Headers &headers);

/// A body that nghttp2 reads piece by piece.
struct BodySource {
  std::string Bytes;
  std::size_t Sent = 0;
};
nghttp2_data_provider provide(BodySource &body);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_PUMP_H
