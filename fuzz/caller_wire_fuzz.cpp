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
    // What is forwarded must be one line that says the same.
    auto out = adapter::formatStatement(*statement);
    require(out.has_value());
    const auto &sent = out.value();
    require(sent.find("\r\n") == sent.size() - 2);
    auto again = adapter::parseCallerMessage(
        std::string_view(sent).substr(0, sent.size() - 2));
    require(again.has_value() && again.value() == it.value());
  }
}
