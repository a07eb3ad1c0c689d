#include "base/document.h"

#include "peridotfall/limits.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace peridotfall {

namespace {

constexpr std::size_t ExcerptLength = 40; ///< Characters.

const Json EmptyList = Json::array();
const Json EmptyObject = Json::object();

/// Detects duplicate names: the library would silently keep the last one.
struct DuplicateCheck {
  std::vector<std::set<std::string>> Names;
  std::string Repeated;

  bool operator()(int, Json::parse_event_t event, Json &parsed) {
    if (event == Json::parse_event_t::object_start)
      Names.emplace_back();
    else if (event == Json::parse_event_t::object_end)
      Names.pop_back();
    else if (event == Json::parse_event_t::key &&
             !Names.back().insert(parsed.get<std::string>()).second)
      Repeated = parsed.get<std::string>();
    return true;
  }
};

std::string unsignedRange(std::uint64_t min, std::uint64_t max) {
  return fmt::format("a whole number from {} to {}", min, max);
}

} // namespace

bool isNestedTooDeeply(std::string_view text) {
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    char c = text[n];
    if (inString && c == '\\')
      ++n;
    else if (c == '"')
      inString = !inString;
    else if (!inString && (c == '[' || c == '{') &&
             ++depth > limits::MaxJsonDepth)
      return true;
    else if (!inString && (c == ']' || c == '}') && depth > 0)
      --depth;
  }
  return false;
}

Parsed<Json> parseJson(const std::string &text) {
  if (isNestedTooDeeply(text))
    return Findings{
        {"/", fmt::format("{} levels at most", limits::MaxJsonDepth), "more"}};
  DuplicateCheck check;
  Json it;
  try {
    it = Json::parse(text, std::ref(check));
  } catch (const Json::exception &e) {
    return Findings{{"/", "a JSON document", e.what()}};
  }
  if (!check.Repeated.empty())
    return Findings{{"/", "each name once", check.Repeated + " twice"}};
  return it;
}

std::string excerpt(const Json &value) {
  auto it = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return it.size() <= ExcerptLength ? it : it.substr(0, ExcerptLength) + "...";
}

ObjectReader::ObjectReader(const Json &object, std::string location,
                           Findings &findings)
    : Object(object.is_object() ? object : EmptyObject),
      Location(std::move(location)), Report(findings) {
  if (!object.is_object())
    Report.push_back(
        {Location.empty() ? "/" : Location, "an object", excerpt(object)});
}

std::string ObjectReader::placeOf(const std::string &field) const {
  return Location + "/" + field;
}

void ObjectReader::report(const std::string &field, std::string expected,
                          std::string found) {
  Report.push_back({placeOf(field), std::move(expected), std::move(found)});
}

const Json *ObjectReader::find(const char *field, bool required,
                               const char *expected) {
  Known.emplace_back(field);
  auto it = Object.find(field);
  if (it != Object.end())
    return &*it;
  if (required)
    report(field, expected, "nothing");
  return nullptr;
}

std::string ObjectReader::text(const char *field) {
  constexpr auto Expected = "a non-empty text";
  const Json *it = find(field, true, Expected);
  if (!it)
    return {};
  if (it->is_string() && !it->get_ref<const std::string &>().empty())
    return it->get<std::string>();
  report(field, Expected, excerpt(*it));
  return {};
}

std::string ObjectReader::textOr(const char *field, std::string fallback) {
  if (!Object.contains(field)) {
    Known.emplace_back(field);
    return fallback;
  }
  return text(field);
}

std::uint64_t ObjectReader::number(const char *field, std::uint64_t min,
                                   std::uint64_t max) {
  auto expected = unsignedRange(min, max);
  const Json *it = find(field, true, expected.c_str());
  if (!it)
    return min;
  if (it->is_number_unsigned()) {
    auto n = it->get<std::uint64_t>();
    if (n >= min && n <= max)
      return n;
  }
  report(field, expected, excerpt(*it));
  return min;
}

std::uint64_t ObjectReader::numberOr(const char *field, std::uint64_t min,
                                     std::uint64_t max,
                                     std::uint64_t fallback) {
  if (!Object.contains(field)) {
    Known.emplace_back(field);
    return fallback;
  }
  return number(field, min, max);
}

bool ObjectReader::flagOr(const char *field, bool fallback) {
  const Json *it = find(field, false, "");
  if (!it)
    return fallback;
  if (it->is_boolean())
    return it->get<bool>();
  report(field, "true or false", excerpt(*it));
  return fallback;
}

const Json &ObjectReader::list(const char *field) {
  constexpr auto Expected = "a list";
  const Json *it = find(field, true, Expected);
  if (it && it->is_array())
    return *it;
  if (it)
    report(field, Expected, excerpt(*it));
  return EmptyList;
}

const Json &ObjectReader::listOr(const char *field) {
  if (Object.contains(field))
    return list(field);
  Known.emplace_back(field);
  return EmptyList;
}

const Json &ObjectReader::object(const char *field) {
  constexpr auto Expected = "an object";
  const Json *it = find(field, true, Expected);
  if (it && it->is_object())
    return *it;
  if (it)
    report(field, Expected, excerpt(*it));
  return EmptyObject;
}

void ObjectReader::finish() {
  for (const auto &[field, value] : Object.items())
    if (std::find(Known.begin(), Known.end(), field) == Known.end())
      report(field, "no such field", excerpt(value));
}

} // namespace peridotfall
