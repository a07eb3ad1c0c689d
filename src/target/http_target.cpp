#include "target/http_target.h"

#include "http/status.h"
#include "target/wire.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace peridotfall::target {

namespace {

constexpr std::chrono::milliseconds ControlTimeout{500};
/// Well below the time after which a primary is suspected, so that a frozen
/// target is detected as fast as a crashed one.
constexpr std::chrono::milliseconds StatusTimeout{400};
constexpr std::chrono::milliseconds ConnectTimeout{2'000};

using ChannelPtr = std::shared_ptr<http::Channel>;

http::Request post(const char *path, const Json &body) {
  http::Request it;
  it.Method = "POST";
  it.Path = path;
  it.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return it;
}

Result<Status> readStatus(const http::CallResult &result) {
  if (!result)
    return Error{result.error().Kind == http::Failure::NotSent
                     ? ErrorCode::Unavailable
                     : ErrorCode::Unknown,
                 "target: " + result.error().Message};
  if (result.value().Status == http::StatusConflict)
    return Error{ErrorCode::Conflict, "target: has accepted a higher term"};
  auto json = parseJson(result.value().Body);
  if (result.value().Status == http::StatusOk && json)
    if (auto it = statusFromJson(json.value()))
      return *it;
  return Error{ErrorCode::Unknown, "target: answer malformed"};
}

void callControl(const ChannelPtr &channel, const char *path, const Json &body,
                 std::chrono::milliseconds limit, OnStatus done) {
  channel->call(post(path, body), limit,
                [done = std::move(done)](const http::CallResult &it) {
                  done(readStatus(it));
                });
}

StatementAnswer readAnswer(const StatementRequest &request,
                           const http::CallResult &result) {
  if (!result) {
    const auto &error = result.error();
    if (error.Kind == http::Failure::NotSent)
      return notRun(request, AnswerCode::Unavailable,
                    "target: " + error.Message);
    return unknownOutcome(request, AnswerCode::ConnectionLost,
                          "target: " + error.Message);
  }
  auto json = parseJson(result.value().Body);
  if (result.value().Status == http::StatusOk && json) {
    auto answer = answerFromJson(json.value());
    // A late or mixed-up answer to another request must not be forwarded: the
    // caller would receive another caller's rows.
    if (answer && answer->Id == request.Id)
      return *answer;
  }
  return unknownOutcome(request, AnswerCode::ConnectionLost,
                        "target: answer does not match the request");
}

ConnectionPtr makeConnection(const ChannelPtr &channel) {
  Connection it;
  it.Execute = [channel](const StatementRequest &request,
                         std::chrono::milliseconds limit, OnAnswer done) {
    channel->call(
        post(ExecutePath, toJson(request)), limit,
        [request, done = std::move(done)](const http::CallResult &result) {
          done(readAnswer(request, result));
        });
  };
  it.Close = [channel] { channel->close(); };
  it.IsOpen = [channel] { return !channel->isTerminated(); };
  return std::make_shared<const Connection>(std::move(it));
}

/// The open connections to one target, so that they can be closed together.
class Connections {
public:
  void add(const ChannelPtr &channel) {
    std::lock_guard guard(Lock);
    std::erase_if(Open, [](const auto &it) { return it.expired(); });
    Open.push_back(channel);
  }
  void closeAll() {
    std::vector<std::weak_ptr<http::Channel>> open;
    {
      std::lock_guard guard(Lock);
      open = std::exchange(Open, {});
    }
    for (const auto &it : open)
      if (auto channel = it.lock())
        channel->close();
  }

private:
  std::mutex Lock;
  std::vector<std::weak_ptr<http::Channel>> Open;
};

void connect(asio::io_context &loop, const std::string &address,
             Connections &connections, OnConnection done) {
  http::ChannelOptions options;
  // A transaction ends with its connection.
  options.Reconnect = false;
  auto channel = std::make_shared<http::Channel>(loop, address, options);
  connections.add(channel);
  channel->call(
      post(ConnectPath, Json::object()), ConnectTimeout,
      [channel, done = std::move(done)](const http::CallResult &result) {
        if (result && result.value().Status == http::StatusOk) {
          done(makeConnection(channel));
          return;
        }
        channel->close();
        done(Error{ErrorCode::Unavailable,
                   result ? "target: rejected the connection request"
                          : "target: " + result.error().Message});
      });
}

Control makeControl(const ChannelPtr &channel) {
  Control it;
  it.GetStatus = [channel](OnStatus done) {
    callControl(channel, StatusPath, Json::object(), StatusTimeout,
                std::move(done));
  };
  it.AwaitPosition = [channel](Term term, Position position,
                               std::chrono::milliseconds wait, OnStatus done) {
    callControl(channel, AwaitPath,
                {{"term", term},
                 {"position", toJson(position)},
                 {"waitMs", wait.count()}},
                wait + ControlTimeout, std::move(done));
  };
  it.Fence = [channel](Term term, OnStatus done) {
    callControl(channel, FencePath, {{"term", term}}, ControlTimeout,
                std::move(done));
  };
  it.Promote = [channel](Term term, OnStatus done) {
    callControl(channel, PromotePath, {{"term", term}}, ControlTimeout,
                std::move(done));
  };
  it.Follow = [channel](Term term, const std::string &address, OnStatus done) {
    callControl(channel, FollowPath, {{"term", term}, {"address", address}},
                ControlTimeout, std::move(done));
  };
  return it;
}

} // namespace

Api makeHttpTarget(asio::io_context &loop, const std::string &address) {
  Api api;
  api.Calls = makeControl(
      std::make_shared<http::Channel>(loop, address, http::ChannelOptions{}));
  auto connections = std::make_shared<Connections>();
  api.Connect = [&loop, address, connections](OnConnection done) {
    connect(loop, address, *connections, std::move(done));
  };
  api.Disconnect = [connections] { connections->closeAll(); };
  return api;
}

} // namespace peridotfall::target
