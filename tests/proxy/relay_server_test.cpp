#include "fixture.h"

#include "messages/lease.h"
#include "proxy/relay.h"

using namespace peridotfall;
using namespace peridotfall::proxy;

namespace {

constexpr ProcessId Before{1};
constexpr ProcessId Present{2};

/// A transaction of another daemon, on a connection that this one holds.
struct RelayServerFixture : ProxyFixture {
  RelayServer Server{TargetGroups, Present};
  std::optional<messages::LeaseAnswer> Received;
  RemoteLeaseId Lease;

  RelayServerFixture() {
    messages::BeginLease message;
    message.Request = {
        TargetName("p"), 0, milliseconds(300), milliseconds(600), {}};
    message.First.Statements = {makeProxyStatement(StatementKind::Begin)};
    message.First.Timeout = milliseconds(300);
    send(messages::BeginLeasePath, messages::encode(message));
    serve("p", TransactionState::Open);
    REQUIRE(Received);
    REQUIRE(Received->Result.LeaseKept);
    Lease = Received->Lease;
    Received.reset();
  }
  void send(const char *path, std::string body) {
    http::Request request;
    request.Path = path;
    request.Body = std::move(body);
    request.Connection = ConnectionHandle{1};
    Server.handle(request, [this](http::Response it) {
      if (auto answer = messages::decodeLeaseAnswer(it.Body))
        Received = answer.value();
    });
  }
  void run(const RemoteLeaseId &lease) {
    messages::RunLease message{lease, {}};
    message.Next.Statements = {makeProxyStatement(StatementKind::Rollback)};
    message.Next.Timeout = milliseconds(300);
    send(messages::RunLeasePath, messages::encode(message));
  }
  bool isTargetBusy() { return busyAt("p").has_value(); }
};

} // namespace

// Guards against a statement that runs in another caller's transaction after
// the holder has been restarted: lease numbers begin anew.
TEST_CASE_FIXTURE(RelayServerFixture,
                  "lease of the holder's process before, is not continued") {
  run({Before, Lease.Lease});
  REQUIRE(Received);
  CHECK(Received->Result.End == BatchEnd::NotRun);
  CHECK_FALSE(isTargetBusy());
  run({{}, Lease.Lease});
  CHECK_FALSE(isTargetBusy());
}

TEST_CASE_FIXTURE(RelayServerFixture,
                  "lease of the holder's process before, is not abandoned") {
  send(messages::AbandonLeasePath,
       messages::encode(messages::AbandonLease{{Before, Lease.Lease}}));
  CHECK_FALSE(isTargetBusy());
  run(Lease);
  CHECK(isTargetBusy());
}

// Guards against a daemon that stops while it runs a statement for another one.
TEST_CASE_FIXTURE(RelayServerFixture,
                  "lease of another daemon, is open until it ends") {
  CHECK(Server.hasLeases());
  messages::AbandonLease message{Lease};
  send(messages::AbandonLeasePath, messages::encode(message));
  CHECK_FALSE(Server.hasLeases());
}
