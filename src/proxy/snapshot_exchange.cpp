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
                                     const DomainName &domain,
                                     const std::vector<Member> &live) {
  Near.clear();
  Elsewhere.clear();
  for (const auto &it : live)
    if (it.Vm != self && !it.InnerAddress.empty())
      (it.Domain == domain ? Near : Elsewhere).push_back(it.InnerAddress);
}

/// \return a random daemon; in a large failure domain mostly one of the same.
const std::string &SnapshotExchange::chooseAddress() {
  auto all = Near.size() + Elsewhere.size();
  auto choices = all;
  if (Near.size() > limits::AskersElsewhere && !Elsewhere.empty()) {
    std::uniform_int_distribution<std::size_t> draw(0, Near.size() - 1);
    if (draw(Random) >= limits::AskersElsewhere)
      choices = Near.size();
  }
  std::uniform_int_distribution<std::size_t> pick(0, choices - 1);
  auto n = pick(Random);
  return n < Near.size() ? Near[n] : Elsewhere[n - Near.size()];
}

void SnapshotExchange::tick() {
  auto now = Time.now();
  if (now < NextRequest || (Near.empty() && Elsewhere.empty()))
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
  auto body = messages::encode(messages::SnapshotRequest{
      cache.kind(), cache.revision(), largeObjects(cache.objects()), true});
  const auto &address = chooseAddress();
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
