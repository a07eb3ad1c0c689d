// Fuzzes the parser of a caller's lines in the platform's protocol.

#include "fuzz.h"
#include "wire.h"

#include <sstream>

using namespace peridotfall;

void fuzz::runOne(const std::string &bytes) {
  std::istringstream in(bytes);
  for (std::string line; std::getline(in, line);) {
    auto it = adapter::parseCallerMessage(line);
    if (!it)
      continue;
    const auto *statement = std::get_if<proxy::Statement>(&it.value());
    if (!statement)
      continue;
    require(!statement->Id.empty());
    // The forwarded statement must be one line.
    auto out = adapter::formatStatement(*statement);
    require(out.find("\r\n") == out.size() - 2);
  }
}
