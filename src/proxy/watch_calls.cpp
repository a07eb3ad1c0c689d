#include "proxy/watch_calls.h"

#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;

} // namespace

void WatchCalls::watch(const std::string &address,
                       const messages::WatchRequest &request,
                       milliseconds limit, OnWatchAnswer done) {
  auto packed = request;
  messages::FindCachedSpec held;
  auto cache = Caches.find(request.Kind);
  if (cache != Caches.end()) {
    packed.AcceptsPacked = true;
    packed.Cached = largeObjects(cache->second->objects());
    held = findSpecIn(*cache->second);
  }
  auto handleResult = [held, address,
                       done = std::move(done)](const http::CallResult &result) {
    if (!result) {
      done({std::nullopt, result.error().Received});
      return;
    }
    const auto &response = result.value();
    auto answer = response.Status == StatusOk
                      ? messages::decodeWatchAnswer(response.Body, held)
                      : Result<messages::WatchAnswer>(
                            Error{ErrorCode::Invalid, "call refused"});
    if (!answer)
      telemetry::log(
          Event::AnswerUnreadable,
          {field("asked", address), field("why", answer.error().Message)});
    done({answer ? std::optional(answer.value()) : std::nullopt,
          response.Received});
  };
  Links.call(address, messages::WatchPath, messages::encode(packed),
             http::firstByteTimeout(limit), std::move(handleResult));
}

bool handleWatch(const WatchService &service, const http::Request &request,
                 const http::Respond &respond) {
  if (request.Path != messages::WatchPath)
    return false;
  auto message = messages::decodeWatchRequest(request.Body);
  if (!message) {
    respond({StatusBadRequest, {}, message.error().Message});
    return true;
  }
  const auto &in = message.value();
  messages::PackSpec pack;
  if (in.AcceptsPacked)
    pack = service.Packer.packerFor(in.Kind, in.Cached);
  auto answer = [respond, pack, kind = in.Kind,
                 &counts = service.Counts](const messages::WatchAnswer &it) {
    auto body = messages::encode(it, pack);
    countSnapshotBytes(counts, kind, SnapshotFlow::Sent, body.size());
    respond({StatusOk, {}, std::move(body)});
  };
  service.Host.begin(in, std::move(answer));
  return true;
}

} // namespace peridotfall::proxy
