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
    // What the caller gets must be the same answer.
    auto text = adapter::formatAnswer(*it.value());
    adapter::AnswerReader caller;
    std::size_t begin = 0;
    for (auto end = text.find("\r\n"); end != std::string::npos;
         end = text.find("\r\n", begin)) {
      auto again =
          caller.readLine(std::string_view(text).substr(begin, end - begin));
      require(again.has_value());
      begin = end + 2;
      require(!again.value() || *again.value() == *it.value());
      require(again.value().has_value() == (begin == text.size()));
    }
    require(begin == text.size());
  }
}
