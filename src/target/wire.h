/// \file
/// The JSON forms of the target's HTTP protocol, for both of its sides.

#ifndef PERIDOTFALL_TARGET_WIRE_H
#define PERIDOTFALL_TARGET_WIRE_H

#include "base/document.h"
#include "target/target.h"

namespace peridotfall::target {

inline constexpr auto ExecutePath = "/execute";
inline constexpr auto ConnectPath = "/connect";
inline constexpr auto StatusPath = "/status";
inline constexpr auto AwaitPath = "/await";
inline constexpr auto FencePath = "/fence";
inline constexpr auto PromotePath = "/promote";
inline constexpr auto FollowPath = "/follow";

/// A value as JSON: null, whole number, real, text, or {"base64": "..."}.
Json toJson(const Value &it);
/// \return nothing where the JSON stands for no value.
std::optional<Value> valueFromJson(const Json &it);
Json toJson(const Row &row);

Json toJson(const Position &it);
Position positionFromJson(const Json &it);

Json toJson(const StatementRequest &it);
std::optional<StatementRequest> requestFromJson(const Json &it);
Json toJson(const StatementAnswer &it);
std::optional<StatementAnswer> answerFromJson(const Json &it);
Json toJson(const Status &it);
std::optional<Status> statusFromJson(const Json &it);

} // namespace peridotfall::target

#endif // PERIDOTFALL_TARGET_WIRE_H
