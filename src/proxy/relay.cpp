#include "proxy/relay.h"

#include "messages/lease.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace peridotfall::proxy {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;

milliseconds toMillis(Duration it) {
  return std::chrono::ceil<milliseconds>(it);
}

BatchResult refusal(const char *why, bool unreachable) {
  BatchResult out;
  out.Error = {ErrorKind::Busy, why};
  out.TargetUnreachable = unreachable;
  return out;
}

} // namespace

std::shared_ptr<http::Channel> Channels::to(const std::string &address) {
  auto &it = Open[address];
  if (!it.Channel) {
    it.Channel =
        std::make_shared<http::Channel>(Loop, address, http::ChannelOptions{});
    report(ChannelEvent::Opened);
  }
  it.Used = true;
  return it.Channel;
}

void Channels::report(ChannelEvent event) const {
  if (OnEvent)
    OnEvent(event);
}

void Channels::drop(const std::string &address) {
  close(address, ChannelEvent::Dropped);
}

void Channels::close(const std::string &address, ChannelEvent why) {
  auto it = Open.find(address);
  if (it == Open.end())
    return;
  auto channel = it->second.Channel;
  Open.erase(it);
  channel->close();
  report(why);
}

void Channels::closeIdle(
    TimePoint now, const std::function<bool(const std::string &)> &isHeld) {
  std::vector<std::string> idle;
  for (auto &[address, it] : Open) {
    bool used = std::exchange(it.Used, false) || it.Channel->hasCalls();
    if (used || isHeld(address))
      it.LastUse = now;
    else if (now - it.LastUse >= limits::ChannelIdleTimeout)
      idle.push_back(address);
  }
  for (const auto &it : idle)
    close(it, ChannelEvent::ClosedIdle);
}

void Channels::call(const std::string &address, const char *path,
                    std::string body, const http::AnswerLimits &limits,
                    http::OnResult done) {
  if (address.empty()) {
    asio::post(Loop, [done = std::move(done)] {
      done(http::TransportError{http::Failure::NotSent, "no address known"});
    });
    return;
  }
  http::Request request;
  request.Method = "POST";
  request.Path = path;
  request.Body = std::move(body);
  to(address)->call(std::move(request), limits, std::move(done));
}

bool RelayClient::hasLeaseAt(const std::string &address) const {
  return std::any_of(Leases.begin(), Leases.end(), [&](const auto &it) {
    return it.second.Address == address;
  });
}

void RelayClient::begin(const VmName &holder, LeaseId lease,
                        const LeaseRequest &request, Batch first,
                        OnBatch done) {
  Leases[lease] = {AddressOf(holder), {}, false};
  auto limit = std::min(request.Wait + first.Timeout, request.Total);
  auto body = messages::encode(messages::BeginLease{request, std::move(first)});
  send(lease, messages::BeginLeasePath, std::move(body), toMillis(limit), done);
}

void RelayClient::run(LeaseId lease, Batch next, OnBatch done) {
  auto there = Leases.at(lease).RemoteId;
  auto limit = next.Timeout;
  auto body = messages::encode(messages::RunLease{there, std::move(next)});
  send(lease, messages::RunLeasePath, std::move(body), toMillis(limit), done);
}

void RelayClient::send(LeaseId lease, const char *path, std::string body,
                       milliseconds limit, const OnBatch &done) {
  Links.call(Leases.at(lease).Address, path, std::move(body),
             limit + limits::RelaySlack,
             [this, lease, done](const http::CallResult &result) {
               handleAnswer(lease, result, done);
             });
}

void RelayClient::handleAnswer(LeaseId lease, const http::CallResult &result,
                               const OnBatch &done) {
  auto it = Leases.find(lease);
  if (it == Leases.end())
    return;
  auto held = it->second;
  BatchResult out;
  bool answered = result && result.value().Status == StatusOk;
  auto answer = answered ? messages::decodeLeaseAnswer(result.value().Body)
                         : Result<messages::LeaseAnswer>(Error{});
  if (answer) {
    out = std::move(answer.value().Result);
    it->second.RemoteId = answer.value().Lease;
  } else {
    bool notSent = !result && result.error().Kind == http::Failure::NotSent;
    out = refusal("the holder of the connections does not answer", true);
    out.End = notSent ? BatchEnd::NotRun : BatchEnd::Lost;
    // Other pending calls on the connection have their own timeouts.
    if (!result && !notSent)
      Links.drop(held.Address);
  }
  if (!out.LeaseKept || held.Abandoned)
    Leases.erase(it);
  if (held.Abandoned && out.LeaseKept)
    sendAbandon(held.Address, answer.value().Lease);
  if (done && !held.Abandoned)
    done(std::move(out));
}

