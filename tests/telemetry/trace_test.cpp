#include "telemetry/trace.h"

#include "base/document.h"
#include "daemon/daemon.h"
#include "daemon/status.h"
#include "standin/platform.h"
#include "standin/target.h"

#include <algorithm>
#include <condition_variable>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace peridotfall;
using namespace peridotfall::telemetry;
using std::chrono::milliseconds;

namespace {

constexpr auto Given =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// Ends a hanging test; no assertion depends on timing.
constexpr milliseconds TestTimeout{30'000};

std::string loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// A fake collector that stores the spans it receives.
struct Collector {
  explicit Collector(http::Loops &loops) {
    http::ServerOptions options;
    options.Address = "127.0.0.1:0";
    Server = std::make_shared<http::Server>(
        loops, options,
        [this](const http::Request &request, const http::Respond &respond) {
          addSpans(request);
          respond({200, {}, "{}"});
        });
    Server->start();
  }

  void addSpans(const http::Request &request) {
    auto body = Json::parse(request.Body);
    std::lock_guard guard(Lock);
    for (const auto &resource : body["resourceSpans"])
      for (const auto &scope : resource["scopeSpans"])
        for (const auto &it : scope["spans"])
          Spans.push_back(it);
    Changed.notify_all();
  }

  /// \return the spans received, once there are at least \p count.
  std::vector<Json> wait(std::size_t count) {
    std::unique_lock guard(Lock);
    Changed.wait_for(guard, TestTimeout, [&] { return Spans.size() >= count; });
    return Spans;
  }

  std::string address() const { return loopback(Server->port()); }

  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<Json> Spans;
  std::shared_ptr<http::Server> Server;
};

http::Response call(http::Loops &loops, std::uint16_t port,
                    http::Request request) {
  auto channel = std::make_shared<http::Channel>(loops.next(), loopback(port),
                                                 http::ChannelOptions{});
  std::promise<http::Response> done;
  channel->call(std::move(request), TestTimeout,
                [&](const http::CallResult &it) {
                  done.set_value(it ? it.value() : http::Response{0, {}, ""});
                });
  auto out = done.get_future().get();
  channel->close();
  return out;
}

http::Request post(const std::string &path, const Json &body) {
  http::Request it;
  it.Method = "POST";
  it.Path = path;
  it.Body = body.dump();
  return it;
}

/// Two daemons; the second owns the targets, so the first forwards.
struct FleetFixture {
  http::Loops Loops{1};
  http::Loops TargetLoop{1};
  Collector Spans{Loops};
  std::shared_ptr<standin::Platform> Store =
      std::make_shared<standin::Platform>(Loops);
  std::vector<std::shared_ptr<standin::Target>> Targets;
  std::unique_ptr<Daemon> Entry;
  std::unique_ptr<Daemon> Owner;

  FleetFixture() {
    Store->start("127.0.0.1:0");
    startTargets();
    Entry = startDaemon("vm-entry", "there");
    Owner = startDaemon("vm-owner", "here");
    call(Loops, Store->port(), post("/control", {{"vms", vms()}}));
    auto put = post("/objects/" + std::string(platform::ConfigurationKey) +
                        "?expected=0",
                    nullptr);
    put.Method = "PUT";
    put.Body = writeConfiguration(configuration());
    call(Loops, Store->port(), put);
  }
  ~FleetFixture() {
    Entry->shutdown(milliseconds(0));
    Owner->shutdown(milliseconds(0));
    Entry.reset();
    Owner.reset();
    TargetLoop.stop();
    Loops.stop();
  }

  void startTargets() {
    for (int n = 0; n < 3; ++n) {
      standin::TargetOptions options;
      options.Address = "127.0.0.1:0";
      options.Primary = n == 0;
      if (n != 0)
        options.Follow = loopback(Targets[0]->port());
      Targets.push_back(std::make_shared<standin::Target>(TargetLoop, options));
      Targets.back()->start();
    }
  }

  std::unique_ptr<Daemon> startDaemon(const std::string &vm,
                                      const std::string &domain) {
    DaemonOptions options;
    options.Self.Vm = VmName(vm);
    options.Self.Domain = DomainName(domain);
    options.Self.Region = RegionName("region");
    options.Platform = loopback(Store->port());
    options.Keys =
        parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
    options.Collector = Spans.address();
    auto it = std::make_unique<Daemon>(options);
    it->start();
    return it;
  }

  Json vms() const {
    return Json::array({{{"vm", "vm-entry"},
                         {"domain", "there"},
                         {"region", "region"},
                         {"address", loopback(Entry->innerPort())}},
                        {{"vm", "vm-owner"},
                         {"domain", "here"},
                         {"region", "region"},
                         {"address", loopback(Owner->innerPort())}}});
  }

  Configuration configuration() const {
    Configuration out;
    out.Revision = 1;
    out.Id = "first";
    out.Domains = {{DomainName("here"), RegionName("region")},
                   {DomainName("there"), RegionName("region")}};
    DatabaseConfig it;
    it.Name = DatabaseName("orders");
    for (int n = 0; n < 3; ++n)
      it.Targets.push_back(
          {TargetName("target-" + std::to_string(n)), DomainName("here"),
           loopback(Targets[static_cast<std::size_t>(n)]->port()), 2, 16});
    it.Kinds = {{KindName("place-order"), Access::Write, true, true, {}}};
    out.Databases = {it};
    return out;
  }

  http::Response order(const std::string &sql, const std::string &traceparent) {
    auto it = post("/v1/databases/orders/statements",
                   {{"kind", "place-order"}, {"sql", sql}});
    if (!traceparent.empty())
      it.Fields.push_back({"traceparent", traceparent});
    return call(Loops, Entry->callerPort(), it);
  }

  /// \return the first target's owner according to the entry daemon.
  std::string ownerAtEntry() {
    http::Request it;
    it.Method = "GET";
    it.Path = StatusPath;
    auto json =
        Json::parse(call(Loops, Entry->innerPort(), it).Body, nullptr, false);
    if (!json.is_object() || json["databases"].empty())
      return "";
    return json["databases"][0]["targets"][0]["owner"];
  }

  /// Waits until orders are served and the entry daemon knows the owner; until
  /// then it knows only itself and acts as the owner.
  void waitUntilServing() {
    auto end = std::chrono::steady_clock::now() + TestTimeout;
    while (
        (order("CREATE TABLE IF NOT EXISTS orders(item)", "").Status != 200 ||
         ownerAtEntry() != "vm-owner") &&
        std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(milliseconds(50));
  }
};

/// \return the span of a hop, or null.
const Json *findSpan(const std::vector<Json> &spans, Hop hop) {
  auto it = std::find_if(spans.begin(), spans.end(), [&](const Json &n) {
    return n["name"] == toString(hop);
  });
  return it == spans.end() ? nullptr : &*it;
}

} // namespace

TEST_CASE("Traceparent: well formed, parsed and written unchanged") {
  auto it = parseTraceparent(Given);
  REQUIRE(it);
  CHECK(it->TraceId == "4bf92f3577b34da6a3ce929d0e0e4736");
  CHECK(it->SpanId == "00f067aa0ba902b7");
  CHECK(it->Sampled);
  CHECK(writeTraceparent(*it) == Given);
}

TEST_CASE("Traceparent: malformed, ignored") {
  std::string good = Given;
  for (const auto &it :
       {std::string(), std::string("00"), good + "0", "ff" + good.substr(2),
        "0g" + good.substr(2), "00-" + std::string(32, '0') + good.substr(35),
        good.substr(0, 36) + std::string(16, '0') + "-01",
        std::string(
            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01")}) {
    CAPTURE(it);
    CHECK_FALSE(parseTraceparent(it));
  }
}

TEST_CASE("Tracer: not sampled by the caller, context forwarded unchanged") {
  http::Loops loops(1);
  TraceOptions options;
  options.Collector = "127.0.0.1:1";
  options.SampleOneIn = 1;
  auto tracer = std::make_shared<Tracer>(loops.at(0), options);
  std::string given(Given);
  given.back() = '0';
  CHECK(tracer->startSpan(Hop::Entry, given).traceparent() == given);
  loops.stop();
}

TEST_CASE("Tracer: without a traceparent, one in SampleOneIn is sampled") {
  http::Loops loops(1);
  TraceOptions options;
  options.Collector = "127.0.0.1:1";
  options.SampleOneIn = 4;
  auto tracer = std::make_shared<Tracer>(loops.at(0), options);
  int sampled = 0;
  for (int n = 0; n < 16; ++n)
    sampled += tracer->startSpan(Hop::Entry, "").Context.Sampled ? 1 : 0;
  CHECK(sampled == 4);
  CHECK(tracer->startSpan(Hop::Queue, "").traceparent().empty());
  loops.stop();
}

// Guards against a daemon that blocks or runs out of memory when the collector
// is unreachable and spans finish faster than they can be sent. Spans beyond
// the buffer's bound are dropped and counted; callers are not affected.
TEST_CASE("Tracer: collector unreachable, spans beyond the bound dropped") {
  http::Loops loops(1);
  TraceOptions options;
  options.Collector = "127.0.0.1:1";
  options.MaxBufferedSpans = 8;
  auto tracer = std::make_shared<Tracer>(loops.at(0), options);
  for (int n = 0; n < 20; ++n)
    tracer->finishSpan(tracer->startSpan(Hop::Entry, Given));
  CHECK(tracer->counts() == TraceCounts{0, 12});
  loops.stop();
}

// Guards against broken parent links between hops. The order passes the entry
// daemon, an inner stream to the owner, and the primary; each span's parent is
// the previous hop, and the answer's traceparent has the entry's span id.
TEST_CASE_FIXTURE(FleetFixture, "Tracer: an order, all hops in one trace") {
  waitUntilServing();
  auto answer = order("INSERT INTO orders VALUES('flyer')", Given);
  REQUIRE(answer.Status == 200);
  auto spans = Spans.wait(3);
  const auto *entry = findSpan(spans, Hop::Entry);
  const auto *inner = findSpan(spans, Hop::Inner);
  const auto *target = findSpan(spans, Hop::Target);
  REQUIRE(entry);
  REQUIRE(inner);
  REQUIRE(target);
  auto given = *parseTraceparent(Given);
  for (const auto &it : spans)
    CHECK(it["traceId"] == given.TraceId);
  CHECK((*entry)["parentSpanId"] == given.SpanId);
  CHECK((*inner)["parentSpanId"] == (*entry)["spanId"]);
  CHECK((*target)["parentSpanId"] == (*inner)["spanId"]);
  auto out = parseTraceparent(
      std::string(http::findHeader(answer.Fields, "traceparent")));
  REQUIRE(out);
  CHECK((*entry)["spanId"] == out->SpanId);
}

TEST_CASE_FIXTURE(FleetFixture,
                  "Metrics: requested from a daemon, its own counts") {
  waitUntilServing();
  auto before = Entry->stats().Done;
  order("INSERT INTO orders VALUES('flyer')", "");
  CHECK(Entry->stats().Done == before + 1);
  CHECK(Entry->stats().Revision == 1);
  CHECK(Entry->stats().PlatformCalls > 0);
  http::Request get;
  get.Method = "GET";
  get.Path = "/metrics";
  for (auto port : {Entry->callerPort(), Entry->innerPort()}) {
    auto answer = call(Loops, port, get);
    CHECK(answer.Status == 200);
    CHECK(answer.Body.find("peridotfall_configuration_revision 1") !=
          std::string::npos);
  }
}
