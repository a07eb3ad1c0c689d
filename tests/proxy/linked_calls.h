/// \file
/// Calls between daemons over links of limited bandwidth, and a large object to
/// send.

#ifndef PERIDOTFALL_TESTS_PROXY_LINKED_CALLS_H
#define PERIDOTFALL_TESTS_PROXY_LINKED_CALLS_H

#include "proxy/link_model.h"
#include "proxy/relay.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotfall::testing {

/// A text like an operator's configuration: random names, few other values.
inline std::string configurationText(std::size_t routes, unsigned idleMillis) {
  constexpr unsigned Seed = 7;
  std::mt19937 random(Seed);
  auto randomName = [&random] {
    constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    constexpr std::size_t Length = 8;
    std::uniform_int_distribution<std::size_t> pick(0, Letters.size() - 1);
    std::string out;
    for (std::size_t n = 0; n < Length; ++n)
      out += Letters[pick(random)];
    return out;
  };
  auto out = R"({"limits":{"tx_idle_ms":)" + std::to_string(idleMillis) +
             R"(},"routes":[)";
  for (std::size_t n = 0; n < routes; ++n)
    out += R"({"host":")" + randomName() +
           R"(","latency_goal_ms":500,"max_attempts":2,"name":"r-)" +
           randomName() +
           R"(","path_prefix":"/","priority":2,"service":"huvo11a",)"
           R"("timeout_ms":1200,"type":"read_your_writes"},)";
  return out + "]}";
}

/// Calls between daemons. Requests are small and arrive without delay.
class LinkedCalls final : public proxy::CallPort {
public:
  using Handle = std::function<void(const std::string &address,
                                    const http::Request &, http::Respond)>;

  LinkedCalls(LinkModel &links, std::string self, Handle handle,
              const Clock &clock)
      : Links(links), Self(std::move(self)), HandleRequest(std::move(handle)),
        Time(clock) {}

  void call(const std::string &address, const char *path, std::string body,
            const http::AnswerLimits &limits, http::OnResult done) override {
    auto it = std::make_shared<Call>();
    it->Limits = limits;
    it->TimesOutAt = Time.now() + limits.FirstByte;
    it->Done = std::move(done);
    Calls.push_back(it);
    http::Request request;
    request.Path = path;
    request.Body = std::move(body);
    HandleRequest(
        address, request, [this, it, address](http::Response response) {
          if (std::find(Calls.begin(), Calls.end(), it) == Calls.end())
            return;
          auto bytes = response.Body.size();
          if (it->Limits.Stall.count() > 0)
            it->TimesOutAt = TimePoint::max();
          it->Flow =
              Links.send(address, Self, bytes,
                         [this, it, response = std::move(response)]() mutable {
                           std::erase(Calls, it);
                           response.Received = it->Flow->received(Time.now());
                           it->Done(std::move(response));
                         });
        });
  }
  void tick() {
    for (const auto &it : std::vector(Calls))
      if (Time.now() >= it->TimesOutAt)
        timeOut(it);
  }

  unsigned TimedOut = 0;

private:
  struct Call {
    http::AnswerLimits Limits;
    TimePoint TimesOutAt;
    http::OnResult Done;
    LinkModel::FlowPtr Flow;
  };
  using CallPtr = std::shared_ptr<Call>;

  void timeOut(const CallPtr &it) {
    ++TimedOut;
    std::erase(Calls, it);
    if (it->Flow)
      Links.cancel(it->Flow);
    it->Done(http::TransportError{http::Failure::MaybeRun, "no answer in time",
                                  it->Flow ? it->Flow->received(Time.now())
                                           : http::Transfer{}});
  }

  LinkModel &Links;
  std::string Self;
  Handle HandleRequest;
  const Clock &Time;
  std::vector<CallPtr> Calls;
};

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_PROXY_LINKED_CALLS_H
