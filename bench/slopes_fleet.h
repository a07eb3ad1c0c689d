/// \file
/// A small fleet for measurements: stand-ins, daemons and load.

#ifndef PERIDOTFALL_BENCH_SLOPES_FLEET_H
#define PERIDOTFALL_BENCH_SLOPES_FLEET_H

#include "daemon/daemon.h"
#include "http/channel.h"
#include "messages/inner.h"
#include "platform/http_platform.h"
#include "slopes_process.h"
#include "standin/platform.h"
#include "standin/target.h"
#include "target/wire.h"
#include "telemetry/events.h"

#include <array>
#include <atomic>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <thread>

namespace peridotfall::bench {

using std::chrono::milliseconds;
using Channels = std::vector<std::shared_ptr<http::Channel>>;
inline constexpr milliseconds CallLimit{20'000};

inline std::string loopback(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

/// The platform and three targets for each database; the first leads.
inline std::unique_ptr<Child> startStandIns(std::size_t databases) {
  return std::make_unique<Child>(
      1 + 3 * databases, [&](const auto &ready, const auto &untilClosed) {
        // A stand-in target belongs to one thread.
        http::Loops loops(1);
        std::array<http::Loops, 3> own{http::Loops(1), http::Loops(1),
                                       http::Loops(1)};
        auto platform = std::make_shared<standin::Platform>(loops);
        platform->start("127.0.0.1:0");
        Ports ports{platform->port()};
        std::vector<std::shared_ptr<standin::Target>> targets;
        for (std::size_t n = 0; n < 3 * databases; ++n) {
          standin::TargetOptions options;
          options.Address = "127.0.0.1:0";
          options.Slots = 16;
          options.Connections = 64;
          options.Primary = n % 3 == 0;
          if (n % 3 != 0)
            options.Follow = loopback(ports[n - n % 3 + 1]);
          targets.push_back(
              std::make_shared<standin::Target>(own[n % 3], options));
          targets.back()->start();
          ports.push_back(targets.back()->port());
        }
        ready(ports);
        untilClosed();
        for (auto &it : own)
          it.stop();
        loops.stop();
      });
}

struct DaemonSetup {
  std::string Vm = "vm-1";
  std::string Domain = "here";
  std::uint16_t Platform = 0;
  unsigned Threads = 2;
  milliseconds Probe{200};
};

/// Reports the port for callers and the inner port.
inline std::unique_ptr<Child> startDaemon(const DaemonSetup &setup) {
  return std::make_unique<Child>(
      2, [&](const auto &ready, const auto &untilClosed) {
        telemetry::setLevel(telemetry::Level::Error);
        DaemonOptions options;
        options.Self.Vm = VmName(setup.Vm);
        options.Self.Domain = DomainName(setup.Domain);
        options.Self.Region = RegionName("region");
        options.Platform = loopback(setup.Platform);
        options.Keys =
            parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
        options.Threads = setup.Threads;
        options.ProbeInterval = setup.Probe;
        Daemon daemon(options);
        daemon.start();
        ready({daemon.callerPort(), daemon.innerPort()});
        untilClosed();
      });
}

/// A configuration of databases whose targets listen on these ports.
inline Configuration makeConfiguration(const Ports &targets,
                                       std::uint64_t revision) {
  Configuration out;
  out.Revision = revision;
  out.Id = fmt::format("{:016x}", revision);
  out.Domains = {{DomainName("here"), RegionName("region")},
                 {DomainName("there"), RegionName("region")}};
  for (std::size_t n = 0; n + 2 < targets.size(); n += 3) {
    DatabaseConfig it;
    it.Name = DatabaseName(fmt::format("orders-{:04}", n / 3));
    for (std::size_t k = 0; k < 3; ++k)
      it.Targets.push_back(
          {TargetName(fmt::format("{}-target-{}", it.Name.Value, k)),
           DomainName("here"), loopback(targets[n + k]), 16, 64});
    for (const auto *name : {"place-order", "approve-proof", "schema"})
      it.Kinds.push_back({KindName(name), Access::Write, false, true, {}});
    it.Kinds.push_back(
        {KindName("order-status"), Access::FreshRead, true, false, {}});
    it.Kinds.push_back({KindName("catalogue"), Access::StaleRead, true, false,
                        milliseconds(5'000)});
    it.Kinds.push_back({KindName("stock"), Access::StaleRead, true, false,
                        milliseconds(2'000)});
    out.Databases.push_back(std::move(it));
  }
  return out;
}

/// Calls and waits. \return the status; 0 where no answer came.
inline int callNow(const std::shared_ptr<http::Channel> &channel,
                   http::Request request) {
  auto done = std::make_shared<std::promise<int>>();
  channel->call(std::move(request), CallLimit,
                [done](const http::CallResult &it) {
                  done->set_value(it ? it.value().Status : 0);
                });
  return done->get_future().get();
}

inline http::Request post(const std::string &path, const std::string &body) {
  http::Request it;
  it.Method = "POST";
  it.Path = path;
  it.Body = body;
  return it;
}

inline http::Request get(const std::string &path) {
  http::Request it;
  it.Method = "GET";
  it.Path = path;
  return it;
}

inline http::Request statement(const std::string &kind,
                               const std::string &sql) {
  return post("/v1/databases/orders-0000/statements",
              Json({{"kind", kind}, {"sql", sql}}).dump());
}

/// Tells the platform of the daemons, as its list of VMs.
inline void setVms(http::Loops &loops, std::uint16_t platform,
                   const Json &vms) {
  auto channel = std::make_shared<http::Channel>(
      loops.next(), loopback(platform), http::ChannelOptions{});
  callNow(channel, post("/control", Json({{"vms", vms}}).dump()));
  channel->close();
}

inline Json vm(const std::string &name, const std::string &domain,
               std::uint16_t inner) {
  return {{"vm", name},
          {"domain", domain},
          {"region", "region"},
          {"address", loopback(inner)}};
}

inline void putConfiguration(http::Loops &loops, std::uint16_t platform,
                             const Configuration &config) {
  auto channel = std::make_shared<http::Channel>(
      loops.next(), loopback(platform), http::ChannelOptions{});
  callNow(channel, [&] {
    auto it = post(fmt::format("/objects/{}?expected={}",
                               platform::ConfigurationKey, config.Revision - 1),
                   writeConfiguration(config));
    it.Method = "PUT";
    return it;
  }());
  channel->close();
}

inline void pause(milliseconds it) { std::this_thread::sleep_for(it); }

inline Channels openChannels(http::Loops &loops, std::uint16_t port,
                             std::size_t count) {
  Channels out;
  for (std::size_t n = 0; n < count; ++n)
    out.push_back(std::make_shared<http::Channel>(loops.next(), loopback(port),
                                                  http::ChannelOptions{}));
  return out;
}

inline void closeAll(Channels &channels) {
  for (auto &it : channels)
    it->close();
  pause(milliseconds(50));
  channels.clear();
}

/// What a closed loop of requests saw.
struct LoadResult {
  std::vector<double> Latencies; ///< Microseconds.
  double Seconds = 0;
  std::size_t Failed = 0; ///< Not answered with 200.
};

/// One request at a time on each channel until total requests have begun.
inline LoadResult drive(const Channels &channels, const http::Request &request,
                        std::size_t total) {
  struct State {
    std::atomic<std::size_t> Begun{0};
    std::atomic<std::size_t> Failed{0};
    std::atomic<std::size_t> Running{0};
    std::vector<double> Latencies;
    std::promise<void> End;
  };
  auto state = std::make_shared<State>();
  state->Latencies.resize(total);
  state->Running = channels.size();
  auto start = std::chrono::steady_clock::now();
  using Next = std::function<void(const std::shared_ptr<http::Channel> &)>;
  auto next = std::make_shared<Next>();
  *next = [=, weak = std::weak_ptr(next)](
              const std::shared_ptr<http::Channel> &channel) {
    auto n = state->Begun++;
    if (n >= total) {
      if (--state->Running == 0)
        state->End.set_value();
      return;
    }
    auto begun = std::chrono::steady_clock::now();
    channel->call(request, CallLimit,
                  [=, self = weak.lock()](const http::CallResult &it) {
                    std::chrono::duration<double, std::micro> took =
                        std::chrono::steady_clock::now() - begun;
                    state->Latencies[n] = took.count();
                    bool ok = it && it.value().Status == 200;
                    if (!ok && state->Failed++ == 0)
                      std::fprintf(stderr, "first failure: %s\n",
                                   it ? it.value().Body.c_str()
                                      : it.error().Message.c_str());
                    (*self)(channel);
                  });
  };
  for (const auto &it : channels)
    (*next)(it);
  state->End.get_future().get();
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  return {state->Latencies, took.count(), state->Failed.load()};
}

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_FLEET_H
