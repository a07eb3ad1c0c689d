/// \file
/// Cost slopes for docs/CAPACITY.md: what a daemon spends per caller
/// connection, statement, target, probe, peer, member and configured database.
/// Each daemon runs in its own process, apart from the stand-ins, so that the
/// kernel's counts cover nothing else.
///
/// Usage: scripts/bench.sh slopes [FILE [PART...]]; writes JSON to FILE or
/// standard output; PART is a name in Measurements, default all.

#include "slopes_fit.h"
#include "slopes_fleet.h"
#include "slopes_relay.h"

#include <iostream>
#include <map>

using namespace peridotfall;
using namespace peridotfall::bench;

namespace {

constexpr int Repeats = 3;
constexpr milliseconds SettleTime{2'500}; ///< Two fetches of the list of VMs.
constexpr milliseconds MeasurementTime{4'000};
constexpr unsigned ClientThreads = 3;

struct Report {
  std::map<std::string, Series> SeriesByName;
  Json Values = Json::object();

  Series &series(const std::string &name, const std::string &unit) {
    SeriesByName[name].Unit = unit;
    return SeriesByName[name];
  }
};

double secondsOf(milliseconds it) {
  return std::chrono::duration<double>(it).count();
}

/// Two daemons and one database. Owner owns all three targets; Entry forwards
/// to it through the relay.
struct SmallFleet {
  std::unique_ptr<ChildProcess> StandIns = startStandIns(1);
  std::unique_ptr<ChildProcess> Owner = startDaemon(
      {.PlatformPort = StandIns->ports()[0], .ProbePeriod = MeasurementTime});
  std::unique_ptr<ChildProcess> Entry =
      startDaemon({.Vm = "vm-2",
                   .Domain = "there",
                   .PlatformPort = StandIns->ports()[0],
                   .ProbePeriod = MeasurementTime});
  http::Loops Loops{ClientThreads};
  CountingRelay InnerRelay{Loops.at(0), Owner->ports()[1]};

  SmallFleet() {
    auto ports = StandIns->ports();
    setVms(Loops, ports[0],
           {vmEntry("vm-1", "here", InnerRelay.port()),
            vmEntry("vm-2", "there", Entry->ports()[1])});
    putConfiguration(Loops, ports[0],
                     makeConfiguration({ports.begin() + 1, ports.end()}, 1));
    sleepFor(SettleTime);
    auto channels = openChannels(Loops, Owner->ports()[0], 1);
    callAndWait(channels[0],
                statementRequest("schema", "CREATE TABLE orders(item TEXT)"));
    closeAll(channels);
  }
  ~SmallFleet() { Loops.stop(); }
};

void measureConnections(Report &report) {
  constexpr std::size_t Batch = 200;
  auto &memory = report.series("callerConnectionBytes", "B/connection");
  auto &time = report.series("callerConnectionOpenUs", "us/connection");
  for (std::size_t size : {1'000, 4'000, 10'000})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      auto daemon = startDaemon({.PlatformPort = standIns->ports()[0]});
      http::Loops loops(ClientThreads);
      sleepFor(milliseconds(200));
      auto bytes = daemon->residentBytes();
      auto cpuTime = daemon->cpuMicroseconds();
      Channels open;
      while (open.size() < size) {
        auto more = openChannels(loops, daemon->ports()[0], Batch);
        runClosedLoop(more, get("/healthz"), Batch);
        open.insert(open.end(), more.begin(), more.end());
      }
      memory.add(static_cast<double>(size), daemon->residentBytes() - bytes);
      time.add(static_cast<double>(size), daemon->cpuMicroseconds() - cpuTime);
      closeAll(open);
      loops.stop();
    }
}

struct StatementLoad {
  std::string Name;
  http::Request Request;
  bool Remote = false;
};

void measureLoad(Report &report, SmallFleet &fleet, const StatementLoad &load,
                 std::size_t minRequests) {
  auto port = (load.Remote ? fleet.Entry : fleet.Owner)->ports()[0];
  auto channels = openChannels(fleet.Loops, port, 8);
  runClosedLoop(channels, load.Request, minRequests);
  std::size_t failed = 0;
  for (std::size_t size : {minRequests, 2 * minRequests, 4 * minRequests})
    for (int n = 0; n < Repeats; ++n) {
      auto owner = fleet.Owner->cpuMicroseconds();
      auto entry = fleet.Entry->cpuMicroseconds();
      auto inner = fleet.InnerRelay.bytes();
      failed += runClosedLoop(channels, load.Request, size).Failed;
      auto x = static_cast<double>(size);
      report.series(load.Name + "OwnerUs", "us/statement")
          .add(x, fleet.Owner->cpuMicroseconds() - owner);
      if (!load.Remote)
        continue;
      report.series(load.Name + "EntryUs", "us/statement")
          .add(x, fleet.Entry->cpuMicroseconds() - entry);
      report.series(load.Name + "InnerBytes", "B/statement")
          .add(x, fleet.InnerRelay.bytes() - inner);
    }
  report.Values[load.Name + "Failed"] = failed;
  closeAll(channels);
}

void measureStatements(Report &report, SmallFleet &fleet) {
  auto read = statementRequest("catalogue", "SELECT 1");
  auto write =
      statementRequest("place-order", "INSERT INTO orders VALUES('flyer')");
  measureLoad(report, fleet, {"readHere", read, false}, 4'000);
  measureLoad(report, fleet, {"readForwarded", read, true}, 4'000);
  measureLoad(report, fleet, {"writeHere", write, false}, 1'000);
  measureLoad(report, fleet, {"writeForwarded", write, true}, 1'000);
}

Json summary(const std::vector<double> &it) {
  return {{"count", it.size()},
          {"medianUs", percentile(it, 0.5)},
          {"p99Us", percentile(it, 0.99)}};
}

/// Latency of single requests. The three paths alternate, so that a change in
/// the machine's load affects all of them.
void measureLatency(Report &report, SmallFleet &fleet) {
  constexpr int Rounds = 8;
  constexpr std::size_t RequestsPerRound = 500;
  StatementRequest targetStatement;
  targetStatement.Id = {1};
  targetStatement.Database = DatabaseName("orders-0000");
  targetStatement.Mode = Access::StaleRead;
  targetStatement.Sql = "SELECT 1";
  targetStatement.Budget = CallTimeout;
  std::map<std::string, std::vector<double>> all;
  auto direct = openChannels(fleet.Loops, fleet.StandIns->ports()[1], 1);
  callAndWait(direct[0], post(target::ConnectPath, "{}"));
  auto toTarget =
      post(target::ExecutePath, target::toJson(targetStatement).dump());
  auto here = openChannels(fleet.Loops, fleet.Owner->ports()[0], 1);
  auto forwarded = openChannels(fleet.Loops, fleet.Entry->ports()[0], 1);
  auto read = statementRequest("catalogue", "SELECT 1");
  auto measure = [&](const std::string &name, const Channels &channels,
                     const http::Request &request) {
    auto it = runClosedLoop(channels, request, RequestsPerRound);
    all[name].insert(all[name].end(), it.Latencies.begin(), it.Latencies.end());
    report.Values[name + "Failed"] =
        report.Values.value(name + "Failed", std::size_t{0}) + it.Failed;
  };
  for (int n = 0; n < Rounds; ++n) {
    measure("latencyTarget", direct, toTarget);
    measure("latencyHere", here, read);
    measure("latencyForwarded", forwarded, read);
  }
  for (const auto &[name, it] : all)
    report.Values[name] = summary(it);
  closeAll(direct);
  closeAll(here);
  closeAll(forwarded);
}

void measureThroughput(Report &report, SmallFleet &fleet) {
  constexpr std::size_t Total = 40'000;
  auto channels = openChannels(fleet.Loops, fleet.Owner->ports()[0], 32);
  auto cpuTime = fleet.Owner->cpuMicroseconds();
  auto it =
      runClosedLoop(channels, statementRequest("catalogue", "SELECT 1"), Total);
  cpuTime = fleet.Owner->cpuMicroseconds() - cpuTime;
  report.Values["throughput"] = {
      {"statements", Total},
      {"failed", it.Failed},
      {"perSecond", static_cast<double>(Total) / it.Seconds},
      {"daemonCores", cpuTime / 1e6 / it.Seconds},
      {"latency", summary(it.Latencies)}};
  closeAll(channels);
}

void measurePeers(Report &report, SmallFleet &fleet) {
  auto channels = openChannels(fleet.Loops, fleet.InnerRelay.port(), 1);
  runClosedLoop(channels, get(messages::PeerPath), 200);
  for (std::size_t size : {2'000, 4'000, 8'000})
    for (int n = 0; n < Repeats; ++n) {
      auto cpuTime = fleet.Owner->cpuMicroseconds();
      auto bytes = fleet.InnerRelay.bytes();
      runClosedLoop(channels, get(messages::PeerPath), size);
      auto x = static_cast<double>(size);
      report.series("peerUs", "us/peer answer")
          .add(x, fleet.Owner->cpuMicroseconds() - cpuTime);
      report.series("peerBytes", "B/peer exchange")
          .add(x, fleet.InnerRelay.bytes() - bytes);
    }
  closeAll(channels);
}

/// A daemon that owns all targets of some databases and gets no requests.
void measureProbes(Report &report) {
  constexpr milliseconds ProbeInterval{150}; // The daemon's default.
  constexpr double ProbesPerSecond = 1'000.0 / ProbeInterval.count();
  for (std::size_t databases : {2, 8, 24})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(databases);
      auto ports = standIns->ports();
      auto daemon =
          startDaemon({.PlatformPort = ports[0], .ProbePeriod = ProbeInterval});
      http::Loops loops(1);
      CountingRelay relay(loops.at(0), ports[1]);
      setVms(loops, ports[0],
             Json::array({vmEntry("vm-1", "here", daemon->ports()[1])}));
      Ports targets(ports.begin() + 1, ports.end());
      targets[0] = relay.port();
      putConfiguration(loops, ports[0], makeConfiguration(targets, 1));
      sleepFor(SettleTime);
      auto cpuTime = daemon->cpuMicroseconds();
      auto bytes = relay.bytes();
      sleepFor(MeasurementTime);
      auto x = static_cast<double>(3 * databases) * ProbesPerSecond;
      report.series("probeUs", "us/probe")
          .add(x, (daemon->cpuMicroseconds() - cpuTime) /
                      secondsOf(MeasurementTime));
      report.series("probeBytes", "B/probe")
          .add(secondsOf(MeasurementTime) * ProbesPerSecond *
                   static_cast<double>(n + 1),
               (relay.bytes() - bytes) * static_cast<double>(n + 1));
      report.series("targetOwnedBytes", "B/target")
          .add(static_cast<double>(3 * databases), daemon->residentBytes());
      loops.stop();
    }
}

/// An idle daemon, which fetches the list of members once a second.
void measureMembers(Report &report) {
  for (std::size_t size : {100, 425, 1'700})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      http::Loops loops(1);
      CountingRelay relay(loops.at(0), standIns->ports()[0]);
      Json list = Json::array();
      for (std::size_t k = 0; k < size; ++k)
        list.push_back(vmEntry(fmt::format("entry-vm-{:04}", k), "tartu-press",
                               static_cast<std::uint16_t>(10'000 + k)));
      setVms(loops, standIns->ports()[0], list);
      ChildProcess daemon(
          2, [&](const auto &reportPorts, const auto &waitForStop) {
            telemetry::setLevel(telemetry::Level::Error);
            DaemonOptions options;
            options.Self.Vm = VmName("entry-vm-0000");
            options.Platform = loopback(relay.port());
            Daemon it(options);
            it.start();
            reportPorts({it.callerPort(), it.innerPort()});
            waitForStop();
          });
      sleepFor(SettleTime);
      auto cpuTime = daemon.cpuMicroseconds();
      auto bytes = relay.bytes();
      sleepFor(MeasurementTime);
      auto x = static_cast<double>(size);
      report.series("listUsPerSecond", "us/s/member")
          .add(x, (daemon.cpuMicroseconds() - cpuTime) /
                      secondsOf(MeasurementTime));
      report.series("listBytesPerSecond", "B/s/member")
          .add(x, (relay.bytes() - bytes) / secondsOf(MeasurementTime));
      loops.stop();
    }
}

/// Ranking the owners of a target, which routing and probing do per target.
void measureRanking(Report &report) {
  constexpr int CallCount = 200;
  for (std::size_t size : {100, 425, 1'700}) {
    std::vector<Member> list;
    for (std::size_t k = 0; k < size; ++k)
      list.push_back({VmName(fmt::format("entry-vm-{:04}", k)),
                      DomainName(fmt::format("domain-{}", k % 7)),
                      RegionName(fmt::format("region-{}", k % 3)),
                      loopback(static_cast<std::uint16_t>(10'000 + k))});
    for (int n = 0; n < Repeats; ++n) {
      auto start = std::chrono::steady_clock::now();
      std::size_t ranked = 0;
      for (int k = 0; k < CallCount; ++k)
        ranked += rankOwners(list, TargetName(fmt::format("target-{}", k)),
                             DomainName("domain-1"), RegionName("region-1"))
                      .size();
      std::chrono::duration<double, std::micro> elapsed =
          std::chrono::steady_clock::now() - start;
      if (ranked != CallCount * size)
        std::cerr << "ranking: result lacks members\n";
      report.series("rankUs", "us/member")
          .add(static_cast<double>(size), elapsed.count() / CallCount);
    }
  }
}

/// A daemon that receives a configuration of this many databases, then one
/// change of it.
void measureChanges(Report &report) {
  for (std::size_t size : {175, 700, 2'800})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      http::Loops loops(1);
      CountingRelay relay(loops.at(0), standIns->ports()[0]);
      auto daemon = startDaemon(
          {.PlatformPort = relay.port(), .ProbePeriod = 10 * MeasurementTime});
      Ports targets;
      for (std::size_t k = 0; k < 3 * size; ++k)
        targets.push_back(static_cast<std::uint16_t>(10'000 + k));
      auto config = makeConfiguration(targets, 1);
      sleepFor(milliseconds(300));
      auto resident = daemon->residentBytes();
      putConfiguration(loops, standIns->ports()[0], config);
      sleepFor(SettleTime);
      auto first = daemon->residentBytes();
      auto cpuTime = daemon->cpuMicroseconds();
      auto bytes = relay.bytes();
      config.Revision = 2;
      putConfiguration(loops, standIns->ports()[0], config);
      sleepFor(SettleTime);
      auto x = static_cast<double>(size);
      report.series("configurationBytes", "B/database")
          .add(x, first - resident);
      report.series("changeUs", "us/database")
          .add(x, daemon->cpuMicroseconds() - cpuTime);
      report.series("changeBytes", "B/database").add(x, relay.bytes() - bytes);
      loops.stop();
    }
}

double countPlatformCalls(http::Loops &loops, std::uint16_t port) {
  auto channel = std::make_shared<http::Channel>(loops.next(), loopback(port),
                                                 http::ChannelOptions{});
  auto done = std::make_shared<std::promise<std::string>>();
  channel->call(post("/control", "{}"), CallTimeout,
                [done](const http::CallResult &it) {
                  done->set_value(it ? it.value().Body : "{}");
                });
  auto counts = Json::parse(done->get_future().get());
  channel->close();
  double sum = 0;
  for (const auto &it : counts)
    sum += it.get<double>();
  return sum;
}

/// Calls to the platform by idle daemons.
void measurePlatformCalls(Report &report) {
  constexpr milliseconds IdleTime{11'000}; ///< Longer than one watch request.
  for (std::size_t size : {1, 2, 4}) {
    auto standIns = startStandIns(0);
    std::vector<std::unique_ptr<ChildProcess>> daemons;
    for (std::size_t n = 0; n < size; ++n)
      daemons.push_back(startDaemon({.Vm = fmt::format("vm-{}", n),
                                     .PlatformPort = standIns->ports()[0]}));
    http::Loops loops(1);
    putConfiguration(loops, standIns->ports()[0], makeConfiguration({}, 1));
    sleepFor(SettleTime);
    auto begin = countPlatformCalls(loops, standIns->ports()[0]);
    sleepFor(IdleTime);
    auto end = countPlatformCalls(loops, standIns->ports()[0]);
    report.series("platformCallsPerSecond", "calls/s/daemon")
        .add(static_cast<double>(size), (end - begin) / secondsOf(IdleTime));
    loops.stop();
  }
}

Json machineInfo() {
  double load = 0;
  getloadavg(&load, 1);
  constexpr double GiB = 1024.0 * 1024.0 * 1024.0;
  return {{"cores", std::thread::hardware_concurrency()},
          {"memoryGiB", static_cast<double>(sysconf(_SC_PHYS_PAGES)) *
                            static_cast<double>(sysconf(_SC_PAGESIZE)) / GiB},
          {"loadAverageAtStart", load}};
}

Json toJson(const Report &report) {
  Json out = {{"command", "scripts/bench.sh slopes"},
              {"single", report.Values},
              {"series", Json::object()}};
  for (const auto &[name, it] : report.SeriesByName)
    out["series"][name] = bench::toJson(it);
  return out;
}

struct Measurement {
  const char *Name;
  void (*Run)(Report &);
};

void measureOnSmallFleet(Report &report) {
  SmallFleet fleet;
  measureLatency(report, fleet);
  measureStatements(report, fleet);
  measureThroughput(report, fleet);
  measurePeers(report, fleet);
}

constexpr std::array<Measurement, 7> Measurements{
    {{"ranking", measureRanking},
     {"connections", measureConnections},
     {"statements", measureOnSmallFleet},
     {"probes", measureProbes},
     {"members", measureMembers},
     {"changes", measureChanges},
     {"platform", measurePlatformCalls}}};

} // namespace

int main(int argc, char **argv) {
  telemetry::setLevel(telemetry::Level::Error);
  Report report;
  auto machineAtStart = machineInfo();
  std::vector<std::string> chosen(argv + std::min(argc, 2), argv + argc);
  for (const auto &it : Measurements) {
    if (!chosen.empty() &&
        std::find(chosen.begin(), chosen.end(), it.Name) == chosen.end())
      continue;
    std::cerr << it.Name << "\n";
    it.Run(report);
  }
  auto out = toJson(report);
  out["machine"] = machineAtStart;
  if (argc > 1)
    std::ofstream(argv[1]) << out.dump(2) << "\n";
  else
    std::cout << out.dump(2) << "\n";
  return 0;
}
