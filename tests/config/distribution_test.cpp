#include "daemon/daemon.h"
#include "http/channel.h"
#include "peridotfall/questionnaire.h"
#include "standin/platform.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace peridotfall;
using namespace std::chrono_literals;

namespace {

/// A stand-in platform and daemons, each with its own event loops, on loopback.
struct DistributionFixture {
  http::Loops Loops{1};
  std::shared_ptr<standin::Platform> Store =
      std::make_shared<standin::Platform>(Loops);
  std::vector<std::unique_ptr<Daemon>> Daemons;
  Configuration Config;

  DistributionFixture() {
    REQUIRE_FALSE(Store->start("127.0.0.1:0"));
    Config.Id = "one";
    Config.Revision = 1;
    Config.Domains = {{DomainName("d"), RegionName("r")}};
  }

  ~DistributionFixture() {
    for (auto &it : Daemons)
      it->shutdown(100ms);
    Daemons.clear();
    Store->stop();
    Loops.stop();
  }

  Daemon &start(const std::string &vm, const std::string &platform,
                std::vector<std::string> peers = {}) {
    DaemonOptions it;
    it.Self.Vm = VmName(vm);
    it.Self.Domain = DomainName("d");
    it.Self.Region = RegionName("r");
    it.Self.InnerAddress = it.ListenInner;
    it.Platform = platform;
    it.Peers = std::move(peers);
    it.Threads = 1;
    Daemons.push_back(std::make_unique<Daemon>(it));
    REQUIRE(Daemons.back()->start().empty());
    return *Daemons.back();
  }

  std::string platform() const { return address(Store->port()); }
  static std::string address(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  http::Response send(std::uint16_t port, const std::string &method,
                      const std::string &path, const std::string &body = "") {
    auto channel = std::make_shared<http::Channel>(Loops.at(0), address(port),
                                                   http::ChannelOptions{});
    http::Request request;
    request.Method = method;
    request.Path = path;
    request.Body = body;
    std::promise<http::Response> promise;
    channel->call(request, 2s, [&](const http::CallResult &it) {
      promise.set_value(it ? it.value() : http::Response{0, {}, ""});
    });
    auto out = promise.get_future().get();
    channel->close();
    return out;
  }

  void apply(std::uint64_t expected) {
    send(Store->port(), "PUT",
         "/objects/peridotfall/configuration?expected=" +
             std::to_string(expected),
         writeConfiguration(Config));
  }

  void listVms() {
    Json vms = Json::array();
    for (std::size_t n = 0; n < Daemons.size(); ++n)
      vms.push_back({{"vm", "vm-" + std::to_string(n + 1)},
                     {"domain", "d"},
                     {"region", "r"},
                     {"address", address(Daemons[n]->innerPort())}});
    send(Store->port(), "POST", "/control", Json{{"vms", vms}}.dump());
  }

  bool awaitRevision(Daemon &daemon, std::uint64_t revision) {
    constexpr int MaxSteps = 1'000;
    for (int n = 0; n < MaxSteps; ++n) {
      if (daemon.revision() >= revision)
        return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }
};

} // namespace

// Two of three daemons in a failure domain watch the platform; the third
// receives each change from them.
TEST_CASE_FIXTURE(DistributionFixture,
                  "configuration, applied, is in force at all daemons") {
  for (int n = 1; n <= 3; ++n)
    start("vm-" + std::to_string(n), platform());
  listVms();
  apply(0);
  for (auto &it : Daemons)
    CHECK(awaitRevision(*it, 1));
  Config.Revision = 2;
  apply(1);
  for (auto &it : Daemons)
    CHECK(awaitRevision(*it, 2));
}

// A VM is replaced while the platform is down. The new daemon reports why it is
// not ready while it knows no peer, and gets the configuration from a peer.
TEST_CASE_FIXTURE(
    DistributionFixture,
    "configuration, platform down at the start, comes from a peer") {
  auto &first = start("vm-1", platform());
  listVms();
  apply(0);
  REQUIRE(awaitRevision(first, 1));
  // Nothing listens on port 1.
  auto &alone = start("vm-2", "127.0.0.1:1");
  auto answer = send(alone.callerPort(), "GET", "/readyz");
  CHECK(answer.Status == 503);
  CHECK(answer.Body.find("no peers known") != std::string::npos);
  auto &second = start("vm-3", "127.0.0.1:1", {address(first.innerPort())});
  CHECK(awaitRevision(second, 1));
  CHECK(send(second.callerPort(), "GET", "/readyz").Status == 200);
}

// The platform returns an older object, for example from a restored backup. A
// daemon that applied it would serve an outdated configuration.
TEST_CASE_FIXTURE(
    DistributionFixture,
    "configuration, lower revision at the platform, is rejected") {
  auto &daemon = start("vm-1", platform());
  Config.Revision = 7;
  apply(0);
  REQUIRE(awaitRevision(daemon, 7));
  Config.Revision = 6;
  apply(1);
  Config.Revision = 8;
  apply(2);
  CHECK(awaitRevision(daemon, 8));
  // The rule itself, compared with a plain assignment.
  ConfigurationInForce kept;
  std::uint64_t assigned = 0;
  for (std::uint64_t n : {7, 6}) {
    Config.Revision = n;
    assigned = n;
    kept.updateIfNewer(Config);
  }
  CHECK(assigned == 6);
  CHECK(kept.get()->Revision == 7);
}
