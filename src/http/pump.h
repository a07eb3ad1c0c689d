/// \file
/// Moves bytes between a stream and an nghttp2 session. Used by server and
/// client connections.

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

/// All functions must be called on the stream's loop.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(ByteStream stream, std::function<void()> onClosed);

  /// Takes ownership of the session and starts to read and write.
  /// \param owner owner of this pump. Pending reads keep it alive while the
  /// connection is open.
  void start(SessionPtr session, const std::shared_ptr<void> &owner);
  /// Sends the session's pending frames. Safe within session callbacks.
  void flush();
  void close();
  bool isOpen() const { return Open; }
  nghttp2_session *session() { return Session.get(); }
  ByteStream &stream() { return Stream; }

private:
  void read();
  void receive(std::span<const std::uint8_t> bytes);
  void collectOutput();
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

/// \return views of the headers, which must outlive the nghttp2 call.
std::vector<nghttp2_nv> toNameValues(const Headers &headers);

/// A body that nghttp2 reads in pieces.
struct BodySource {
  std::string Bytes;
  std::size_t Sent = 0;
};
nghttp2_data_provider makeDataProvider(BodySource &body);

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_PUMP_H
