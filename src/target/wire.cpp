#include "target/wire.h"

#include "base/encoding.h"

#include <cmath>
#include <limits>
#include <type_traits>

namespace peridotfall::target {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

std::int64_t micros(Duration it) {
  return duration_cast<microseconds>(it).count();
}

std::optional<Row> rowFromJson(const Json &json) {
  if (!json.is_array())
    return std::nullopt;
  Row row;
  for (const auto &it : json) {
    auto value = valueFromJson(it);
    if (!value)
      return std::nullopt;
    row.push_back(std::move(*value));
  }
  return row;
}

/// Runs \p read on a document from the peer. The JSON library throws if a field
/// is missing or has another type.
template <class Read>
auto readObject(const Json &json, Read read)
    -> std::optional<decltype(read())> {
  if (!json.is_object())
    return std::nullopt;
  try {
    return read();
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

template <class E> E enumFrom(const Json &json, const char *field, E last) {
  auto n = json.at(field).get<unsigned>();
  return n <= static_cast<unsigned>(last) ? static_cast<E>(n) : last;
}

} // namespace

Json toJson(const Value &value) {
  return std::visit(
      [](const auto &it) -> Json {
        using T = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<T, Null>)
          return nullptr;
        else if constexpr (std::is_same_v<T, Blob>)
          return {{"base64", encodeBase64Url(it.Bytes)}};
        else if constexpr (std::is_same_v<T, double>) {
          // JSON has no infinities or NaN; they are sent as strings.
          if (!std::isfinite(it))
            return {{"real", std::isnan(it) ? "nan" : it > 0 ? "inf" : "-inf"}};
          return it;
        } else
          return it;
      },
      value);
}

std::optional<Value> valueFromJson(const Json &it) {
  if (it.is_null())
    return Null{};
  if (it.is_number_unsigned() &&
      it.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
    return std::nullopt;
  if (it.is_number_integer())
    return it.get<std::int64_t>();
  if (it.is_number_float())
    return it.get<double>();
  if (it.is_string())
    return it.get<std::string>();
  if (it.is_boolean())
    return std::int64_t{it.get<bool>()};
  if (it.is_object() && it.size() == 1 && it.contains("base64") &&
      it["base64"].is_string()) {
    auto bytes = decodeBase64Url(it["base64"].get<std::string>());
    if (bytes)
      return Blob{std::move(*bytes)};
  }
  if (it.is_object() && it.size() == 1 && it.contains("real")) {
    if (it["real"] == "inf")
      return std::numeric_limits<double>::infinity();
    if (it["real"] == "-inf")
      return -std::numeric_limits<double>::infinity();
    if (it["real"] == "nan")
      return std::numeric_limits<double>::quiet_NaN();
  }
  return std::nullopt;
}

Json toJson(const Row &row) {
  Json out = Json::array();
  for (const auto &it : row)
    out.push_back(toJson(it));
  return out;
}

Json toJson(const Position &it) { return Json::array({it.InTerm, it.Index}); }

Position positionFromJson(const Json &it) {
  return {it.at(0).get<std::uint64_t>(), it.at(1).get<std::uint64_t>()};
}

Json toJson(const StatementRequest &it) {
  return {{"id", it.Id.Value},
          {"verb", static_cast<unsigned>(it.What)},
          {"access", static_cast<unsigned>(it.Mode)},
          {"term", it.InTerm},
          {"notBefore", toJson(it.NotBefore)},
          {"maxAgeUs", micros(it.MaxAge)},
          {"sql", it.Sql},
          {"params", toJson(it.Params)},
          {"key", it.Key},
          {"budgetUs", micros(it.Budget)},
          {"traceparent", it.Traceparent}};
}

std::optional<StatementRequest> requestFromJson(const Json &json) {
  auto read = [&] {
    StatementRequest it;
    it.Id = {json.at("id").get<std::uint64_t>()};
    it.What = enumFrom(json, "verb", Verb::Rollback);
    it.Mode = enumFrom(json, "access", Access::StaleRead);
    it.InTerm = json.at("term").get<std::uint64_t>();
    it.NotBefore = positionFromJson(json.at("notBefore"));
    it.MaxAge = microseconds(json.at("maxAgeUs").get<std::int64_t>());
    it.Sql = json.at("sql").get<std::string>();
    it.Key = json.at("key").get<std::string>();
    it.Budget = microseconds(json.at("budgetUs").get<std::int64_t>());
    it.Traceparent = json.value("traceparent", "");
    return it;
  };
  auto out = readObject(json, read);
  auto params =
      out ? rowFromJson(json.value("params", Json::array())) : std::nullopt;
  if (!params)
    return std::nullopt;
  out->Params = std::move(*params);
  return out;
}

Json toJson(const StatementAnswer &it) {
  Json rows = Json::array();
  for (const auto &row : it.Rows)
    rows.push_back(toJson(row));
  return {{"id", it.Id.Value},
          {"outcome", static_cast<unsigned>(it.Effect)},
          {"code", static_cast<unsigned>(it.Code)},
          {"detail", it.Detail},
          {"columns", it.Columns},
          {"rows", rows},
          {"changes", it.Changes},
          {"at", toJson(it.At)},
          {"ageUs", micros(it.Age)},
          {"replayed", it.Replayed}};
}

std::optional<StatementAnswer> answerFromJson(const Json &json) {
  auto read = [&] {
    StatementAnswer it;
    it.Id = {json.at("id").get<std::uint64_t>()};
    it.Effect = enumFrom(json, "outcome", Outcome::Unknown);
    it.Code = enumFrom(json, "code", AnswerCode::Busy);
    it.Detail = json.at("detail").get<std::string>();
    it.Columns = json.at("columns").get<std::vector<std::string>>();
    it.Changes = json.at("changes").get<std::int64_t>();
    it.At = positionFromJson(json.at("at"));
    it.Age = microseconds(json.at("ageUs").get<std::int64_t>());
    it.Replayed = json.at("replayed").get<bool>();
    return it;
  };
  auto out = readObject(json, read);
  if (!out || !json.contains("rows"))
    return std::nullopt;
  for (const auto &it : json["rows"]) {
    auto row = rowFromJson(it);
    if (!row)
      return std::nullopt;
    out->Rows.push_back(std::move(*row));
  }
  return out;
}

Json toJson(const Status &it) {
  return {{"term", it.CurrentTerm},    {"primary", it.IsPrimary},
          {"last", toJson(it.Last)},   {"applied", toJson(it.Applied)},
          {"following", it.Following}, {"leaving", it.Leaving},
          {"ageUs", micros(it.Age)}};
}

std::optional<Status> statusFromJson(const Json &json) {
  return readObject(json, [&] {
    Status it;
    it.CurrentTerm = json.at("term").get<std::uint64_t>();
    it.IsPrimary = json.at("primary").get<bool>();
    it.Last = positionFromJson(json.at("last"));
    it.Applied = positionFromJson(json.at("applied"));
    it.Following = json.at("following").get<std::string>();
    it.Leaving = json.at("leaving").get<bool>();
    it.Age = microseconds(json.at("ageUs").get<std::int64_t>());
    return it;
  });
}

} // namespace peridotfall::target
