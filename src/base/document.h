/// \file
/// Reading JSON documents with every finding collected, each with its place.

#ifndef PERIDOTFALL_BASE_DOCUMENT_H
#define PERIDOTFALL_BASE_DOCUMENT_H

#include "peridotfall/result.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

namespace peridotfall {

using Json = nlohmann::json;

/// Parses strictly; duplicates of a name and text after the end are findings.
Parsed<Json> parseJson(const std::string &text);

/// One object of a document. Fields that are missing or of another type
/// become findings, and reading goes on with a default, so that one pass
/// reports everything.
class ObjectReader {
public:
  ObjectReader(const Json &object, std::string place, Findings &findings);

  std::string text(const char *field);
  std::string textOr(const char *field, std::string fallback);
  std::uint64_t number(const char *field, std::uint64_t least,
                       std::uint64_t most);
  std::uint64_t numberOr(const char *field, std::uint64_t least,
                         std::uint64_t most, std::uint64_t fallback);
  bool flagOr(const char *field, bool fallback);
  /// \return the array, or an empty one.
  const Json &list(const char *field);
  /// \return the array, or an empty one also where there is no such field.
  const Json &listOr(const char *field);
  /// \return the object, or an empty one.
  const Json &object(const char *field);
  /// Reports fields that no call has read: a misspelt name must not be
  /// silently ignored.
  void finish();

  std::string placeOf(const std::string &field) const;
  void report(const std::string &field, std::string expected,
              std::string found);

private:
  const Json *find(const char *field, bool required, const char *expected);

  const Json &Object;
  std::string Place;
  Findings &Report;
  std::vector<std::string> Known;
};

/// \return the value shortened for a finding.
std::string excerpt(const Json &value);

} // namespace peridotfall

#endif // PERIDOTFALL_BASE_DOCUMENT_H
