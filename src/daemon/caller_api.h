/// \file
/// The callers' protocol: parses HTTP requests into typed requests and
/// formats answers as HTTP responses. Does no I/O.

#ifndef PERIDOTFALL_DAEMON_CALLER_API_H
#define PERIDOTFALL_DAEMON_CALLER_API_H

#include "http/message.h"
#include "peridotfall/configuration.h"
#include "peridotfall/result.h"
#include "peridotfall/session_token.h"
#include "peridotfall/statement.h"

#include <string>

namespace peridotfall {

inline constexpr auto SessionHeader = "peridotfall-session";
inline constexpr auto KeyHeader = "idempotency-key";
inline constexpr auto NotRepeatableHeader = "peridotfall-not-repeatable";
inline constexpr auto DeadlineHeader = "peridotfall-deadline-ms";

/// A caller's parsed request.
struct CallerRequest {
  StatementRequest Statement;
  SessionToken Session;

  bool operator==(const CallerRequest &) const = default;
};

/// Why a request was rejected before anything ran.
struct CallerProblem {
  int Status = 400;
  AnswerCode Code = AnswerCode::BadRequest;
  Findings Reasons;

  bool operator==(const CallerProblem &) const = default;
};

using CallerResult =
    BOOST_OUTCOME_V2_NAMESPACE::checked<CallerRequest, CallerProblem>;

/// \param config null until a configuration is in force.
CallerResult parseCallerRequest(const http::Request &request,
                                const Configuration *config,
                                const TokenKeys &keys);

/// \return the response, including the session's updated token.
http::Response makeResponse(const CallerRequest &request,
                            const StatementAnswer &answer,
                            const TokenKeys &keys);
http::Response makeResponse(const CallerProblem &problem);

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_CALLER_API_H
