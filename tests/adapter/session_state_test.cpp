// The states of callers' sessions as targets see them, line by line.

#include "adapter/strict_target.h"
#include "proxy/fixture.h"
#include "wire.h"

#include <random>

using namespace peridotfall;
using namespace peridotfall::proxy;
using adapter::StrictTarget;
using adapter::TargetRun;

namespace {

/// Callers send lines; targets read the lines that reach them. A target refuses
/// each set-up statement of which RefusedSetups holds the text.
struct StateFixture : ProxyFixture {
  struct Caller {
    CallerId Id;
    std::map<std::string, std::string> Values;
    std::map<std::string, std::string> Shapes; ///< "READ shape", by name.
  };

  std::map<ConnectionId, StrictTarget> Targets;
  std::map<std::string, ErrorKind> RefusedSetups;
  std::vector<TargetRun> Expected;

  Caller open(const char *database) { return {session(database), {}, {}}; }

  void line(CallerId caller, const std::string &text) {
    auto message = adapter::parseCallerMessage(text);
    REQUIRE(message);
    Callers.statement(caller, std::get<Statement>(message.value()));
  }
  void set(Caller &caller, const std::string &name, const std::string &value) {
    caller.Values[name] = value;
    line(caller.Id, "QUERY x SET " + name + " " + value);
    REQUIRE(last(caller.Id).ok());
  }
  void prepare(Caller &caller, const std::string &name,
               const std::string &body) {
    caller.Shapes[name] = body;
    line(caller.Id, "QUERY x PREPARE " + name + " " + body);
    REQUIRE(last(caller.Id).ok());
  }
  std::string nextId() { return "q" + std::to_string(++LastRequest); }
  void execute(const Caller &caller, const std::string &name,
               const std::string &arguments) {
    auto id = nextId();
    Expected.push_back(
        {id, caller.Shapes.at(name) + " | " + arguments, caller.Values});
    line(caller.Id, "QUERY " + id + " EXECUTE " + name + " " + arguments);
  }
  void write(const Caller &caller, const std::string &arguments) {
    auto id = nextId();
    Expected.push_back({id, "WRITE " + arguments, caller.Values});
    line(caller.Id, "QUERY " + id + " WRITE " + arguments);
  }

  /// Runs on the primary all that was sent to it, also on connections that
  /// were closed meanwhile.
  void serveLines() {
    completeHandshakes();
    while (auto id = busyAt("p")) {
      const auto next = Links.Connections.at(*id).Unanswered.front();
      auto &target = Targets[*id];
      auto text = adapter::formatStatement(next).value();
      auto refused = RefusedSetups.find(text);
      bool isRefused = next.Id.empty() && refused != RefusedSetups.end();
      std::string code = isRefused ? "refused" : target.run(text);
      auto state = target.InTransaction ? TransactionState::Open
                                        : TransactionState::Idle;
      if (isRefused)
        answer(*id, failure(refused->second, state));
      else if (!code.empty())
        answer(*id, failure(code == "NOSTMT" ? ErrorKind::NoStatement
                                             : ErrorKind::Malformed,
                            state));
      else
        answer(*id, success(next, state));
      completeHandshakes();
      runClosed();
    }
  }
  void runClosed() {
    for (auto &[id, it] : Links.Connections)
      for (; !it.Open && !it.Unanswered.empty(); it.Unanswered.pop_front())
        Targets[id].run(
            adapter::formatStatement(it.Unanswered.front()).value());
  }
  std::vector<TargetRun> ran() const {
    std::vector<TargetRun> out;
    for (const auto &[id, it] : Targets)
      out.insert(out.end(), it.Ran.begin(), it.Ran.end());
    std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
      return std::pair(a.Id.size(), a.Id) < std::pair(b.Id.size(), b.Id);
    });
    return out;
  }
};

} // namespace

// Guards against a shape with blanks that is read as other fields of the line.
TEST_CASE_FIXTURE(StateFixture,
                  "prepared shape with blanks, is executed as prepared") {
  for (const std::string body :
       {"READ q7 READ va", "READ q7", "WRITE q11 dt  fhk", "WRITE q11 ",
        "READ  q7", "READ q7\tREAD va", "READ q7 READ va READ q7"}) {
    CAPTURE(body);
    auto caller = open("orders");
    prepare(caller, "s1", body);
    execute(caller, "s1", "a1 wkfm duur");
    serveLines();
    CHECK(last(caller.Id).ok());
  }
  CHECK(ran() == Expected);
}

