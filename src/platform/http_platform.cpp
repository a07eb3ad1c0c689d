#include "platform/http_platform.h"

#include "base/document.h"
#include "http/status.h"

#include <fmt/format.h>
#include <utility>

namespace peridotfall::platform {

namespace {

Error toError(const http::TransportError &it) {
  return {it.Kind == http::Failure::NotSent ? ErrorCode::Unavailable
                                            : ErrorCode::Unknown,
          "platform: " + it.Message};
}

Error toError(int status) {
  if (status == http::StatusNotFound)
    return {ErrorCode::NotFound, "platform: no such object"};
  if (status == http::StatusConflict)
    return {ErrorCode::Conflict, "platform: another version is stored"};
  // The platform may have stored the change before it failed.
  return {ErrorCode::Unknown, fmt::format("platform: status {}", status)};
}

Result<Object> readObject(const http::CallResult &result) {
  if (!result)
    return toError(result.error());
  if (result.value().Status != http::StatusOk)
    return toError(result.value().Status);
  auto json = parseJson(result.value().Body);
  Findings findings;
  if (json) {
    ObjectReader it(json.value(), "", findings);
    Object object{it.number("version", 0, UINT64_MAX),
                  json.value().value("value", "")};
    if (findings.empty())
      return object;
  }
  return Error{ErrorCode::Unknown, "platform: answer malformed"};
}

Member readMember(const Json &json, Findings &findings) {
  ObjectReader it(json, "", findings);
  Member member;
  member.Vm = VmName(it.text("vm"));
  member.Domain = DomainName(it.text("domain"));
  member.Region = RegionName(it.text("region"));
  member.InnerAddress = it.text("address");
  member.Leaving = it.flagOr("leaving", false);
  member.ServesTarget = it.flagOr("servesTarget", false);
  return member;
}

Result<std::vector<Member>> readMembers(const http::CallResult &result) {
  if (!result)
    return toError(result.error());
  if (result.value().Status != http::StatusOk)
    return toError(result.value().Status);
  auto json = parseJson(result.value().Body);
  if (!json || !json.value().is_array())
    return Error{ErrorCode::Unknown, "platform: list of VMs malformed"};
  Findings findings;
  std::vector<Member> members;
  for (const auto &it : json.value())
    members.push_back(readMember(it, findings));
  if (!findings.empty())
    return Error{ErrorCode::Unknown, "platform: list of VMs malformed: " +
                                         describe(findings.front(), "vms")};
  return members;
}

http::Request makeRequest(std::string method, std::string path,
                          std::string body = "") {
  http::Request it;
  it.Method = std::move(method);
  it.Path = std::move(path);
  it.Body = std::move(body);
  return it;
}

} // namespace

std::string groupKey(const DatabaseName &database) {
  return "peridotfall/groups/" + database.Value;
}

Api makeHttpPlatform(asio::io_context &loop, const HttpOptions &options) {
  http::ChannelOptions channelOptions;
  channelOptions.Tls = options.Tls;
  auto channel =
      std::make_shared<http::Channel>(loop, options.Address, channelOptions);
  auto limit = options.CallLimit;
  Api api;
  api.Get = [channel, limit](const std::string &key, OnObject done) {
    channel->call(makeRequest("GET", "/objects/" + key),
                  http::firstByteTimeout(limit),
                  [done = std::move(done)](const http::CallResult &it) {
                    done(readObject(it));
                  });
  };
  api.Put = [channel, limit](const std::string &key, std::uint64_t expected,
                             std::string value, OnObject done) {
    channel->call(
        makeRequest("PUT",
                    fmt::format("/objects/{}?expected={}", key, expected),
                    std::move(value)),
        limit, [done = std::move(done)](const http::CallResult &it) {
          done(readObject(it));
        });
  };
  api.Watch = [channel, limit](const std::string &key, std::uint64_t after,
                               std::chrono::milliseconds wait, OnObject done) {
    channel->call(
        makeRequest("GET", fmt::format("/watch/{}?after={}&wait_ms={}", key,
                                       after, wait.count())),
        http::firstByteTimeout(wait + limit),
        [done = std::move(done)](const http::CallResult &it) {
          done(readObject(it));
        });
  };
  api.ListVms = [channel, limit](OnMembers done) {
    channel->call(makeRequest("GET", "/vms"), http::firstByteTimeout(limit),
                  [done = std::move(done)](const http::CallResult &it) {
                    done(readMembers(it));
                  });
  };
  return api;
}

} // namespace peridotfall::platform
