#include "wire.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::adapter;
using proxy::Answer;
using proxy::ErrorKind;
using proxy::Statement;
using proxy::StatementKind;
using proxy::TransactionState;

namespace {

Statement statementOf(const char *line) {
  auto it = parseCallerMessage(line);
  REQUIRE(it);
  REQUIRE(std::holds_alternative<Statement>(it.value()));
  return std::get<Statement>(it.value());
}

struct ReaderFixture {
  AnswerReader Reader;

  /// \return the result for the last line.
  std::optional<Answer> readLines(std::initializer_list<const char *> lines) {
    std::optional<Answer> out;
    for (const auto *it : lines) {
      auto answer = Reader.readLine(it);
      REQUIRE(answer);
      out = answer.value();
    }
    return out;
  }
};

} // namespace

TEST_CASE("caller's START, names a database") {
  auto it = parseCallerMessage("START lepu270 u3f1");
  REQUIRE(it);
  CHECK(std::get<StartMessage>(it.value()).Database.Value == "lepu270");
}

TEST_CASE("caller's START, with a key, keeps only its digest") {
  auto it = parseCallerMessage("START lepu270 urtyiik");
  REQUIRE(it);
  CHECK(std::get<StartMessage>(it.value()).Key == digestOf("urtyiik"));
  auto without = parseCallerMessage("START lepu270");
  REQUIRE(without);
  CHECK_FALSE(std::get<StartMessage>(without.value()).Key);
}

// Guards against a key in the log: errors are logged, and the line may be a
// START that is misspelt.
TEST_CASE("caller's line, not a message, is not shown in the error") {
  for (const char *it :
       {"START  urtyiik", "start lepu270 urtyiik", " START lepu270 urtyiik"}) {
    CAPTURE(it);
    auto message = parseCallerMessage(it);
    REQUIRE_FALSE(message);
    CHECK(message.error().Message.find("urtyiik") == std::string::npos);
  }
}

TEST_CASE("caller's statements, each kind, are parsed") {
  CHECK(statementOf("QUERY a BEGIN").Kind == StatementKind::Begin);
  CHECK(statementOf("QUERY a BEGIN READ").Kind == StatementKind::BeginRead);
  CHECK(statementOf("QUERY a COMMIT").Kind == StatementKind::Commit);
  CHECK(statementOf("QUERY a ROLLBACK").Kind == StatementKind::Rollback);
  CHECK(statementOf("QUERY a READ 1a4").Kind == StatementKind::Read);
  CHECK(statementOf("QUERY a WRITE 1a4 x y").Kind == StatementKind::Write);
  CHECK(statementOf("QUERY a WRITE 1a4 x y").Text == "WRITE 1a4 x y");
  CHECK(statementOf("QUERY a CLOSE s1").Kind == StatementKind::Deallocate);
  auto set = statementOf("QUERY a SET zone press one");
  CHECK(set.Kind == StatementKind::Set);
  CHECK(set.Name == "zone");
  CHECK(set.Argument == "press one");
  auto prepare = statementOf("QUERY a PREPARE s1 WRITE q2c");
  CHECK(prepare.Kind == StatementKind::Prepare);
  CHECK(prepare.Name == "s1");
  CHECK(prepare.Body == proxy::PreparedStatement{true, "q2c"});
  auto execute = statementOf("QUERY a EXECUTE s1 1a4 data");
  CHECK(execute.Kind == StatementKind::Execute);
  CHECK(execute.Argument == "1a4 data");
}

TEST_CASE("caller's statement, invalid, is Unknown and keeps its id") {
  for (const char *it :
       {"QUERY a DROP x", "QUERY a BEGIN NOW", "QUERY a PREPARE s1 MAYBE q",
        "QUERY a PREPARE s1", "QUERY a READ", "QUERY a "}) {
    CAPTURE(it);
    CHECK(statementOf(it).Kind == StatementKind::Unknown);
    CHECK(statementOf(it).Id == "a");
  }
}

TEST_CASE("caller's line, not a message, is an error") {
  for (const char *it : {"", "GET / HTTP/1.1", "QUERY", "START", "START  x"}) {
    CAPTURE(it);
    CHECK_FALSE(parseCallerMessage(it));
  }
}