// Guards against shapes of two sessions that share a name on a connection.
TEST_CASE_FIXTURE(StateFixture, "many sessions with free text in shapes and "
                                "values, run what they prepared") {
  constexpr unsigned Statements = 2'000;
  std::mt19937 random(7);
  auto draw = [&](std::size_t n) { return random() % n; };
  const std::string alphabet = "qRW _\t\"=\\%~\n.\xc3\xa9";
  auto text = [&] {
    std::string out;
    while (out.size() < 1 + draw(6))
      out += alphabet[draw(alphabet.size())];
    return out;
  };
  std::vector<Caller> callers;
  for (unsigned n = 0; n < 12; ++n)
    callers.push_back(open("orders"));
  for (unsigned n = 0; n < Statements; ++n) {
    auto &caller = callers[draw(callers.size())];
    auto name = "s" + std::to_string(draw(3));
    if (draw(4) == 0)
      set(caller, "v" + std::to_string(draw(2)), text());
    if (draw(3) == 0 || !caller.Shapes.contains(name))
      prepare(caller, name, (draw(2) == 0 ? "READ " : "WRITE ") + text());
    execute(caller, name, "a" + text());
    serveLines();
    CAPTURE(n);
    REQUIRE(last(caller.Id).ok());
  }
  CHECK(ran() == Expected);
}

// Guards against a statement that runs in the state of another session.
TEST_CASE_FIXTURE(StateFixture,
                  "statement behind a refused value, is not run without it") {
  auto caller = open("orders");
  set(caller, "zone", "a b");
  RefusedSetups["QUERY - SET zone a b\r\n"] = ErrorKind::Busy;
  write(caller, "a1 x");
  serveLines();
  CHECK(ran().empty());
  RefusedSetups.clear();
  pass(milliseconds(100));
  serveLines();
  CHECK(last(caller.Id).ok());
  CHECK(ran() == Expected);
}

// Guards against new connections that are opened for a caller's own mistake.
TEST_CASE_FIXTURE(
    StateFixture,
    "value that the target takes for malformed, ends the statement at once") {
  auto caller = open("orders");
  set(caller, "zone", "a b");
  RefusedSetups["QUERY - SET zone a b\r\n"] = ErrorKind::Malformed;
  write(caller, "a1 x");
  serveLines();
  REQUIRE(answers(caller.Id).size() == 2);
  CHECK(last(caller.Id).Error->Kind == ErrorKind::Malformed);
  CHECK(ran().empty());
  CHECK(Links.Connections.size() == 1);
  // Others use the same connection, without the values that it has by now.
  auto other = open("orders");
  Expected.clear();
  write(other, "a2 y");
  serveLines();
  CHECK(last(other.Id).ok());
  CHECK(ran() == Expected);
  CHECK(Links.Connections.size() == 1);
}

// Guards against "outcome unknown" for a write that was never sent.
TEST_CASE_FIXTURE(StateFixture,
                  "write, connection lost during its set-up, is sent again") {
  auto caller = open("orders");
  set(caller, "zone", "a");
  write(caller, "a1 x");
  completeHandshakes();
  auto id = *busyAt("p");
  TargetGroups.withPool(TargetName("p"), id,
                        [&](TargetPool &pool) { pool.closed(id); });
  Links.Connections.at(id).Unanswered.clear();
  CHECK(answers(caller.Id).size() == 1);
  pass(milliseconds(200));
  serveLines();
  CHECK(last(caller.Id).ok());
  CHECK(ran() == Expected);
}

// Guards against a commit of a transaction of which a statement was left out.
TEST_CASE_FIXTURE(
    StateFixture,
    "statement of a transaction, its value is refused, fails transaction") {
  auto caller = open("orders");
  line(caller.Id, "QUERY x BEGIN");
  write(caller, "a1 x");
  serveLines();
  set(caller, "zone", "a b");
  RefusedSetups["QUERY - SET zone a b\r\n"] = ErrorKind::Malformed;
  line(caller.Id, "QUERY lost WRITE a2 y");
  serveLines();
  CHECK(last(caller.Id).Error->Kind == ErrorKind::Malformed);
  CHECK(last(caller.Id).State == TransactionState::Failed);
  line(caller.Id, "QUERY end COMMIT");
  serveLines();
  CHECK(last(caller.Id).Error->Kind == ErrorKind::Aborted);
  CHECK(ran() == Expected);
}

// Guards against a transaction that is still open for its caller after COMMIT.
TEST_CASE_FIXTURE(StateFixture,
                  "commit, its value is refused, rolls back and ends") {
  for (bool isFirst : {true, false}) {
    CAPTURE(isFirst);
    auto caller = open("orders");
    line(caller.Id, "QUERY x BEGIN");
    if (!isFirst)
      write(caller, "a1 x");
    serveLines();
    set(caller, "zone", "a b");
    RefusedSetups["QUERY - SET zone a b\r\n"] = ErrorKind::Malformed;
    line(caller.Id, "QUERY end COMMIT");
    serveLines();
    CHECK(last(caller.Id).Error->Kind == ErrorKind::Aborted);
    CHECK(last(caller.Id).State == TransactionState::Idle);
  }
  CHECK(ran() == Expected);
  for (const auto &[id, it] : Targets)
    CHECK_FALSE(it.InTransaction);
}
