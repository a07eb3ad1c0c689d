#include "proxy/watch_calls.h"

#include "telemetry/events.h"

#include <utility>

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBad = 400;

} // namespace

void WatchCalls::watch(const std::string &address,
                       const messages::WatchRequest &request,
                       milliseconds limit, OnWatchAnswer done) {
  auto packed = request;
  messages::FindHeld held;
  auto cache = Caches.find(request.Kind);
  if (cache != Caches.end()) {
    packed.TakesPacked = true;
    packed.Held = largeObjects(cache->second->objects());
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
             http::beginsWithin(limit), std::move(handleResult));
}

bool handleWatch(const WatchService &service, const http::Request &request,
                 const http::Respond &respond) {
  if (request.Path != messages::WatchPath)
    return false;
  auto message = messages::decodeWatchRequest(request.Body);
  if (!message) {
    respond({StatusBad, {}, message.error().Message});
    return true;
  }
  const auto &in = message.value();
  messages::PackSpec pack;
  if (in.TakesPacked)
    pack = service.Packer.packerFor(in.Kind, in.Held);
  auto answer = [respond, pack, kind = in.Kind,
                 &counts = service.Counts](const messages::WatchAnswer &it) {
    auto body = messages::encode(it, pack);
    countCopyBytes(counts, kind, CopyFlow::Sent, body.size());
    respond({StatusOk, {}, std::move(body)});
  };
  service.Host.begin(in, std::move(answer));
  return true;
}

} // namespace peridotfall::proxy
