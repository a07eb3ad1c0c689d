/// \file
/// Target adapters by address, each created on first use.

#ifndef PERIDOTFALL_DAEMON_TARGETS_H
#define PERIDOTFALL_DAEMON_TARGETS_H

#include "peridotfall/configuration.h"
#include "target/target.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace peridotfall {

using TargetPtr = std::shared_ptr<const target::Api>;

class Targets {
public:
  using Make = std::function<target::Api(const std::string &address)>;

  explicit Targets(Make make) : MakeApi(std::move(make)) {}

  TargetPtr get(const std::string &address) {
    std::lock_guard guard(Lock);
    auto &it = Apis[address];
    if (!it)
      it = std::make_shared<const target::Api>(MakeApi(address));
    return it;
  }

private:
  Make MakeApi;
  std::mutex Lock;
  std::map<std::string, TargetPtr> Apis;
};

} // namespace peridotfall

#endif // PERIDOTFALL_DAEMON_TARGETS_H
