#include "proxy/watch_calls.h"

#include <utility>

namespace peridotfall::proxy {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBad = 400;

} // namespace

void WatchCalls::watch(const std::string &address,
                       const messages::WatchRequest &request,
                       milliseconds limit, OnWatchAnswer done) {
  auto take = [done = std::move(done)](const http::CallResult &result) {
    if (!result || result.value().Status != StatusOk) {
      done(std::nullopt);
      return;
    }
    auto answer = messages::decodeWatchAnswer(result.value().Body);
    done(answer ? std::optional(answer.value()) : std::nullopt);
  };
  Links.call(address, messages::WatchPath, messages::encode(request), limit,
             std::move(take));
}

bool handleWatch(WatchHost &host, const http::Request &request,
                 const http::Respond &respond) {
  if (request.Path != messages::WatchPath)
    return false;
  auto message = messages::decodeWatchRequest(request.Body);
  if (!message) {
    respond({StatusBad, {}, message.error().Message});
    return true;
  }
  host.begin(message.value(), [respond](const messages::WatchAnswer &it) {
    respond({StatusOk, {}, messages::encode(it)});
  });
  return true;
}

} // namespace peridotfall::proxy
