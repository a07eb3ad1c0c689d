/// \file
/// Stand-ins, daemons and client load for measurements.

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
inline constexpr milliseconds CallTimeout{20'000};

inline std::string loopback(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

/// Starts a stand-in platform and three stand-in targets for each database, the
/// first of which is the primary. Reports the ports in this order.
inline std::unique_ptr<ChildProcess> startStandIns(std::size_t databases) {
  return std::make_unique<ChildProcess>(
      1 + 3 * databases, [&](const auto &reportPorts, const auto &waitForStop) {
        // Each stand-in target must run on a single thread.
        http::Loops loops(1);
        std::array<http::Loops, 3> targetLoops{http::Loops(1), http::Loops(1),
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
              std::make_shared<standin::Target>(targetLoops[n % 3], options));
          targets.back()->start();
          ports.push_back(targets.back()->port());
        }
        reportPorts(ports);
        waitForStop();
        for (auto &it : targetLoops)
          it.stop();
        loops.stop();
      });
}

struct DaemonSetup {
  std::string Vm = "vm-1";
  std::string Domain = "here";
  std::uint16_t PlatformPort = 0;
  unsigned Threads = 2;
  milliseconds ProbePeriod{200};
};

/// Starts a daemon; it reports the port for callers and the inner port.
inline std::unique_ptr<ChildProcess> startDaemon(const DaemonSetup &setup) {
  return std::make_unique<ChildProcess>(
      2, [&](const auto &reportPorts, const auto &waitForStop) {
        telemetry::setLevel(telemetry::Level::Error);
        DaemonOptions options;
        options.Self.Vm = VmName(setup.Vm);
        options.Self.Domain = DomainName(setup.Domain);
        options.Self.Region = RegionName("region");
        options.Platform = loopback(setup.PlatformPort);
        options.Keys =
            parseTokenKeys("k1:0123456789abcdef0123456789abcdef").value();
        options.Threads = setup.Threads;
        options.ProbeInterval = setup.ProbePeriod;
        Daemon daemon(options);
        daemon.start();
        reportPorts({daemon.callerPort(), daemon.innerPort()});
        waitForStop();
      });
}

/// \return a configuration with one database for every three of these ports.
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

/// \return the status of the answer, or 0 if none arrived.
inline int callAndWait(const std::shared_ptr<http::Channel> &channel,
                       http::Request request) {
  auto done = std::make_shared<std::promise<int>>();
  channel->call(std::move(request), CallTimeout,
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

inline http::Request statementRequest(const std::string &kind,
                                      const std::string &sql) {
  return post("/v1/databases/orders-0000/statements",
              Json({{"kind", kind}, {"sql", sql}}).dump());
}

/// Sets the platform's list of VMs.
inline void setVms(http::Loops &loops, std::uint16_t platform,
                   const Json &vms) {
  auto channel = std::make_shared<http::Channel>(
      loops.next(), loopback(platform), http::ChannelOptions{});
  callAndWait(channel, post("/control", Json({{"vms", vms}}).dump()));
  channel->close();
}

inline Json vmEntry(const std::string &name, const std::string &domain,
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
  callAndWait(channel, [&] {
    auto it = post(fmt::format("/objects/{}?expected={}",
                               platform::ConfigurationKey, config.Revision - 1),
                   writeConfiguration(config));
    it.Method = "PUT";
    return it;
  }());
  channel->close();
}

inline void sleepFor(milliseconds it) { std::this_thread::sleep_for(it); }

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
  sleepFor(milliseconds(50));
  channels.clear();
}

struct ClosedLoopResult {
  std::vector<double> Latencies; ///< Microseconds.
  double Seconds = 0;
  std::size_t Failed = 0; ///< Answered with another status than 200, or not.
};

/// Sends \p total requests, one at a time on each channel, and waits for all
/// answers.
inline ClosedLoopResult runClosedLoop(const Channels &channels,
                                      const http::Request &request,
                                      std::size_t total) {
  struct State {
    std::atomic<std::size_t> Started{0};
    std::atomic<std::size_t> Failed{0};
    std::atomic<std::size_t> ActiveChannels{0};
    std::vector<double> Latencies;
    std::promise<void> Finished;
  };
  auto state = std::make_shared<State>();
  state->Latencies.resize(total);
  state->ActiveChannels = channels.size();
  auto start = std::chrono::steady_clock::now();
  using Next = std::function<void(const std::shared_ptr<http::Channel> &)>;
  auto next = std::make_shared<Next>();
  *next = [=, weak = std::weak_ptr(next)](
              const std::shared_ptr<http::Channel> &channel) {
    auto n = state->Started++;
    if (n >= total) {
      if (--state->ActiveChannels == 0)
        state->Finished.set_value();
      return;
    }
    auto started = std::chrono::steady_clock::now();
    channel->call(request, CallTimeout,
                  [=, self = weak.lock()](const http::CallResult &it) {
                    std::chrono::duration<double, std::micro> elapsed =
                        std::chrono::steady_clock::now() - started;
                    state->Latencies[n] = elapsed.count();
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
  state->Finished.get_future().get();
  std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return {state->Latencies, elapsed.count(), state->Failed.load()};
}

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_FLEET_H
