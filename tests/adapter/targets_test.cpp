#include "targets.h"

#include "proxy/fixture.h"
#include "telemetry/log_writer.h"

#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::adapter;
using asio::ip::tcp;
using proxy::BatchEnd;
using proxy::GroupName;
using proxy::Statement;
using proxy::StatementKind;
using std::chrono::milliseconds;

namespace {

/// A target that answers START and keeps what it is sent.
struct TargetsFixture {
  ManualClock Time;
  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket Socket{Loop};
  std::string Received;
  TargetConnections Links{Loop};
  proxy::NoRelay Relay;
  proxy::Groups TargetGroups{
      {VmName("vm"), DomainName("press"), RegionName("tartu")},
      Links,
      Relay,
      Time};
  std::optional<proxy::BatchResult> Result;
  std::string Log;

  TargetsFixture() {
    telemetry::setLineSink([this](const std::string &it) { Log += it + "\n"; });
    Links.setGroups(TargetGroups);
    TargetGroups.applySettings({{GroupName("ledger"), {16, false}}}, true);
    Acceptor.async_accept(Socket, [this](std::error_code ec) {
      if (!ec)
        read();
    });
  }
  ~TargetsFixture() { telemetry::setLineSink(nullptr); }
  TargetsFixture(const TargetsFixture &) = delete;
  TargetsFixture &operator=(const TargetsFixture &) = delete;

  void read() {
    asio::async_read_until(Socket, asio::dynamic_buffer(Received), "\r\n",
                           [this](std::error_code ec, std::size_t) {
                             if (!ec)
                               asio::write(Socket,
                                           asio::buffer("READY I -\r\n", 11));
                           });
  }
  void run(const char *target, const char *account, const Statement &it) {
    auto entry = proxy::targetEntry(TargetName(target), GroupName("ledger"),
                                    DomainName("press"), true);
    entry.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    TargetGroups.updateTargets({{entry.Name, entry}});
    proxy::Batch batch;
    batch.Statements = {it};
    batch.EndsLease = true;
    batch.Timeout = milliseconds(300);
    TargetGroups.beginHere(
        {entry.Name,
         0,
         milliseconds(300),
         milliseconds(600),
         {},
         AccountName(account)},
        batch, [this](proxy::BatchResult end) { Result = std::move(end); });
    while (!Result && Loop.run_one_for(std::chrono::seconds(5)) > 0)
      continue;
    REQUIRE(Result);
  }
  static Statement readStatement() {
    Statement it;
    it.Kind = StatementKind::Read;
    it.Id = "5c0e";
    it.Text = "READ 1a4";
    return it;
  }
};

} // namespace

// Guards against names that read as other fields of START.
TEST_CASE_FIXTURE(TargetsFixture,
                  "connection to a target, a name that is no word, is not "
                  "opened") {
  run("i 7", "t", readStatement());
  CHECK(Result->End == BatchEnd::NotRun);
  CHECK(Received.empty());
  CHECK(Log.find("no words for START") != std::string::npos);
}

TEST_CASE_FIXTURE(TargetsFixture, "connection to a target, an account's name "
                                  "that is no word, is not opened") {
  run("i-7", "a b", readStatement());
  CHECK(Result->End == BatchEnd::NotRun);
  CHECK(Received.empty());
}

// Guards against text of another daemon that a target reads as other fields.
TEST_CASE_FIXTURE(TargetsFixture, "statement to a target, a name with blanks, "
                                  "is not sent") {
  Statement it;
  it.Kind = StatementKind::Execute;
  it.Id = "5c0e";
  it.Name = "r_q7 READ va";
  it.Argument = "1a4";
  run("i-7", "t", it);
  CHECK(Result->End == BatchEnd::Lost);
  Loop.run_for(milliseconds(50));
  CHECK(Received == "START ledger t i-7\r\n");
  CHECK(Log.find("event=PF9003") != std::string::npos);
}
