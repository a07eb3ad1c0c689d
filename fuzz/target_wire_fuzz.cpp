// Fuzzes the parser of a target's lines in the platform's protocol.

#include "fuzz.h"
#include "wire.h"

#include <sstream>

using namespace peridotfall;

void fuzz::runOne(const std::string &bytes) {
  std::istringstream in(bytes);
  adapter::AnswerReader reader;
  for (std::string line; std::getline(in, line);) {
    adapter::parseRejection(line);
    auto it = reader.readLine(line);
    if (!it)
      return;
    if (!it.value())
      continue;
    auto text = adapter::formatAnswer(*it.value());
    require(text.size() >= 2 && text.substr(text.size() - 2) == "\r\n");
  }
}
