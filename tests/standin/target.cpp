#include "standin/target.h"

#include "http/status.h"
#include "standin/platform.h"
#include "target/wire.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace peridotfall::standin {

Target::Target(http::Loops &loops, TargetOptions options)
    : Pool(loops), Options(std::move(options)), IsPrimary(Options.Primary),
      CaughtUpAt(std::chrono::steady_clock::now()) {
  if (IsPrimary)
    append({{CurrentTerm, 1}, {}});
}

std::error_code Target::start() {
  http::ServerOptions options;
  options.Address = Options.Address;
  options.MaxStreams = limits::MaxInnerStreams;
  options.OnClosed = [weak = weak_from_this()](ConnectionHandle it) {
    if (auto self = weak.lock())
      self->handleClosed(it);
  };
  Server = std::make_shared<http::Server>(
      Pool, options,
      [weak = weak_from_this()](const http::Request &request,
                                const http::Respond &respond) {
        if (auto self = weak.lock())
          self->handle(request, respond);
      });
  auto ec = Server->start();
  if (!ec && !Options.Follow.empty())
    asio::post(Pool.at(0), [self = shared_from_this()] {
      self->follow(self->CurrentTerm, self->Options.Follow);
    });
  return ec;
}

void Target::stop() {
  asio::post(Pool.at(0), [self = shared_from_this()] {
    ++self->Generation;
    if (self->Upstream)
      self->Upstream->close();
  });
  Server->stop();
}

void Target::runAfter(std::chrono::microseconds delay,
                      std::function<void()> action) {
  if (delay.count() == 0) {
    action();
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(Pool.at(0), delay);
  timer->async_wait([timer, action = std::move(action)](std::error_code ec) {
    if (!ec)
      action();
  });
}

void Target::handle(const http::Request &request,
                    const http::Respond &respond) {
  auto body = parseJson(request.Body);
  if (!body || !body.value().is_object()) {
    respond({http::StatusBadRequest, {}, ""});
    return;
  }
  if (request.Path == "/control") {
    respond(control(body.value()));
    return;
  }
  if (IsCut)
    return; // No answer, as over a failed link.
  try {
    route(request, body.value(), respond);
  } catch (const Json::exception &) {
    respond({http::StatusBadRequest, {}, ""});
  }
}

void Target::route(const http::Request &request, const Json &body,
                   const http::Respond &respond) {
  const auto &path = request.Path;
  if (path == target::ExecutePath)
    enqueue(request, body, respond);
  else if (path == target::ConnectPath)
    connect(request.Connection, respond);
  else if (path == target::StatusPath)
    respond(jsonResponse(http::StatusOk, target::toJson(status())));
  else if (path == target::AwaitPath)
    await(body, respond);
  else if (path == target::FencePath)
    respond(fence(body.at("term")));
  else if (path == target::PromotePath)
    respond(promote(body.at("term")));
  else if (path == target::FollowPath)
    respond(follow(body.at("term"), body.at("address")));
  else if (path == "/log")
    serveLog(body, respond);
  else
    respond({http::StatusNotFound, {}, ""});
}

void Target::handleClosed(ConnectionHandle it) {
  Connected.erase(it);
  Transactions.erase(it); // Rolls back.
}

http::Response Target::control(const Json &body) {
  using std::chrono::milliseconds;
  Options.ShipLag =
      milliseconds(body.value("shipLagMs", Options.ShipLag.count()));
  Options.ApplyLag =
      milliseconds(body.value("applyLagMs", Options.ApplyLag.count()));
  if (body.contains("serviceMs"))
    Options.ServiceTime = milliseconds(body["serviceMs"].get<int>());
  IsCut = body.value("cut", IsCut);
  Leaving = body.value("leaving", Leaving);
  return jsonResponse(http::StatusOk, target::toJson(status()));
}

} // namespace peridotfall::standin
