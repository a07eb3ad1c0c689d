/// \file
/// The state of one target connection, which reads lines field by field.

#ifndef PERIDOTFALL_TESTS_ADAPTER_STRICT_TARGET_H
#define PERIDOTFALL_TESTS_ADAPTER_STRICT_TARGET_H

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotfall::adapter {

/// What a target ran for a caller: the statement with its prepared body in
/// place of the name, and the session's values at that moment.
struct TargetRun {
  std::string Id;
  std::string Text;
  std::map<std::string, std::string> Values;

  bool operator==(const TargetRun &) const = default;
};

struct StrictTarget {
  std::map<std::string, std::string> Values;
  std::map<std::string, std::string> Shapes; ///< "READ shape", by name.
  std::vector<TargetRun> Ran;
  bool InTransaction = false;

  /// \param line with its line end.
  /// \return an error code, or nothing if the statement succeeded.
  std::string run(std::string_view line) {
    line.remove_suffix(2);
    take(line); // QUERY
    auto id = take(line);
    auto whole = line;
    auto token = take(line);
    if (token == "RESET") {
      Values.clear();
      Shapes.clear();
    } else if (token == "SET") {
      auto name = take(line);
      Values[name] = line;
    } else if (token == "PREPARE") {
      auto name = take(line);
      auto rest = line;
      auto mode = take(rest);
      if (name.empty() || rest.empty() || (mode != "READ" && mode != "WRITE"))
        return "MALFORMED";
      Shapes[name] = line;
    } else if (token == "CLOSE") {
      Shapes.erase(std::string(line));
    } else if (token == "EXECUTE") {
      auto it = Shapes.find(take(line));
      if (it == Shapes.end())
        return "NOSTMT";
      Ran.push_back({id, it->second + " | " + std::string(line), Values});
    } else if (id != "-")
      Ran.push_back({id, std::string(whole), Values});
    if (token == "BEGIN")
      InTransaction = true;
    else if (token == "COMMIT" || token == "ROLLBACK")
      InTransaction = false;
    return {};
  }

private:
  static std::string take(std::string_view &text) {
    auto n = std::min(text.find(' '), text.size());
    std::string out(text.substr(0, n));
    text.remove_prefix(std::min(n + 1, text.size()));
    return out;
  }
};

} // namespace peridotfall::adapter

#endif // PERIDOTFALL_TESTS_ADAPTER_STRICT_TARGET_H
