/// \file
/// Traces: a span for each hop of a request, sent to a collector as OTLP in
/// JSON over HTTP.

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

/// W3C trace context, as in the header `traceparent`.
struct TraceContext {
  std::string TraceId; ///< 32 hexadecimal digits.
  std::string SpanId;  ///< 16 hexadecimal digits.
  bool Sampled = false;

  auto operator<=>(const TraceContext &) const = default;
};

/// \return nothing where the text is malformed, or an id is all zeros.
std::optional<TraceContext> parseTraceparent(const std::string &text);
std::string writeTraceparent(const TraceContext &it);

enum class Hop : std::uint8_t { Entry, Inner, Queue, Target, Confirmation };
std::string toString(Hop it);

/// One hop of one request, begun and not yet finished.
struct Span {
  Hop Kind = Hop::Entry;
  TraceContext Context;
  std::string Parent; ///< Span id; empty: the root.
  std::chrono::system_clock::time_point Begun;
  std::vector<std::pair<std::string, std::string>> Attributes;

  /// For the next hop: StatementRequest::Traceparent. Empty: not traced.
  std::string traceparent() const;
};

struct TraceOptions {
  std::string Collector; ///< IP number and port; empty: nothing is sent.
  VmName Vm;
  /// Of the requests without a traceparent, one in so many is sampled; 0:
  /// none. The caller's own decision is kept.
  std::uint32_t SampleOneIn = 0;
  /// Finished spans kept until they are sent. Load: a collector that is slow
  /// or away while spans go on. Harm prevented: a daemon that fills its VM's
  /// memory or waits. About 512 B a span, so 2 MB at the most.
  std::size_t MostBuffered = 4'096;
  std::chrono::milliseconds SendInterval{500};
  std::chrono::milliseconds SendLimit{2'000};
};

/// What became of the spans so far.
struct TraceCounts {
  std::uint64_t Sent = 0;    ///< Taken by the collector.
  std::uint64_t Dropped = 0; ///< The buffer was full, or sending failed.

  auto operator<=>(const TraceCounts &) const = default;
};

/// From any thread. Never waits: a span that finds the buffer full is dropped
/// and counted.
class Tracer : public std::enable_shared_from_this<Tracer> {
public:
  Tracer(asio::io_context &loop, TraceOptions options);

  void start();
  /// Sends what is buffered once more, without waiting for the answer.
  void stop();

  /// \param traceparent of the request, or of the hop before; malformed or
  /// empty: a new trace begins at the entry, and none anywhere else.
  Span startSpan(Hop hop, const std::string &traceparent);
  void finishSpan(Span span);
  TraceCounts counts() const;

private:
  struct Finished {
    Span It;
    std::chrono::system_clock::time_point Ended;
  };

  bool sampleNew();
  void taken(std::size_t count, bool ok);
  void tick();
  void send();
  std::string encode(const std::vector<Finished> &spans) const;

  asio::steady_timer Timer;
  const TraceOptions Options;
  std::shared_ptr<http::Channel> Channel;
  mutable std::mutex Lock;
  std::deque<Finished> Buffer;
  bool Sending = false;
  std::atomic<std::uint64_t> Seen{0};
  std::atomic<std::uint64_t> Sent{0};
  std::atomic<std::uint64_t> Dropped{0};
};

} // namespace peridotfall::telemetry

#endif // PERIDOTFALL_TELEMETRY_TRACE_H
