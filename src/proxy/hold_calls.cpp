#include "proxy/hold_calls.h"

#include "messages/lease.h"

#include <utility>

namespace peridotfall::proxy {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
/// A later hold is in force.
constexpr int StatusConflict = 409;

bool isOk(const http::CallResult &it) {
  return it && it.value().Status == StatusOk;
}

} // namespace

void HoldCalls::hold(const std::string &address, const WriteHold &hold,
                     std::function<void(bool)> done) {
  Links.call(address, messages::HoldWritesPath, messages::encode(hold),
             http::totalTimeout(limits::HoldCallTimeout),
             [done = std::move(done)](const http::CallResult &result) {
               if (done)
                 done(isOk(result));
             });
}

void HoldCalls::query(const std::string &address) {
  Links.call(address, messages::HeldWritesPath,
             messages::encode(HoldList{0, Targets.holds()}),
             http::totalTimeout(limits::HoldCallTimeout),
             [this](const http::CallResult &result) {
               if (!isOk(result))
                 return;
               auto kept = messages::decodeHoldList(result.value().Body);
               if (kept)
                 Targets.handleHolds(kept.value());
             });
}

bool HoldCalls::handle(const http::Request &request,
                       const http::Respond &respond) {
  if (request.Path == messages::HoldWritesPath) {
    auto hold = messages::decodeWriteHold(request.Body);
    if (!hold)
      respond({StatusBadRequest, {}, hold.error().Message});
    else if (!Targets.hold(hold.value(), [respond] {
               respond({StatusOk, {}, {}});
             }))
      respond({StatusConflict, {}, {}});
    else if (hold.value().Ends)
      respond({StatusOk, {}, {}});
    return true;
  }
  if (request.Path != messages::HeldWritesPath)
    return false;
  auto theirs = messages::decodeHoldList(request.Body);
  if (theirs)
    respond({StatusOk,
             {},
             messages::encode(Failover.handleHoldQuery(theirs.value()))});
  else
    respond({StatusBadRequest, {}, theirs.error().Message});
  return true;
}

} // namespace peridotfall::proxy
