/// \file
/// Reads JSON documents and collects all errors, each with its location.

#ifndef PERIDOTFALL_BASE_DOCUMENT_H
#define PERIDOTFALL_BASE_DOCUMENT_H

#include "peridotfall/result.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace peridotfall {

using Json = nlohmann::json;

/// \return whether the text has more than limits::MaxJsonDepth levels. The text
/// need not be valid JSON.
bool isNestedTooDeeply(std::string_view text);

/// Parses strictly; duplicate names, trailing text and too many levels are
/// findings.
Parsed<Json> parseJson(const std::string &text);

/// Reads one object of a document. A field that is missing or has the wrong
/// type becomes a finding and reads as a default, so that one pass reports all
/// errors.
class ObjectReader {
public:
  ObjectReader(const Json &object, std::string location, Findings &findings);

  std::string text(const char *field);
  std::string textOr(const char *field, std::string fallback);
  std::uint64_t number(const char *field, std::uint64_t min, std::uint64_t max);
  std::uint64_t numberOr(const char *field, std::uint64_t min,
                         std::uint64_t max, std::uint64_t fallback);
  bool flagOr(const char *field, bool fallback);
  /// \return the array, or an empty one.
  const Json &list(const char *field);
  /// \return the array, or an empty one; the field is optional.
  const Json &listOr(const char *field);
  /// \return the object, or an empty one.
  const Json &object(const char *field);
  /// Reports fields that no call has read, so that a misspelt name is not
  /// silently ignored.
  void finish();

  std::string placeOf(const std::string &field) const;
  void report(const std::string &field, std::string expected,
              std::string found);

private:
  const Json *find(const char *field, bool required, const char *expected);

  const Json &Object;
  std::string Location;
  Findings &Report;
  std::vector<std::string> Known;
};

/// \return the value shortened for a finding.
std::string excerpt(const Json &value);

} // namespace peridotfall

#endif // PERIDOTFALL_BASE_DOCUMENT_H
