#include "proxy/snapshot_exchange.h"

#include "messages/snapshot.h"
#include "proxy/shared_watch.h"
#include "telemetry/events.h"

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;

} // namespace

void SnapshotExchange::updateMembers(const VmName &self,
                                     const std::vector<Member> &live) {
  Addresses.clear();
  for (const auto &it : live)
    if (it.Vm != self && !it.InnerAddress.empty())
      Addresses.push_back(it.InnerAddress);
}

void SnapshotExchange::tick() {
  auto now = Time.now();
  if (now < NextRequest || Addresses.empty())
    return;
  NextRequest = now + limits::SnapshotRequestPause;
  for (auto *it : Caches)
    if (!it->isCurrent() && !Pending.contains(it->kind()))
      requestSnapshot(*it);
}

/// Requests a snapshot from another daemon. In an outage that affects only some
/// daemons they would otherwise keep an old configuration and old targets while
/// the others have newer ones. One random daemon at a time spreads a change
/// over any number of daemons.
void SnapshotExchange::requestSnapshot(ObjectCache &cache) {
  std::uniform_int_distribution<std::size_t> pick(0, Addresses.size() - 1);
  auto body = messages::encode(messages::SnapshotRequest{
      cache.kind(), cache.revision(), largeObjects(cache.objects()), true});
  const auto &address = Addresses[pick(Random)];
  Pending.insert(cache.kind());
  auto handleResult = [this, &cache, address,
                       began = Time.now()](const http::CallResult &result) {
    Pending.erase(cache.kind());
    CallRecord line{cache.kind(), "copy", address,
                    result ? result.value().Received : result.error().Received,
                    Time.now() - began};
    countSnapshotBytes(Counts, line.Kind, SnapshotFlow::Received,
                       line.Received.Bytes);
    logLargeAnswer(line);
    bool answered = result && result.value().Status == StatusOk;
    auto snapshot = answered ? messages::decodeSnapshotAnswer(
                                   result.value().Body, findSpecIn(cache))
                             : Result<messages::SnapshotAnswer>(Error{});
    if (!snapshot)
      telemetry::log(Event::StoreCallUnanswered,
                     {field("kind", line.Kind), field("call", line.Call),
                      field("asked", address),
                      field("bytes", line.Received.Bytes)});
    else if (cache.applySnapshot(snapshot.value().Objects,
                                 snapshot.value().Revision))
      telemetry::log(Event::CopyTaken,
                     {field("kind", cache.kind()),
                      field("revision", snapshot.value().Revision),
                      field("objects", snapshot.value().Objects.size()),
                      field("from", address)});
  };
  Links.call(address, messages::SnapshotPath, std::move(body),
             http::firstByteTimeout(limits::SnapshotTimeout), handleResult);
}

bool SnapshotExchange::handle(const http::Request &request,
                              const http::Respond &respond) {
  if (request.Path != messages::SnapshotPath)
    return false;
  auto message = messages::decodeSnapshotRequest(request.Body);
  if (!message) {
    respond({StatusBadRequest, {}, message.error().Message});
    return true;
  }
  const auto &in = message.value();
  messages::SnapshotAnswer out;
  for (const auto *it : Caches)
    if (it->kind() == in.Kind && it->revision() > in.NewerThan)
      out = {it->revision(), it->objects()};
  messages::PackSpec pack;
  if (in.AcceptsPacked)
    pack = Packer.packerFor(in.Kind, in.Cached);
  auto body = messages::encode(out, pack);
  countSnapshotBytes(Counts, in.Kind, SnapshotFlow::Sent, body.size());
  respond({StatusOk, {}, std::move(body)});
  return true;
}

} // namespace peridotfall::proxy
