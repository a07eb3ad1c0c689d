#include "drawn_text.h"
#include "wire.h"

#include <doctest/doctest.h>

using namespace peridotfall;
using namespace peridotfall::adapter;
using proxy::Answer;
using proxy::ErrorKind;
using proxy::Statement;
using proxy::StatementError;
using proxy::StatementKind;
using proxy::TransactionState;
using testing::drawField;
using testing::drawLineText;

namespace {

constexpr int Draws = 5'000;

/// \return the lines of a message, as the other side splits them.
std::vector<std::string> linesOf(const std::string &bytes) {
  std::vector<std::string> out;
  std::size_t begin = 0;
  for (auto end = bytes.find("\r\n"); end != std::string::npos;
       end = bytes.find("\r\n", begin)) {
    out.push_back(bytes.substr(begin, end - begin));
    begin = end + 2;
  }
  CHECK(begin == bytes.size());
  return out;
}

std::string drawName(std::mt19937 &random) {
  auto out = drawField(random);
  std::erase_if(out, [](char c) { return c == '\r' || c == '\n'; });
  return "n" + out;
}

Statement drawStatement(std::mt19937 &random) {
  Statement it;
  do
    it.Id = drawField(random);
  while (it.Id == "-");
  switch (random() % 6) {
  case 0:
    it.Kind = StatementKind::Read;
    it.Text = "READ x" + drawLineText(random);
    break;
  case 1:
    it.Kind = StatementKind::Write;
    it.Text = "WRITE x" + drawLineText(random);
    break;
  case 2:
    it.Kind = StatementKind::Set;
    it.Name = drawField(random);
    it.Argument = drawLineText(random);
    break;
  case 3:
    it.Kind = StatementKind::Prepare;
    it.Name = drawField(random);
    it.Body = {random() % 2 == 0, drawLineText(random) + "x"};
    break;
  case 4:
    it.Kind = StatementKind::Execute;
    it.Name = drawField(random);
    it.Argument = drawLineText(random) + "x";
    break;
  default:
    it.Kind = StatementKind::Deallocate;
    it.Name = "x" + drawLineText(random);
  }
  return it;
}

Answer drawAnswer(std::mt19937 &random) {
  Answer it;
  for (auto n = random() % 4; n > 0; --n)
    it.Rows.push_back(drawLineText(random));
  if (random() % 2 == 0)
    it.Signature = drawLineText(random);
  else
    it.Error = StatementError{static_cast<ErrorKind>(random() % 12),
                              drawLineText(random)};
  it.State = static_cast<TransactionState>(random() % 3);
  if (random() % 2 == 0)
    it.At = Position{random(), random()};
  return it;
}

} // namespace

// Guards against text of a caller that becomes part of another field.
TEST_CASE("statement to a target, any text, is parsed as it was") {
  std::mt19937 random(1);
  for (int n = 0; n < Draws; ++n) {
    auto it = drawStatement(random);
    auto bytes = formatStatement(it);
    REQUIRE(bytes);
    auto lines = linesOf(bytes.value());
    REQUIRE(lines.size() == 1);
    CAPTURE(lines[0]);
    auto message = parseCallerMessage(lines[0]);
    REQUIRE(message);
    auto parsed = std::get<Statement>(message.value());
    if (it.Text.empty())
      parsed.Text.clear();
    CHECK(parsed == it);
  }
}

// Guards against a caller's text that a target gets with other bytes.
TEST_CASE("caller's read or write, any text, is forwarded unchanged") {
  std::mt19937 random(2);
  for (int n = 0; n < Draws; ++n) {
    auto line = "QUERY " + drawField(random) +
                (n % 2 == 0 ? " READ x" : " WRITE x") + drawLineText(random);
    CAPTURE(line);
    auto message = parseCallerMessage(line);
    REQUIRE(message);
    const auto &it = std::get<Statement>(message.value());
    if (it.Id != "-")
      CHECK(formatStatement(it).value() == line + "\r\n");
  }
}

TEST_CASE("answer, any text, is parsed as it was") {
  std::mt19937 random(3);
  for (int n = 0; n < Draws; ++n) {
    auto it = drawAnswer(random);
    AnswerReader reader;
    std::optional<Answer> parsed;
    for (const auto &line : linesOf(formatAnswer(it))) {
      CAPTURE(line);
      auto next = reader.readLine(line);
      REQUIRE(next);
      parsed = next.value();
    }
    REQUIRE(parsed);
    parsed->Status.reset();
    CHECK(*parsed == it);
  }
}

TEST_CASE("rejection, any text, is parsed as it was") {
  std::mt19937 random(4);
  for (int n = 0; n < Draws; ++n) {
    StatementError it{static_cast<ErrorKind>(random() % 12),
                      drawLineText(random)};
    auto lines = linesOf(formatRejection(it));
    REQUIRE(lines.size() == 1);
    CHECK(parseRejection(lines[0]) == it);
  }
}

// The fields that follow the group are one key to the parser of callers.
TEST_CASE("START to a target, any words, is parsed as it was") {
  std::mt19937 random(5);
  for (int n = 0; n < Draws; ++n) {
    auto group = drawName(random);
    auto account = drawName(random);
    auto target = drawName(random);
    auto bytes = formatStart(group, AccountName(account), TargetName(target));
    REQUIRE(bytes);
    auto lines = linesOf(bytes.value());
    REQUIRE(lines.size() == 1);
    auto it = parseCallerMessage(lines[0]);
    REQUIRE(it);
    const auto &start = std::get<StartMessage>(it.value());
    CHECK(start.Database.Value == group);
    CHECK(start.Key == digestOf(account + " " + target));
  }
}
