#include "standin/platform.h"
#include "http/status.h"

#include <asio/steady_timer.hpp>
#include <charconv>
#include <utility>

namespace peridotfall::standin {

namespace {

/// Delay of a withheld answer, at least any caller's own timeout.
constexpr std::chrono::milliseconds NoAnswerDelay{60'000};

Json toJson(const platform::Object &it) {
  return {{"version", it.Version}, {"value", it.Value}};
}

bool stripPrefix(std::string &path, const std::string &prefix) {
  if (path.rfind(prefix, 0) != 0)
    return false;
  path = path.substr(prefix.size());
  path = path.substr(0, path.find('?'));
  return true;
}

} // namespace

std::uint64_t queryNumber(const std::string &path, const std::string &name) {
  auto it = path.find(name + "=");
  std::uint64_t n = 0;
  if (it != std::string::npos)
    std::from_chars(path.data() + it + name.size() + 1,
                    path.data() + path.size(), n);
  return n;
}

http::Response jsonResponse(int status, const Json &body) {
  return {status,
          {{"content-type", "application/json"}},
          body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::error_code Platform::start(const std::string &address) {
  http::ServerOptions options;
  options.Address = address;
  options.MaxStreams = limits::MaxInnerStreams;
  options.MaxBody = limits::MaxAnswerBody;
  Server = std::make_shared<http::Server>(
      Pool, options,
      [weak = weak_from_this()](const http::Request &request,
                                const http::Respond &respond) {
        if (auto self = weak.lock())
          self->handle(request, respond);
      });
  return Server->start();
}

void Platform::stop() { Server->stop(); }

void Platform::runAfter(std::chrono::milliseconds delay,
                        std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(Pool.at(0), delay);
  timer->async_wait([timer, action = std::move(action)](std::error_code ec) {
    if (!ec)
      action();
  });
}

void Platform::handle(const http::Request &request,
                      const http::Respond &respond) {
  if (request.Path == "/control") {
    respond(control(request.Body));
    return;
  }
  std::unique_lock guard(Lock);
  if (Down) {
    // No answer, as from an unreachable store: the caller has to time out.
    guard.unlock();
    runAfter(NoAnswerDelay, [respond] {
      respond({http::StatusBadRequest, {}, ""});
    });
    return;
  }
  ++Counts[request.Method + " " +
           request.Path.substr(0, request.Path.find('/', 1))];
  auto delay = Delay;
  guard.unlock();
  if (delay.count() == 0) {
    serve(request, respond);
    return;
  }
  runAfter(delay, [self = shared_from_this(), request, respond] {
    self->serve(request, respond);
  });
}

void Platform::serve(const http::Request &request,
                     const http::Respond &respond) {
  auto path = request.Path;
  if (path == "/vms") {
    std::lock_guard guard(Lock);
    respond(jsonResponse(http::StatusOk, Vms));
  } else if (stripPrefix(path, "/watch/")) {
    watch(path, queryNumber(request.Path, "after"),
          std::chrono::milliseconds(queryNumber(request.Path, "wait_ms")),
          respond);
  } else if (!stripPrefix(path, "/objects/")) {
    respond({http::StatusNotFound, {}, ""});
  } else if (request.Method == "GET") {
    respond(get(path));
  } else {
    auto response =
        put(path, queryNumber(request.Path, "expected"), request.Body);
    std::unique_lock guard(Lock);
    bool lose = LoseAnswers > 0;
    if (lose)
      --LoseAnswers;
    guard.unlock();
    if (lose)
      runAfter(NoAnswerDelay, [respond] {
        respond({http::StatusBadRequest, {}, ""});
      });
    else
      respond(std::move(response));
  }
}

http::Response Platform::get(const std::string &key) {
  std::lock_guard guard(Lock);
  auto it = Objects.find(key);
  if (it == Objects.end())
    return {http::StatusNotFound, {}, ""};
  return jsonResponse(http::StatusOk, toJson(it->second));
}

http::Response Platform::put(const std::string &key, std::uint64_t expected,
                             const std::string &value) {
  std::vector<Waiter> waiters;
  platform::Object stored;
  {
    std::lock_guard guard(Lock);
    auto &object = Objects[key];
    if (object.Version != expected) {
      auto current = object;
      if (current.Version == 0)
        Objects.erase(key);
      return jsonResponse(http::StatusConflict, toJson(current));
    }
    object = {expected + 1, value};
    stored = object;
    waiters = std::exchange(Waiters[key], {});
  }
  for (const auto &it : waiters)
    it.Done(jsonResponse(http::StatusOk, toJson(stored)));
  return jsonResponse(http::StatusOk, toJson(stored));
}

void Platform::watch(const std::string &key, std::uint64_t after,
                     std::chrono::milliseconds wait,
                     const http::Respond &respond) {
  {
    std::lock_guard guard(Lock);
    auto it = Objects.find(key);
    if (it == Objects.end() || it->second.Version <= after)
      Waiters[key].push_back({after, respond});
    else {
      respond(jsonResponse(http::StatusOk, toJson(it->second)));
      return;
    }
  }
  // A waiter may be answered twice; the second answer is dropped.
  runAfter(wait, [self = shared_from_this(), key, respond] {
    respond(self->get(key));
  });
}

http::Response Platform::control(const std::string &body) {
  auto parsed = parseJson(body);
  if (!parsed)
    return {http::StatusBadRequest, {}, "not JSON"};
  const auto &it = parsed.value();
  std::lock_guard guard(Lock);
  Down = it.value("down", Down);
  Delay = std::chrono::milliseconds(it.value("delayMs", Delay.count()));
  LoseAnswers = it.value("loseAnswers", LoseAnswers);
  Vms = it.value("vms", Vms);
  return jsonResponse(http::StatusOk, Json(Counts));
}

} // namespace peridotfall::standin
