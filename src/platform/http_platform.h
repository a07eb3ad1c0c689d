/// \file
/// Client of the platform's HTTP/2 and JSON API.
///
///     GET  /objects/KEY                    200 {version, value} | 404
///     PUT  /objects/KEY?expected=N         200 {version} | 409
///     GET  /watch/KEY?after=N&wait_ms=M    200 {version, value} | 404
///     GET  /vms                            200 [{vm, domain, ...}]

#ifndef PERIDOTFALL_PLATFORM_HTTP_PLATFORM_H
#define PERIDOTFALL_PLATFORM_HTTP_PLATFORM_H

#include "http/channel.h"
#include "platform/platform.h"

#include <memory>
#include <string>

namespace peridotfall::platform {

struct HttpOptions {
  std::string Address;
  http::TlsContext Tls = nullptr;
  std::chrono::milliseconds CallLimit{2'000};
};

/// The returned functions share one connection and keep it alive.
Api makeHttpPlatform(asio::io_context &loop, const HttpOptions &options);

} // namespace peridotfall::platform

#endif // PERIDOTFALL_PLATFORM_HTTP_PLATFORM_H
