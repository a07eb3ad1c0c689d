#include "base/document.h"
#include "http/channel.h"
#include "http/loops.h"
#include "http/status.h"
#include "tool/commands.h"

#include <fmt/format.h>
#include <fstream>
#include <future>
#include <iostream>
#include <memory>

namespace peridotfall::tool {

namespace {

std::string readSession(const std::string &path) {
  std::ifstream in(path);
  std::string token;
  std::getline(in, token);
  return token;
}

http::Request makeRequest(const ToolOptions &options, const Arguments &args) {
  Json params = Json::array();
  for (std::size_t n = 2; n < args.size(); ++n) {
    auto value = Json::parse(args[n], nullptr, false);
    params.push_back(value.is_discarded() ? Json(args[n]) : value);
  }
  http::Request it;
  it.Method = "POST";
  it.Path = fmt::format("/v1/databases/{}/statements", args[0]);
  it.Body =
      Json{{"kind", options.Kind}, {"sql", args[1]}, {"params", params}}.dump(
          -1, ' ', false, Json::error_handler_t::replace);
  it.Fields.push_back(
      {"peridotfall-deadline-ms", std::to_string(options.Deadline.count())});
  if (!options.Key.empty())
    it.Fields.push_back({"idempotency-key", options.Key});
  auto token = options.Session.empty() ? "" : readSession(options.Session);
  if (!token.empty())
    it.Fields.push_back({"peridotfall-session", token});
  return it;
}

int exitOf(const http::Response &response) {
  if (response.Status == http::StatusOk)
    return Success;
  auto json = Json::parse(response.Body, nullptr, false);
  bool unknown = json.is_object() && json.value("outcome", "") == "unknown";
  return unknown ? Unknown : Failed;
}

} // namespace

int runSql(const ToolOptions &options, const Arguments &args) {
  if (args.size() < 2) {
    std::cerr << "usage: peridotfall sql DATABASE STATEMENT [PARAMETER...] "
                 "--kind=KIND [--session=FILE] [--key=KEY]\n";
    return BadUsage;
  }
  http::Loops loops(1);
  auto channel = std::make_shared<http::Channel>(loops.at(0), options.Daemon,
                                                 http::ChannelOptions{});
  std::promise<http::CallResult> promise;
  channel->call(makeRequest(options, args),
                options.Deadline + std::chrono::seconds(1),
                [&](http::CallResult it) { promise.set_value(std::move(it)); });
  auto result = promise.get_future().get();
  channel->close();
  if (!result) {
    std::cerr << result.error().Message << "\n";
    return result.error().Kind == http::Failure::NotSent ? Unreachable
                                                         : Unknown;
  }
  const auto &response = result.value();
  auto token = http::findHeader(response.Fields, "peridotfall-session");
  if (!options.Session.empty() && !token.empty())
    std::ofstream(options.Session) << token << "\n";
  int code = exitOf(response);
  (code == Success ? std::cout : std::cerr) << response.Body << "\n";
  return code;
}

} // namespace peridotfall::tool
