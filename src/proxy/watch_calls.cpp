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
    if (!result) {
      done({std::nullopt, result.error().Received});
      return;
    }
    const auto &response = result.value();
    auto answer = response.Status == StatusOk
                      ? messages::decodeWatchAnswer(response.Body)
                      : Result<messages::WatchAnswer>(Error{});
    done({answer ? std::optional(answer.value()) : std::nullopt,
          response.Received});
  };
  Links.call(address, messages::WatchPath, messages::encode(request),
             http::beginsWithin(limit), std::move(take));
}

bool handleWatch(WatchHost &host, ProxyMetrics &counts,
                 const http::Request &request, const http::Respond &respond) {
  if (request.Path != messages::WatchPath)
    return false;
  auto message = messages::decodeWatchRequest(request.Body);
  if (!message) {
    respond({StatusBad, {}, message.error().Message});
    return true;
  }
  host.begin(message.value(), [respond, &counts, kind = message.value().Kind](
                                  const messages::WatchAnswer &it) {
    auto body = messages::encode(it);
    countCopyBytes(counts, kind, CopyFlow::Sent, body.size());
    respond({StatusOk, {}, std::move(body)});
  });
  return true;
}

} // namespace peridotfall::proxy
