/// \file
/// JSON encoding of the target's HTTP protocol, for client and server.

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

/// Encodes a value as null, integer, real, string, {"base64": "..."}, or
/// {"real": "inf" | "-inf" | "nan"}.
Json toJson(const Value &it);
/// \return nothing if the JSON encodes no value.
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
