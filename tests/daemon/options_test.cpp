#include "daemon/options.h"

#include <doctest/doctest.h>

using namespace peridotfall;

namespace {

struct OptionsFixture {
  OptionsFixture() {
    Settings.Vm = "press-1";
    Settings.Domain = "tartu-press";
    Settings.Region = "tartu";
    Settings.ListenCallers = "127.0.0.1:8080";
    Settings.ListenInner = "127.0.0.1:8081";
    Settings.Platform = "127.0.0.1:7400";
    Settings.TokenKeys = "k1:a secret of sixteen";
  }

  std::vector<std::string> places() const {
    std::vector<std::string> out;
    auto parsed = parseOptions(Settings);
    if (!parsed)
      for (const auto &it : parsed.error())
        out.push_back(it.Place);
    return out;
  }

  DaemonSettings Settings;
};

using Places = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(OptionsFixture, "options, all valid, are accepted") {
  CHECK(places().empty());
}

TEST_CASE_FIXTURE(OptionsFixture,
                  "options, several errors, are reported together") {
  Settings.Vm = "press 1";
  Settings.Platform = "platform.example:80";
  Settings.Threads = 0;
  Settings.TokenKeys = "k1:short";
  CHECK(places() ==
        Places{"--vm", "--platform", "--threads", "--token_keys, key 1"});
}

TEST_CASE_FIXTURE(OptionsFixture,
                  "options, a listener outside loopback without TLS, is "
                  "rejected") {
  Settings.ListenCallers = "0.0.0.0:8080";
  CHECK(places() == Places{"--listen"});
  Settings.PlainText = true;
  CHECK(places().empty());
}

TEST_CASE_FIXTURE(OptionsFixture,
                  "options, a certificate without its key, is rejected") {
  Settings.InnerTls.Certificate = "cert.pem";
  CHECK(places() == Places{"--inner_key", "--inner_ca"});
}

TEST_CASE_FIXTURE(OptionsFixture,
                  "options, a finding about a secret, does not repeat it") {
  Settings.TokenKeys = "k1:hunter2";
  auto parsed = parseOptions(Settings);
  REQUIRE_FALSE(parsed);
  for (const auto &it : parsed.error())
    CHECK(it.Found.find("hunter2") == std::string::npos);
}
