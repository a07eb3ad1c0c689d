/// \file
/// Client of a target that serves HTTP/2 and JSON. Each statement connection is
/// a separate TCP connection; the control calls share another one.

#ifndef PERIDOTFALL_TARGET_HTTP_TARGET_H
#define PERIDOTFALL_TARGET_HTTP_TARGET_H

#include "http/channel.h"
#include "target/target.h"

#include <asio/io_context.hpp>
#include <string>

namespace peridotfall::target {

Api makeHttpTarget(asio::io_context &loop, const std::string &address);

} // namespace peridotfall::target

#endif // PERIDOTFALL_TARGET_HTTP_TARGET_H
