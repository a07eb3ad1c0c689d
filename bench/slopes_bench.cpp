/// \file
/// Slopes for docs/CAPACITY.md: what each role costs for each caller
/// connection, statement, target, probe, peer, member and configured
/// database. Daemons and stand-ins run as processes of their own, so that the
/// kernel's counts are theirs alone.
///
/// Usage: scripts/bench.sh slopes [FILE [PART...]]; writes JSON to FILE or
/// standard output; PART: ranking, connections and so on, all if none.

#include "slopes_fit.h"
#include "slopes_fleet.h"
#include "slopes_relay.h"

#include <iostream>
#include <map>

using namespace peridotfall;
using namespace peridotfall::bench;

namespace {

constexpr int Repeats = 3;
constexpr milliseconds Settle{2'500}; ///< Two rounds of the list of VMs.
constexpr milliseconds Window{4'000};
constexpr unsigned LoadThreads = 3;

struct Report {
  std::map<std::string, Series> All;
  Json Single = Json::object();

  Series &of(const std::string &name, const std::string &unit) {
    All[name].Unit = unit;
    return All[name];
  }
};

double secondsOf(milliseconds it) {
  return std::chrono::duration<double>(it).count();
}

/// One daemon before one database; it owns all three targets.
struct SmallFleet {
  std::unique_ptr<Child> StandIns = startStandIns(1);
  std::unique_ptr<Child> Owner =
      startDaemon({.Platform = StandIns->ports()[0], .Probe = Window});
  std::unique_ptr<Child> Entry = startDaemon({.Vm = "vm-2",
                                              .Domain = "there",
                                              .Platform = StandIns->ports()[0],
                                              .Probe = Window});
  http::Loops Loops{LoadThreads};
  Relay Inner{Loops.at(0), Owner->ports()[1]};

  SmallFleet() {
    auto ports = StandIns->ports();
    setVms(Loops, ports[0],
           {vm("vm-1", "here", Inner.port()),
            vm("vm-2", "there", Entry->ports()[1])});
    putConfiguration(Loops, ports[0],
                     makeConfiguration({ports.begin() + 1, ports.end()}, 1));
    pause(Settle);
    auto channels = openChannels(Loops, Owner->ports()[0], 1);
    callNow(channels[0], statement("schema", "CREATE TABLE orders(item TEXT)"));
    closeAll(channels);
  }
  ~SmallFleet() { Loops.stop(); }
};

void connections(Report &report) {
  constexpr std::size_t Batch = 200;
  auto &memory = report.of("callerConnectionBytes", "B/connection");
  auto &time = report.of("callerConnectionOpenUs", "us/connection");
  for (std::size_t size : {1'000, 4'000, 10'000})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      auto daemon = startDaemon({.Platform = standIns->ports()[0]});
      http::Loops loops(LoadThreads);
      pause(milliseconds(200));
      auto bytes = daemon->residentBytes();
      auto used = daemon->processorTime();
      Channels open;
      while (open.size() < size) {
        auto more = openChannels(loops, daemon->ports()[0], Batch);
        drive(more, get("/healthz"), Batch);
        open.insert(open.end(), more.begin(), more.end());
      }
      memory.add(static_cast<double>(size), daemon->residentBytes() - bytes);
      time.add(static_cast<double>(size), daemon->processorTime() - used);
      closeAll(open);
      loops.stop();
    }
}

struct LoadKind {
  std::string Name;
  http::Request Request;
  bool Remote = false;
};

void load(Report &report, SmallFleet &fleet, const LoadKind &kind,
          std::size_t least) {
  auto port = (kind.Remote ? fleet.Entry : fleet.Owner)->ports()[0];
  auto channels = openChannels(fleet.Loops, port, 8);
  drive(channels, kind.Request, least);
  std::size_t failed = 0;
  for (std::size_t size : {least, 2 * least, 4 * least})
    for (int n = 0; n < Repeats; ++n) {
      auto owner = fleet.Owner->processorTime();
      auto entry = fleet.Entry->processorTime();
      auto inner = fleet.Inner.bytes();
      failed += drive(channels, kind.Request, size).Failed;
      auto x = static_cast<double>(size);
      report.of(kind.Name + "OwnerUs", "us/statement")
          .add(x, fleet.Owner->processorTime() - owner);
      if (!kind.Remote)
        continue;
      report.of(kind.Name + "EntryUs", "us/statement")
          .add(x, fleet.Entry->processorTime() - entry);
      report.of(kind.Name + "InnerBytes", "B/statement")
          .add(x, fleet.Inner.bytes() - inner);
    }
  report.Single[kind.Name + "Failed"] = failed;
  closeAll(channels);
}

void statements(Report &report, SmallFleet &fleet) {
  auto read = statement("catalogue", "SELECT 1");
  auto write = statement("place-order", "INSERT INTO orders VALUES('flyer')");
  load(report, fleet, {"readHere", read, false}, 4'000);
  load(report, fleet, {"readForwarded", read, true}, 4'000);
  load(report, fleet, {"writeHere", write, false}, 1'000);
  load(report, fleet, {"writeForwarded", write, true}, 1'000);
}

Json summary(const std::vector<double> &it) {
  return {{"count", it.size()},
          {"medianUs", percentile(it, 0.5)},
          {"p99Us", percentile(it, 0.99)}};
}

/// One request at a time; the ways take turns, so that all meet the same
/// machine.
void latency(Report &report, SmallFleet &fleet) {
  constexpr int Rounds = 8;
  constexpr std::size_t Each = 500;
  StatementRequest ask;
  ask.Id = {1};
  ask.Database = DatabaseName("orders-0000");
  ask.Mode = Access::StaleRead;
  ask.Sql = "SELECT 1";
  ask.Budget = CallLimit;
  std::map<std::string, std::vector<double>> all;
  auto direct = openChannels(fleet.Loops, fleet.StandIns->ports()[1], 1);
  callNow(direct[0], post(target::ConnectPath, "{}"));
  auto toTarget = post(target::ExecutePath, target::toJson(ask).dump());
  auto here = openChannels(fleet.Loops, fleet.Owner->ports()[0], 1);
  auto forwarded = openChannels(fleet.Loops, fleet.Entry->ports()[0], 1);
  auto read = statement("catalogue", "SELECT 1");
  auto take = [&](const std::string &name, const Channels &channels,
                  const http::Request &request) {
    auto it = drive(channels, request, Each);
    all[name].insert(all[name].end(), it.Latencies.begin(), it.Latencies.end());
    report.Single[name + "Failed"] =
        report.Single.value(name + "Failed", std::size_t{0}) + it.Failed;
  };
  for (int n = 0; n < Rounds; ++n) {
    take("latencyTarget", direct, toTarget);
    take("latencyHere", here, read);
    take("latencyForwarded", forwarded, read);
  }
  for (const auto &[name, it] : all)
    report.Single[name] = summary(it);
  closeAll(direct);
  closeAll(here);
  closeAll(forwarded);
}

void throughput(Report &report, SmallFleet &fleet) {
  constexpr std::size_t Total = 40'000;
  auto channels = openChannels(fleet.Loops, fleet.Owner->ports()[0], 32);
  auto used = fleet.Owner->processorTime();
  auto it = drive(channels, statement("catalogue", "SELECT 1"), Total);
  used = fleet.Owner->processorTime() - used;
  report.Single["throughput"] = {
      {"statements", Total},
      {"failed", it.Failed},
      {"perSecond", static_cast<double>(Total) / it.Seconds},
      {"daemonCores", used / 1e6 / it.Seconds},
      {"latency", summary(it.Latencies)}};
  closeAll(channels);
}

void peers(Report &report, SmallFleet &fleet) {
  auto channels = openChannels(fleet.Loops, fleet.Inner.port(), 1);
  drive(channels, get(messages::PeerPath), 200);
  for (std::size_t size : {2'000, 4'000, 8'000})
    for (int n = 0; n < Repeats; ++n) {
      auto used = fleet.Owner->processorTime();
      auto bytes = fleet.Inner.bytes();
      drive(channels, get(messages::PeerPath), size);
      auto x = static_cast<double>(size);
      report.of("peerUs", "us/peer answer")
          .add(x, fleet.Owner->processorTime() - used);
      report.of("peerBytes", "B/peer exchange")
          .add(x, fleet.Inner.bytes() - bytes);
    }
  closeAll(channels);
}

/// A daemon that owns all targets of some databases and serves nobody.
void probes(Report &report) {
  constexpr milliseconds Interval{150}; // The daemon's own.
  constexpr double PerSecond = 1'000.0 / Interval.count();
  for (std::size_t databases : {2, 8, 24})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(databases);
      auto ports = standIns->ports();
      auto daemon = startDaemon({.Platform = ports[0], .Probe = Interval});
      http::Loops loops(1);
      Relay relay(loops.at(0), ports[1]);
      setVms(loops, ports[0],
             Json::array({vm("vm-1", "here", daemon->ports()[1])}));
      Ports targets(ports.begin() + 1, ports.end());
      targets[0] = relay.port();
      putConfiguration(loops, ports[0], makeConfiguration(targets, 1));
      pause(Settle);
      auto used = daemon->processorTime();
      auto bytes = relay.bytes();
      pause(Window);
      auto x = static_cast<double>(3 * databases) * PerSecond;
      report.of("probeUs", "us/probe")
          .add(x, (daemon->processorTime() - used) / secondsOf(Window));
      report.of("probeBytes", "B/probe")
          .add(secondsOf(Window) * PerSecond * static_cast<double>(n + 1),
               (relay.bytes() - bytes) * static_cast<double>(n + 1));
      report.of("targetOwnedBytes", "B/target")
          .add(static_cast<double>(3 * databases), daemon->residentBytes());
      loops.stop();
    }
}

/// A daemon that only lists the members, once a second.
void members(Report &report) {
  for (std::size_t size : {100, 425, 1'700})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      http::Loops loops(1);
      Relay relay(loops.at(0), standIns->ports()[0]);
      Json list = Json::array();
      for (std::size_t k = 0; k < size; ++k)
        list.push_back(vm(fmt::format("entry-vm-{:04}", k), "tartu-press",
                          static_cast<std::uint16_t>(10'000 + k)));
      setVms(loops, standIns->ports()[0], list);
      Child daemon(2, [&](const auto &ready, const auto &untilClosed) {
        telemetry::setLevel(telemetry::Level::Error);
        DaemonOptions options;
        options.Self.Vm = VmName("entry-vm-0000");
        options.Platform = loopback(relay.port());
        Daemon it(options);
        it.start();
        ready({it.callerPort(), it.innerPort()});
        untilClosed();
      });
      pause(Settle);
      auto used = daemon.processorTime();
      auto bytes = relay.bytes();
      pause(Window);
      auto x = static_cast<double>(size);
      report.of("listUsPerSecond", "us/s/member")
          .add(x, (daemon.processorTime() - used) / secondsOf(Window));
      report.of("listBytesPerSecond", "B/s/member")
          .add(x, (relay.bytes() - bytes) / secondsOf(Window));
      loops.stop();
    }
}

/// Ranking the owners of a target: what routing and probing do for each.
void ranking(Report &report) {
  constexpr int Calls = 200;
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
      for (int k = 0; k < Calls; ++k)
        ranked += rankOwners(list, TargetName(fmt::format("target-{}", k)),
                             DomainName("domain-1"), RegionName("region-1"))
                      .size();
      std::chrono::duration<double, std::micro> took =
          std::chrono::steady_clock::now() - start;
      if (ranked != Calls * size)
        std::cerr << "ranking: members left out\n";
      report.of("rankUs", "us/member")
          .add(static_cast<double>(size), took.count() / Calls);
    }
  }
}

/// A daemon that takes one change of a configuration of this many databases.
void changes(Report &report) {
  for (std::size_t size : {175, 700, 2'800})
    for (int n = 0; n < Repeats; ++n) {
      auto standIns = startStandIns(0);
      http::Loops loops(1);
      Relay relay(loops.at(0), standIns->ports()[0]);
      auto daemon =
          startDaemon({.Platform = relay.port(), .Probe = 10 * Window});
      Ports targets;
      for (std::size_t k = 0; k < 3 * size; ++k)
        targets.push_back(static_cast<std::uint16_t>(10'000 + k));
      auto config = makeConfiguration(targets, 1);
      pause(milliseconds(300));
      auto resident = daemon->residentBytes();
      putConfiguration(loops, standIns->ports()[0], config);
      pause(Settle);
      auto first = daemon->residentBytes();
      auto used = daemon->processorTime();
      auto bytes = relay.bytes();
      config.Revision = 2;
      putConfiguration(loops, standIns->ports()[0], config);
      pause(Settle);
      auto x = static_cast<double>(size);
      report.of("configurationBytes", "B/database").add(x, first - resident);
      report.of("changeUs", "us/database")
          .add(x, daemon->processorTime() - used);
      report.of("changeBytes", "B/database").add(x, relay.bytes() - bytes);
      loops.stop();
    }
}

double platformCalls(http::Loops &loops, std::uint16_t port) {
  auto channel = std::make_shared<http::Channel>(loops.next(), loopback(port),
                                                 http::ChannelOptions{});
  auto done = std::make_shared<std::promise<std::string>>();
  channel->call(post("/control", "{}"), CallLimit,
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

/// Calls on the platform while nothing happens, for each daemon.
void platformRate(Report &report) {
  constexpr milliseconds Longer{11'000}; ///< Above one watch.
  for (std::size_t size : {1, 2, 4}) {
    auto standIns = startStandIns(0);
    std::vector<std::unique_ptr<Child>> daemons;
    for (std::size_t n = 0; n < size; ++n)
      daemons.push_back(startDaemon(
          {.Vm = fmt::format("vm-{}", n), .Platform = standIns->ports()[0]}));
    http::Loops loops(1);
    putConfiguration(loops, standIns->ports()[0], makeConfiguration({}, 1));
    pause(Settle);
    auto begin = platformCalls(loops, standIns->ports()[0]);
    pause(Longer);
    auto end = platformCalls(loops, standIns->ports()[0]);
    report.of("platformCallsPerSecond", "calls/s/daemon")
        .add(static_cast<double>(size), (end - begin) / secondsOf(Longer));
    loops.stop();
  }
}

Json machine() {
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
              {"single", report.Single},
              {"series", Json::object()}};
  for (const auto &[name, it] : report.All)
    out["series"][name] = bench::toJson(it);
  return out;
}

struct Part {
  const char *Name;
  void (*Run)(Report &);
};

void onSmallFleet(Report &report) {
  SmallFleet fleet;
  latency(report, fleet);
  statements(report, fleet);
  throughput(report, fleet);
  peers(report, fleet);
}

constexpr std::array<Part, 7> Parts{{{"ranking", ranking},
                                     {"connections", connections},
                                     {"statements", onSmallFleet},
                                     {"probes", probes},
                                     {"members", members},
                                     {"changes", changes},
                                     {"platform", platformRate}}};

} // namespace

int main(int argc, char **argv) {
  telemetry::setLevel(telemetry::Level::Error);
  Report report;
  auto shape = machine();
  std::vector<std::string> chosen(argv + std::min(argc, 2), argv + argc);
  for (const auto &it : Parts) {
    if (!chosen.empty() &&
        std::find(chosen.begin(), chosen.end(), it.Name) == chosen.end())
      continue;
    std::cerr << it.Name << "\n";
    it.Run(report);
  }
  auto out = toJson(report);
  out["machine"] = shape;
  if (argc > 1)
    std::ofstream(argv[1]) << out.dump(2) << "\n";
  else
    std::cout << out.dump(2) << "\n";
  return 0;
}
