#include "platform/guarded.h"
#include "platform/http_platform.h"
#include "tool/commands.h"
#include "tool/store.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <memory>

namespace peridotfall::tool {

PlatformClient::PlatformClient(const std::string &address) {
  platform::GuardOptions guard;
  guard.Seed =
      static_cast<std::uint64_t>(Time.now().time_since_epoch().count());
  Api = platform::makeGuarded(
      platform::makeHttpPlatform(Loops.at(0), {.Address = address}),
      Loops.at(0), Time, guard, std::make_shared<platform::CallCounts>());
}

int reportError(const Error &error) {
  std::cerr << "not done: " << error.Message << "\n";
  switch (error.Code) {
  case ErrorCode::Conflict:
    return Conflict;
  case ErrorCode::Unavailable:
    return Unreachable;
  case ErrorCode::Unknown:
    return Unknown;
  default:
    return Failed;
  }
}

int runDrain(const ToolOptions &options, const Arguments &args, bool drained) {
  if (args.size() != 1) {
    std::cerr << "usage: peridotfall drain|undrain VM\n";
    return BadUsage;
  }
  VmName vm(args[0]);
  PlatformClient client(options.Platform);
  auto current = fetchConfiguration(client.api());
  if (!current)
    return reportError(current.error());
  if (!current.value())
    return reportError(
        {ErrorCode::NotFound, "no configuration has been applied"});
  if (isDrained(*current.value(), vm) == drained) {
    std::cout << fmt::format("{} is {} already\n", vm.Value,
                             drained ? "drained" : "in use");
    return Success;
  }
  auto accepted = updateConfiguration(
      client.api(),
      [&](const Configuration *it) {
        auto next = it ? *it : Configuration();
        auto &list = next.Drained;
        list.erase(std::remove(list.begin(), list.end(), vm), list.end());
        if (drained)
          list.push_back(vm);
        return next;
      },
      options.Operator);
  if (!accepted)
    return reportError(accepted.error());
  std::cout << fmt::format("accepted revision {} id {}: {} {}\n",
                           accepted.value().Revision, accepted.value().Id,
                           vm.Value, drained ? "drained" : "in use");
  return Success;
}

} // namespace peridotfall::tool