// Guards against a caller's statement that targets take for the proxy's own.
TEST_CASE("caller's statement, with the proxy's id, is Unknown") {
  for (const char *it : {"QUERY - WRITE 1a4 x", "QUERY - READ 1a4",
                         "QUERY - COMMIT", "QUERY - EXECUTE s1 1a4"}) {
    CAPTURE(it);
    CHECK(statementOf(it).Kind == StatementKind::Unknown);
    CHECK(statementOf(it).Id == "-");
  }
}

// Guards against text that the caller did not send: the blank in front of an
// item.
TEST_CASE("caller's EXECUTE, without an item, is Unknown") {
  for (const char *it : {"QUERY a EXECUTE s1", "QUERY a EXECUTE s1 "}) {
    CAPTURE(it);
    CHECK(statementOf(it).Kind == StatementKind::Unknown);
  }
}

// Guards against a session with a value that its caller did not name.
TEST_CASE("caller's SET, without a value, is Unknown unless it is empty") {
  CHECK(statementOf("QUERY a SET zone").Kind == StatementKind::Unknown);
  CHECK(statementOf("QUERY a SET ").Kind == StatementKind::Unknown);
  auto it = statementOf("QUERY a SET zone ");
  CHECK(it.Kind == StatementKind::Set);
  CHECK(it.Name == "zone");
  CHECK(it.Argument.empty());
}

// Guards against closing another statement than the caller named.
TEST_CASE("caller's CLOSE, a name with blanks, is not its first word") {
  auto it = statementOf("QUERY a CLOSE s1 s2");
  CHECK(it.Kind == StatementKind::Deallocate);
  CHECK(it.Name == "s1 s2");
  CHECK(statementOf("QUERY a CLOSE ").Kind == StatementKind::Unknown);
}

// Guards against access with a key that no account has.
TEST_CASE("caller's START, a key with blanks, is not its first word") {
  auto it = parseCallerMessage("START lepu270 u3f1 x");
  REQUIRE(it);
  CHECK(std::get<StartMessage>(it.value()).Key == digestOf("u3f1 x"));
}

TEST_CASE("statement to a target, own or caller's, is formatted") {
  Statement begin;
  begin.Kind = StatementKind::BeginRead;
  begin.NotBefore = Position{3, 1207};
  CHECK(formatStatement(begin).value() ==
        "QUERY - AFTER 3.1207 BEGIN READ\r\n");
  auto read = statementOf("QUERY 5c0e READ 1a4");
  CHECK(formatStatement(read).value() == "QUERY 5c0e READ 1a4\r\n");
  read.NotBefore = Position{3, 9};
  CHECK(formatStatement(read).value() == "QUERY 5c0e AFTER 3.9 READ 1a4\r\n");
  // No position is known yet, so AFTER is left out.
  read.NotBefore = Position{};
  CHECK(formatStatement(read).value() == "QUERY 5c0e READ 1a4\r\n");
  CHECK(formatStart("huvo11a", AccountName(), TargetName("i-7f")).value() ==
        "START huvo11a peridotfall i-7f\r\n");
  CHECK(formatStart("huvo11a", AccountName("miny420"), TargetName("i-7f"))
            .value() == "START huvo11a miny420 i-7f\r\n");
}

TEST_CASE("answer to a caller, rows or an error, ends with the state") {
  Answer answer;
  answer.Rows = {"one"};
  answer.Signature = "7.1f3";
  answer.State = TransactionState::Open;
  answer.At = Position{3, 1209};
  CHECK(formatAnswer(answer) ==
        "ROW one\r\nCOMPLETE 7.1f3\r\nREADY T 3.1209\r\n");
  Answer error;
  error.Error = proxy::StatementError{ErrorKind::Busy, "retry-after-ms=5"};
  CHECK(formatAnswer(error) == "ERROR BUSY retry-after-ms=5\r\nREADY I -\r\n");
}

