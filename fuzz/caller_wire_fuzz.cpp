// Lines of a caller on the users' platform.

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
    // What is passed on is one line, and the one that came.
    auto out = adapter::formatStatement(*statement);
    require(out.find("\r\n") == out.size() - 2);
  }
}
