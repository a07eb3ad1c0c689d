#include "proxy/copies.h"

#include "messages/copy.h"
#include "proxy/shared_watch.h"
#include "telemetry/events.h"

namespace peridotfall::proxy {

using telemetry::Event;
using telemetry::field;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBad = 400;

} // namespace

void Copies::takeMembers(const VmName &self, const std::vector<Member> &live) {
  Addresses.clear();
  for (const auto &it : live)
    if (it.Vm != self && !it.InnerAddress.empty())
      Addresses.push_back(it.InnerAddress);
}

void Copies::tick() {
  auto now = Time.now();
  if (now < NextAsk || Addresses.empty())
    return;
  NextAsk = now + limits::CopyPause;
  for (auto *it : Mirrors)
    if (!it->isCurrent() && !Pending.contains(it->kind()))
      ask(*it);
}

/// Load: an outage that turns a part of the daemons away. Harm: they go on by
/// an old configuration and old targets while the others know better. One
/// random daemon is asked at a time, which spreads news over any number.
void Copies::ask(Mirror &mirror) {
  std::uniform_int_distribution<std::size_t> pick(0, Addresses.size() - 1);
  auto body = messages::encode(messages::CopyRequest{
      mirror.kind(), mirror.revision(), largeObjects(mirror.objects()), true});
  const auto &address = Addresses[pick(Random)];
  Pending.insert(mirror.kind());
  auto take = [this, &mirror, address,
               began = Time.now()](const http::CallResult &result) {
    Pending.erase(mirror.kind());
    CallLine line{mirror.kind(), "copy", address,
                  result ? result.value().Received : result.error().Received,
                  Time.now() - began};
    countCopyBytes(Counts, line.Kind, CopyFlow::Received, line.Received.Bytes);
    logLarge(line);
    bool answered = result && result.value().Status == StatusOk;
    auto copy = answered ? messages::decodeCopyAnswer(result.value().Body,
                                                      findIn(mirror))
                         : Result<messages::CopyAnswer>(Error{});
    if (!copy)
      telemetry::log(Event::StoreCallUnanswered,
                     {field("kind", line.Kind), field("call", line.Call),
                      field("asked", address),
                      field("bytes", line.Received.Bytes)});
    else if (mirror.takeCopy(copy.value().Objects, copy.value().Revision))
      telemetry::log(Event::CopyTaken,
                     {field("kind", mirror.kind()),
                      field("revision", copy.value().Revision),
                      field("objects", copy.value().Objects.size()),
                      field("from", address)});
  };
  Links.call(address, messages::CopyPath, std::move(body),
             http::beginsWithin(limits::CopyLimit), take);
}

bool Copies::handle(const http::Request &request,
                    const http::Respond &respond) {
  if (request.Path != messages::CopyPath)
    return false;
  auto message = messages::decodeCopyRequest(request.Body);
  if (!message) {
    respond({StatusBad, {}, message.error().Message});
    return true;
  }
  const auto &in = message.value();
  messages::CopyAnswer out;
  for (const auto *it : Mirrors)
    if (it->kind() == in.Kind && it->revision() > in.NewerThan)
      out = {it->revision(), it->objects()};
  messages::PackSpec pack;
  if (in.TakesPacked)
    pack = Packer.packerFor(in.Kind, in.Held);
  auto body = messages::encode(out, pack);
  countCopyBytes(Counts, in.Kind, CopyFlow::Sent, body.size());
  respond({StatusOk, {}, std::move(body)});
  return true;
}

} // namespace peridotfall::proxy
