/// \file
/// Requests and responses, each held completely in memory.

#ifndef PERIDOTFALL_HTTP_MESSAGE_H
#define PERIDOTFALL_HTTP_MESSAGE_H

#include "peridotfall/names.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotfall::http {

struct Header {
  std::string Name; ///< Lower case.
  std::string Value;

  auto operator<=>(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// \return the first value, or an empty view.
std::string_view findHeader(const Headers &headers, std::string_view name);

struct Request {
  std::string Method;
  std::string Path;
  Headers Fields;
  std::string Body;
  ConnectionHandle Connection;
  std::string Peer; ///< The peer's IP address.
  /// Set when the request's stream or connection closes. Work that has not
  /// started by then is dropped.
  std::shared_ptr<std::atomic<bool>> Cancelled;
};

/// Size and duration of a received answer.
struct Transfer {
  std::size_t Bytes = 0;              ///< Of the body, so far.
  std::chrono::nanoseconds Elapsed{}; ///< Since its first byte.

  auto operator<=>(const Transfer &) const = default;
};

/// Timeouts of an answer. A large answer that is still arriving must not time
/// out: a retry would transfer all of it again and saturate the link.
struct AnswerLimits {
  std::chrono::milliseconds FirstByte{}; ///< Until the answer's first byte.
  /// Longest gap between bytes. Zero: the limit above is that of the whole
  /// answer.
  std::chrono::milliseconds Stall{};

  auto operator<=>(const AnswerLimits &) const = default;
};

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
  Transfer Received{}; ///< Set by the client for an answered call.
};

/// Sends the response. Call it once, from any thread.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

/// How a request without a response ended.
enum class Failure {
  NotSent,  ///< The peer has not started the request and will not.
  MaybeRun, ///< Bytes may have been sent: the outcome is unknown.
};

struct TransportError {
  Failure Kind = Failure::NotSent;
  std::string Message;
  Transfer Received{}; ///< Of an answer that timed out.
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_MESSAGE_H