void RelayClient::sendAbandon(const std::string &address,
                              const RemoteLeaseId &there) {
  // If this call is lost, the holder rolls back when the connection closes.
  Links.call(address, messages::AbandonLeasePath,
             messages::encode(messages::AbandonLease{there}),
             limits::RollbackTimeout, [](const http::CallResult &) {});
}

void RelayClient::abandon(LeaseId lease) {
  auto it = Leases.find(lease);
  if (it == Leases.end())
    return;
  if (!it->second.RemoteId.valid()) {
    it->second.Abandoned = true;
    return;
  }
  auto held = it->second;
  Leases.erase(it);
  sendAbandon(held.Address, held.RemoteId);
}

bool RelayServer::handle(const http::Request &request,
                         const http::Respond &respond) {
  if (request.Path == messages::BeginLeasePath)
    begin(request, respond);
  else if (request.Path == messages::RunLeasePath)
    run(request, respond);
  else if (request.Path == messages::AbandonLeasePath)
    abandon(request, respond);
  else
    return false;
  return true;
}

OnBatch RelayServer::makeResponder(ConnectionHandle connection,
                                   std::shared_ptr<LeaseId> lease,
                                   const http::Respond &respond) {
  return [this, connection, lease = std::move(lease),
          respond](BatchResult result) {
    auto held = Leases.find(connection);
    if (!result.LeaseKept && held != Leases.end())
      held->second.erase(*lease);
    messages::LeaseAnswer answer{std::move(result), {Self, *lease}};
    respond({StatusOk, {}, messages::encode(answer)});
  };
}

void RelayServer::begin(const http::Request &request,
                        const http::Respond &respond) {
  auto message = messages::decodeBeginLease(request.Body);
  if (!message) {
    respond({StatusBadRequest, {}, message.error().Message});
    return;
  }
  auto lease = std::make_shared<LeaseId>();
  auto &it = message.value();
  if (!it.NamesAccount) {
    respond({StatusOk,
             {},
             messages::encode(messages::LeaseAnswer{
                 refusal("no account named", false), {}})});
    return;
  }
  *lease = Targets.beginHere(it.Request, std::move(it.First),
                             makeResponder(request.Connection, lease, respond));
  if (lease->valid())
    Leases[request.Connection].insert(*lease);
  else
    respond({StatusOk,
             {},
             messages::encode(messages::LeaseAnswer{
                 refusal("target not known here", true), {}})});
}

void RelayServer::run(const http::Request &request,
                      const http::Respond &respond) {
  auto message = messages::decodeRunLease(request.Body);
  if (!message) {
    respond({StatusBadRequest, {}, message.error().Message});
    return;
  }
  auto id = message.value().Lease.Lease;
  // Only the daemon that began the lease may continue it, and only between its
  // batches.
  if (!isGivenTo(request.Connection, message.value().Lease) ||
      !Targets.isHeldHere(id)) {
    respond({StatusOk,
             {},
             messages::encode(
                 messages::LeaseAnswer{refusal("no such lease", false), {}})});
    return;
  }
  Targets.run(id, std::move(message.value().Next),
              makeResponder(request.Connection, std::make_shared<LeaseId>(id),
                            respond));
}

void RelayServer::abandon(const http::Request &request,
                          const http::Respond &respond) {
  auto message = messages::decodeAbandonLease(request.Body);
  if (message && isGivenTo(request.Connection, message.value().Lease)) {
    auto id = message.value().Lease.Lease;
    Leases.at(request.Connection).erase(id);
    Targets.abandon(id);
  }
  respond({StatusOk, {}, {}});
}

bool RelayServer::isGivenTo(ConnectionHandle connection,
                            const RemoteLeaseId &lease) const {
  auto it = Leases.find(connection);
  return lease.Holder == Self && it != Leases.end() &&
         it->second.contains(lease.Lease);
}

bool RelayServer::hasLeases() const {
  return std::any_of(Leases.begin(), Leases.end(),
                     [](const auto &it) { return !it.second.empty(); });
}

void RelayServer::closed(ConnectionHandle connection) {
  auto it = Leases.find(connection);
  if (it == Leases.end())
    return;
  auto leases = std::move(it->second);
  Leases.erase(it);
  for (auto lease : leases)
    Targets.abandon(lease);
}

} // namespace peridotfall::proxy
