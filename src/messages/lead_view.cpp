#include "messages/lead_view.h"

#include <nlohmann/json.hpp>

namespace peridotfall::messages {

using nlohmann::json;

namespace {

json parse(const std::string &bytes) {
  return json::parse(bytes, nullptr, /*allow_exceptions=*/false);
}

Error malformed() { return {ErrorCode::Invalid, "lead view: malformed"}; }

} // namespace

std::string encode(const LeadQuestion &it) {
  return json{{"group", it.Group}}.dump();
}

std::string encode(const LeadView &it) {
  return json{{"known", it.Known}, {"reaches", it.Reaches}}.dump();
}

Result<LeadQuestion> decodeLeadQuestion(const std::string &bytes) {
  auto in = parse(bytes);
  bool fits = in.is_object() && in.contains("group") && in["group"].is_string();
  if (!fits)
    return malformed();
  return LeadQuestion{in["group"].get<std::string>()};
}

Result<LeadView> decodeLeadView(const std::string &bytes) {
  auto in = parse(bytes);
  bool fits = in.is_object() && in.contains("known") &&
              in["known"].is_boolean() && in.contains("reaches") &&
              in["reaches"].is_boolean();
  if (!fits)
    return malformed();
  return LeadView{in["known"].get<bool>(), in["reaches"].get<bool>()};
}

} // namespace peridotfall::messages
