/// \file
/// Tracing: one span per hop of a request, sent to a collector as OTLP/HTTP
/// with JSON.

#ifndef PERIDOTFALL_TELEMETRY_TRACE_H
#define PERIDOTFALL_TELEMETRY_TRACE_H

#include "http/channel.h"
#include "peridotfall/names.h"

#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace peridotfall::telemetry {

/// W3C trace context, as in the `traceparent` header.
struct TraceContext {
  std::string TraceId; ///< 32 hexadecimal digits.
  std::string SpanId;  ///< 16 hexadecimal digits.
  bool Sampled = false;

  auto operator<=>(const TraceContext &) const = default;
};

/// \return nothing if the text is malformed or an id is all zeros.
std::optional<TraceContext> parseTraceparent(const std::string &text);
std::string writeTraceparent(const TraceContext &it);

enum class Hop : std::uint8_t { Entry, Inner, Queue, Target, Confirmation };
std::string toString(Hop it);

/// One hop of a request, started and not yet finished.
struct Span {
  Hop Kind = Hop::Entry;
  TraceContext Context;
  std::string Parent; ///< Parent span id; empty: root span.
  std::chrono::system_clock::time_point Begun;
  std::vector<std::pair<std::string, std::string>> Attributes;

  /// \return StatementRequest::Traceparent for the next hop; empty: not traced.
  std::string traceparent() const;
};

struct TraceOptions {
  std::string Collector; ///< IP address and port; empty: nothing is sent.
  VmName Vm;
  /// One in this many requests without a traceparent is sampled; 0: none. With
  /// a traceparent, the caller's sampling decision applies.
  std::uint32_t SampleOneIn = 0;
  /// Finished spans buffered until they are sent. Bounded so that a slow or
  /// unreachable collector neither exhausts the VM's memory nor blocks the
  /// daemon. About 512 B per span, at most 2 MB.
  std::size_t MaxBufferedSpans = 4'096;
  std::chrono::milliseconds SendInterval{500};
  std::chrono::milliseconds SendTimeout{2'000};
};

struct TraceCounts {
  std::uint64_t Sent = 0;    ///< Spans accepted by the collector.
  std::uint64_t Dropped = 0; ///< Buffer full or sending failed.

  auto operator<=>(const TraceCounts &) const = default;
};

/// Records and sends spans. Spans may be started and finished from any thread;
/// this never blocks: if the buffer is full, the span is dropped and counted.
class Tracer : public std::enable_shared_from_this<Tracer> {
public:
  Tracer(asio::io_context &loop, TraceOptions options);

  void start();
  /// Sends one last message of buffered spans, without waiting for its answer.
  void stop();

  /// \param traceparent of the request or the previous hop. If it is malformed
  /// or empty, a new trace may be sampled at Hop::Entry; other hops are not
  /// traced.
  Span startSpan(Hop hop, const std::string &traceparent);
  void finishSpan(Span span);
  TraceCounts counts() const;

private:
  struct FinishedSpan {
    Span Started;
    std::chrono::system_clock::time_point Ended;
  };

  bool sampleNew();
  void handleSendResult(std::size_t count, bool ok);
  void tick();
  void send();
  std::string encode(const std::vector<FinishedSpan> &spans) const;

  asio::steady_timer Timer;
  const TraceOptions Options;
  std::shared_ptr<http::Channel> Channel;
  mutable std::mutex Lock;
  std::deque<FinishedSpan> Buffer;
  bool Sending = false;
  std::atomic<std::uint64_t> UntracedRequests{0};
  std::atomic<std::uint64_t> Sent{0};
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_TRACE_H
