#include "telemetry/trace.h"

#include "base/document.h"
#include "base/encoding.h"
#include "http/status.h"

#include <algorithm>
#include <array>

namespace peridotfall::telemetry {

namespace {

constexpr std::size_t TraceIdBytes = 16;
constexpr std::size_t SpanIdBytes = 8;
/// Characters of "00-" trace id "-" span id "-" flags.
constexpr std::size_t TraceparentLength = 55;
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t FlagsOffset = 53;
constexpr auto TracesPath = "/v1/traces";
/// Spans per message to the collector, below the limits of collectors.
constexpr std::size_t MaxSpansPerMessage = 512;

constexpr std::array<const char *, 5> HopNames{"entry", "inner", "queue",
                                               "target", "confirmation"};
/// Span kinds of OTLP.
constexpr int KindInternal = 1;
constexpr int KindServer = 2;
constexpr int KindClient = 3;

int kindOf(Hop it) {
  if (it == Hop::Entry || it == Hop::Inner)
    return KindServer;
  return it == Hop::Target ? KindClient : KindInternal;
}

bool isHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

bool isZero(std::string_view text) {
  return text.find_first_not_of('0') == std::string_view::npos;
}

int hexDigit(char c) { return c <= '9' ? c - '0' : c - 'a' + 10; }

std::string nanoseconds(std::chrono::system_clock::time_point it) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            it.time_since_epoch())
                            .count());
}

Json attribute(const std::string &key, const std::string &value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

Json toJson(const Span &span, std::chrono::system_clock::time_point ended) {
  Json attributes = Json::array();
  for (const auto &[key, value] : span.Attributes)
    attributes.push_back(attribute(key, value));
  return {{"traceId", span.Context.TraceId},
          {"spanId", span.Context.SpanId},
          {"parentSpanId", span.Parent},
          {"name", toString(span.Kind)},
          {"kind", kindOf(span.Kind)},
          {"startTimeUnixNano", nanoseconds(span.Begun)},
          {"endTimeUnixNano", nanoseconds(ended)},
          {"attributes", attributes}};
}

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string &text) {
  // A later version may be longer, but begins with the same fields.
  if (text.size() < TraceparentLength || text[2] != '-' ||
      text[SpanIdOffset - 1] != '-' || text[FlagsOffset - 1] != '-')
    return std::nullopt;
  auto version = text.substr(0, 2);
  TraceContext out{text.substr(3, 2 * TraceIdBytes),
                   text.substr(SpanIdOffset, 2 * SpanIdBytes), false};
  auto flags = text.substr(FlagsOffset, 2);
  bool wrongLength = version == "00" ? text.size() != TraceparentLength
                                     : text.size() > TraceparentLength &&
                                           text[TraceparentLength] != '-';
  if (version == "ff" || wrongLength || !isHex(version) ||
      !isHex(out.TraceId) || !isHex(out.SpanId) || !isHex(flags) ||
      isZero(out.TraceId) || isZero(out.SpanId))
    return std::nullopt;
  out.Sampled = (hexDigit(flags[1]) & 1) != 0;
  return out;
}

std::string writeTraceparent(const TraceContext &it) {
  return "00-" + it.TraceId + "-" + it.SpanId + (it.Sampled ? "-01" : "-00");
}

std::string toString(Hop it) { return HopNames[static_cast<std::size_t>(it)]; }

std::string Span::traceparent() const {
  return Context.TraceId.empty() ? "" : writeTraceparent(Context);
}

Tracer::Tracer(asio::io_context &loop, TraceOptions options)
    : Timer(loop), Options(std::move(options)) {
  if (!Options.Collector.empty())
    Channel = std::make_shared<http::Channel>(loop, Options.Collector,
                                              http::ChannelOptions{});
}

void Tracer::start() {
  if (Channel)
    tick();
}

void Tracer::stop() {
  Timer.cancel();
  if (Channel)
    send();
}

bool Tracer::sampleNew() {
  return Channel && Options.SampleOneIn != 0 &&
         UntracedRequests++ % Options.SampleOneIn == 0;
}

Span Tracer::startSpan(Hop hop, const std::string &traceparent) {
  Span out;
  out.Kind = hop;
  out.Begun = std::chrono::system_clock::now();
  auto parent = parseTraceparent(traceparent);
  if (parent) {
    out.Context = *parent;
    // Not recorded here; the context is forwarded unchanged.
    if (!parent->Sampled || !Channel)
      return out;
    out.Parent = parent->SpanId;
  } else if (hop == Hop::Entry && sampleNew()) {
    out.Context = {randomHex(TraceIdBytes), "", true};
  } else {
    return out;
  }
  out.Context.SpanId = randomHex(SpanIdBytes);
  return out;
}

void Tracer::finishSpan(Span span) {
  if (!Channel || !span.Context.Sampled)
    return;
  auto now = std::chrono::system_clock::now();
  std::lock_guard guard(Lock);
  if (Buffer.size() >= Options.MaxBufferedSpans)
    ++Dropped;
  else
    Buffer.push_back({std::move(span), now});
}

TraceCounts Tracer::counts() const { return {Sent.load(), Dropped.load()}; }

void Tracer::tick() {
  send();
  Timer.expires_after(Options.SendInterval);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec)
      self->tick();
  });
}

void Tracer::send() {
  std::vector<FinishedSpan> spans;
  {
    std::lock_guard guard(Lock);
    // One message at a time: if the collector is unreachable, further ones
    // would queue in the channel, where MaxBufferedSpans does not apply.
    if (Sending || Buffer.empty())
      return;
    Sending = true;
    auto n = std::min(Buffer.size(), MaxSpansPerMessage);
    auto end = Buffer.begin() + static_cast<std::ptrdiff_t>(n);
    std::move(Buffer.begin(), end, std::back_inserter(spans));
    Buffer.erase(Buffer.begin(), end);
  }
  http::Request request;
  request.Method = "POST";
  request.Path = TracesPath;
  request.Fields = {{"content-type", "application/json"}};
  request.Body = encode(spans);
  Channel->call(std::move(request), Options.SendTimeout,
                [self = shared_from_this(),
                 n = spans.size()](const http::CallResult &it) {
                  self->handleSendResult(n, it && it.value().Status ==
                                                      http::StatusOk);
                });
}

void Tracer::handleSendResult(std::size_t count, bool ok) {
  // Spans of a failed message are not resent: if the collector received them
  // and only the answer was lost, they would appear twice.
  (ok ? Sent : Dropped) += count;
  bool more = false;
  {
    std::lock_guard guard(Lock);
    Sending = false;
    more = ok && Buffer.size() >= MaxSpansPerMessage;
  }
  if (more)
    send();
}

std::string Tracer::encode(const std::vector<FinishedSpan> &spans) const {
  Json list = Json::array();
  for (const auto &it : spans)
    list.push_back(toJson(it.Started, it.Ended));
  Json resource = {
      {"attributes", Json::array({attribute("service.name", "peridotfalld"),
                                  attribute("host.name", Options.Vm.Value)})}};
  Json scope = {{"scope", {{"name", "peridotfall"}}}, {"spans", list}};
  Json body = {
      {"resourceSpans", Json::array({{{"resource", resource},
                                      {"scopeSpans", Json::array({scope})}}})}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace peridotfall::telemetry