// Guards against text of an error that reads as a message of its own.
TEST_CASE("error to a caller, text with line ends, is one line") {
  proxy::StatementError error{ErrorKind::Busy,
                              "a\r\r\n\nb\r\nREADY I -\r\nROW x"};
  CHECK(formatRejection(error).find("\r\n") ==
        formatRejection(error).size() - 2);
  Answer answer;
  for (auto kind : {ErrorKind::Busy, ErrorKind::Other}) {
    answer.Error = {kind, error.Detail};
    CHECK(formatAnswer(answer).find("\r\nREADY I -\r\n") ==
          formatAnswer(answer).size() - 13);
  }
}

// Guards against names that read as other fields, or as a message of their own.
TEST_CASE("START to a target, a name that is no word, is refused") {
  for (const char *it : {"", " ", "a b", "a ", "a\r\nQUERY - STATUS", "a\n"}) {
    CAPTURE(it);
    CHECK_FALSE(formatStart(it, AccountName("t"), TargetName("i-7")));
    CHECK_FALSE(formatStart("g", AccountName("t"), TargetName(it)));
    if (*it != '\0')
      CHECK_FALSE(formatStart("g", AccountName(it), TargetName("i-7")));
  }
}

// Guards against text of another daemon that a target reads as other fields.
TEST_CASE("statement to a target, text that no line carries, is refused") {
  for (const char *name : {"", "r_q7 READ va", "a\r\nQUERY - COMMIT"}) {
    for (auto kind :
         {StatementKind::Set, StatementKind::Prepare, StatementKind::Execute}) {
      CAPTURE(name);
      Statement it;
      it.Kind = kind;
      it.Name = name;
      it.Argument = "x";
      it.Body.Shape = "q7";
      CHECK_FALSE(formatStatement(it));
    }
  }
  Statement read;
  read.Kind = StatementKind::Read;
  read.Text = "READ 1a4\r\nQUERY - COMMIT";
  CHECK_FALSE(formatStatement(read));
  read.Text = "READ 1a4";
  read.Id = "a COMMIT";
  CHECK_FALSE(formatStatement(read));
  Statement execute;
  execute.Kind = StatementKind::Execute;
  execute.Name = "r_q7";
  CHECK_FALSE(formatStatement(execute));
}

TEST_CASE_FIXTURE(ReaderFixture, "target's answer, rows, is assembled") {
  auto it = readLines({"ROW qhz", "ROW k", "COMPLETE 7.1f3", "READY I 3.1209"});
  REQUIRE(it);
  CHECK(it->Rows == std::vector<std::string>{"qhz", "k"});
  CHECK(it->Signature == "7.1f3");
  CHECK(it->At == Position{3, 1209});
  CHECK(it->State == TransactionState::Idle);
}

TEST_CASE_FIXTURE(ReaderFixture,
                  "target's errors, known and unknown, are parsed") {
  auto it = readLines({"ERROR READONLY i-7f3a91c2", "READY E 3.1209"});
  REQUIRE(it);
  CHECK(it->Error->Kind == ErrorKind::ReadOnly);
  CHECK(it->State == TransactionState::Failed);
  it = readLines({"ERROR ODD some text", "READY I -"});
  CHECK(it->Error->Kind == ErrorKind::Other);
  CHECK(it->Error->Detail == "ODD some text");
  CHECK_FALSE(it->At);
}

TEST_CASE_FIXTURE(ReaderFixture, "target's status, is parsed from its row") {
  auto it = readLines(
      {"ROW replica 3 3.1209 0 12 2 17", "COMPLETE -", "READY I 3.1204"});
  REQUIRE(it->Status);
  CHECK_FALSE(it->Status->IsPrimary);
  CHECK(it->Status->Received == Position{3, 1209});
}

// Guards against a row of the next answer being added to this one.
TEST_CASE_FIXTURE(ReaderFixture, "row after the result, is rejected") {
  readLines({"COMPLETE x"});
  CHECK_FALSE(Reader.readLine("ROW y"));
}

TEST_CASE_FIXTURE(ReaderFixture, "unknown state or token, is rejected") {
  CHECK_FALSE(Reader.readLine("READY X -"));
  CHECK_FALSE(Reader.readLine("HELLO"));
}
