#include "telemetry/platform_calls.h"

#include <utility>

namespace peridotfall::telemetry {

namespace {

/// A missing object or a version conflict is an answer, not a failure.
bool failed(const Error &it) {
  return it.Code == ErrorCode::Unavailable || it.Code == ErrorCode::Unknown;
}

/// Counts the call at once, and a failure when it completes.
template <class T>
std::function<void(Result<T>)> counted(Metrics &metrics, PlatformCall call,
                                       std::function<void(Result<T>)> done) {
  auto n = static_cast<std::size_t>(call);
  metrics.PlatformCalls[n]->Increment();
  return [errors = metrics.PlatformErrors[n],
          done = std::move(done)](Result<T> it) {
    if (!it && failed(it.error()))
      errors->Increment();
    done(std::move(it));
  };
}

} // namespace

platform::Api countCalls(platform::Api api, Metrics &metrics) {
  platform::Api out;
  out.Get = [inner = api.Get, &metrics](std::string key,
                                        platform::OnObject done) {
    inner(std::move(key), counted(metrics, PlatformCall::Get, std::move(done)));
  };
  out.Put = [inner = api.Put, &metrics](std::string key, std::uint64_t expected,
                                        std::string value,
                                        platform::OnObject done) {
    inner(std::move(key), expected, std::move(value),
          counted(metrics, PlatformCall::Put, std::move(done)));
  };
  out.Watch = [inner = api.Watch, &metrics](
                  std::string key, std::uint64_t after,
                  std::chrono::milliseconds wait, platform::OnObject done) {
    inner(std::move(key), after, wait,
          counted(metrics, PlatformCall::Watch, std::move(done)));
  };
  out.ListVms = [inner = api.ListVms, &metrics](platform::OnMembers done) {
    inner(counted(metrics, PlatformCall::ListVms, std::move(done)));
  };
  return out;
}

} // namespace peridotfall::telemetry
