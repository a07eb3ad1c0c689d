/// \file
/// HTTP status codes.

#ifndef PERIDOTFALL_HTTP_STATUS_H
#define PERIDOTFALL_HTTP_STATUS_H

namespace peridotfall::http {

inline constexpr int StatusOk = 200;
inline constexpr int StatusBadRequest = 400;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusConflict = 409;
inline constexpr int StatusGone = 410;
inline constexpr int StatusTooLarge = 413;
inline constexpr int StatusUnprocessable = 422;
inline constexpr int StatusHeadersTooLarge = 431;
inline constexpr int StatusBadGateway = 502;
inline constexpr int StatusUnavailable = 503;
inline constexpr int StatusTimeout = 504;

} // namespace peridotfall::http

#endif // PERIDOTFALL_HTTP_STATUS_H
