#include "http/status.h"
#include "base/document.h"
#include "http/channel.h"
#include "tool/commands.h"

#include <fmt/format.h>
#include <future>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace peridotfall::tool {

namespace {

constexpr std::chrono::milliseconds StatusTimeout{2'000};
/// Limits the connections that the tool opens at once.
constexpr std::size_t MaxConcurrentRequests = 64;

using Answer = std::optional<Json>;

std::future<Answer> fetchStatus(http::Loops &loops,
                                const std::string &address) {
  auto channel = std::make_shared<http::Channel>(loops.at(0), address,
                                                 http::ChannelOptions{});
  auto promise = std::make_shared<std::promise<Answer>>();
  http::Request request;
  request.Method = "GET";
  request.Path = "/status";
  channel->call(request, StatusTimeout,
                [channel, promise](const http::CallResult &it) {
                  Answer out;
                  if (it && it.value().Status == http::StatusOk)
                    out = Json::parse(it.value().Body, nullptr, false);
                  if (out && !out->is_object())
                    out.reset();
                  promise->set_value(std::move(out));
                  channel->close();
                });
  return promise->get_future();
}

/// \return each daemon's answer by VM, null where there was none.
Json fetchAllStatuses(http::Loops &loops, const Json &members) {
  Json out = Json::object();
  for (std::size_t n = 0; n < members.size(); n += MaxConcurrentRequests) {
    std::map<std::string, std::future<Answer>> running;
    for (std::size_t i = n;
         i < std::min(members.size(), n + MaxConcurrentRequests); ++i)
      if (!members[i].value("servesTarget", false))
        running.emplace(members[i].value("vm", ""),
                        fetchStatus(loops, members[i].value("address", "")));
    for (auto &[vm, it] : running) {
      auto answer = it.get();
      out[vm] = answer ? *answer : Json();
    }
  }
  return out;
}

std::string formatPosition(const Json &target, const char *field) {
  if (!target.contains(field))
    return "-";
  const auto &it = target[field];
  return fmt::format("{}/{}", it.value("term", 0ULL), it.value("index", 0ULL));
}

void printDaemons(const Json &members, const Json &answers) {
  std::cout << fmt::format("{:<20} {:<16} {:<22} {:<10} {}\n", "VM",
                           "FAILURE DOMAIN", "ADDRESS", "REVISION", "STATE");
  for (const auto &it : members) {
    auto vm = it.value("vm", "");
    const auto &answer = answers.value(vm, Json());
    std::string state = it.value("servesTarget", false) ? "target"
                        : answer.is_null()              ? "no answer"
                        : it.value("suspected", false)  ? "suspected"
                                                        : "live";
    if (it.value("leaving", false))
      state += ", leaving";
    std::cout << fmt::format(
        "{:<20} {:<16} {:<22} {:<10} {}\n", vm, it.value("domain", ""),
        it.value("address", ""),
        answer.is_null() ? "-" : std::to_string(answer.value("revision", 0ULL)),
        state);
  }
}

/// \return the target's state as its owner reports it, or \p fallback without
/// an answer: only the owner probes a target.
const Json &ownerView(const Json &answers, std::size_t database,
                      std::size_t target, const Json &fallback) {
  auto owner = answers.find(fallback.value("owner", ""));
  if (owner == answers.end() || owner->is_null() ||
      owner->at("databases").size() <= database)
    return fallback;
  const auto &it = owner->at("databases")[database].at("targets");
  return target < it.size() ? it[target] : fallback;
}

void printTargets(const Json &databases, const Json &answers) {
  std::cout << fmt::format("\n{:<16} {:<20} {:<9} {:<20} {:<6} {:<10} {:<10} "
                           "{}\n",
                           "DATABASE", "TARGET", "ROLE", "OWNER", "TERM",
                           "LAST", "APPLIED", "LAG");
  for (std::size_t n = 0; n < databases.size(); ++n) {
    const auto &targets = databases[n].at("targets");
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const auto &it = ownerView(answers, n, i, targets[i]);
      std::string role = !it.value("reachable", false) ? "lost"
                         : it.value("primary", false)  ? "primary"
                                                       : "replica";
      std::cout << fmt::format(
          "{:<16} {:<20} {:<9} {:<20} {:<6} {:<10} {:<10} {}\n",
          databases[n].value("name", ""), it.value("name", ""), role,
          it.value("owner", ""), it.value("term", 0ULL),
          formatPosition(it, "last"), formatPosition(it, "applied"),
          it.contains("lag") ? std::to_string(it.value("lag", 0ULL)) : "-");
    }
  }
}

} // namespace

int runStatus(const ToolOptions &options, const Arguments &args) {
  if (!args.empty()) {
    std::cerr << "usage: peridotfall status [--json] [--inner=ADDRESS]\n";
    return BadUsage;
  }
  http::Loops loops(1);
  auto first = fetchStatus(loops, options.Inner).get();
  if (!first) {
    std::cerr << "no answer from " << options.Inner << "\n";
    return Unreachable;
  }
  const auto &members = first->at("members");
  auto answers = fetchAllStatuses(loops, members);
  if (options.Json) {
    std::cout << Json{{"asked", *first}, {"daemons", answers}}.dump(2) << "\n";
    return Success;
  }
  printDaemons(members, answers);
  printTargets(first->at("databases"), answers);
  return Success;
}

} // namespace peridotfall::tool
