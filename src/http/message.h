/// \file
/// Requests and responses, whole in memory.

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
  std::string Peer; ///< Address of the other side.
  /// Set once the caller has gone: its work is dropped before it starts.
  std::shared_ptr<std::atomic<bool>> Gone;
};

/// How an answer came in.
struct Transfer {
  std::size_t Bytes = 0;           ///< Of its body, so far.
  std::chrono::nanoseconds Took{}; ///< Since its first byte.

  auto operator<=>(const Transfer &) const = default;
};

/// How long an answer is waited for. A large one that is on its way is not
/// silence: given up and asked for anew, it fills the link again.
struct AnswerLimits {
  std::chrono::milliseconds Begin{}; ///< Until the answer's first byte.
  /// Without another byte. Zero: Begin is the limit of the whole answer.
  std::chrono::milliseconds Stall{};

  auto operator<=>(const AnswerLimits &) const = default;
};

struct Response {
  int Status = 200;
  Headers Fields;
  std::string Body;
  Transfer Received{}; ///< Set where a call was answered.
};

/// Sends the response; once, from any thread.
using Respond = std::function<void(Response)>;
using Handler = std::function<void(Request, Respond)>;

/// How a request without a response ended.
enum class Failure {
  NotSent,  ///< The other side has not begun, and will not.
  MaybeRun, ///< Bytes may have left: the outcome is unknown.
};

struct TransportError {
  Failure Kind = Failure::NotSent;
  std::string Message;
  Transfer Received{}; ///< Of an answer that was given up on.
};

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_MESSAGE_H
