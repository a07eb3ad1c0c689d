#include "daemon/platform_sync.h"

#include "telemetry/events.h"

#include <utility>

namespace peridotfall {

namespace {

using telemetry::Event;
using telemetry::field;

constexpr std::chrono::milliseconds WatchWait{10'000};
constexpr std::chrono::milliseconds Pause{1'000};

} // namespace

PlatformSync::PlatformSync(asio::io_context &loop, platform::Api api,
                           ConfigurationInForce &config, Fleet &fleet)
    : ConfigurationTimer(loop), MembersTimer(loop), Api(std::move(api)),
      Config(config), Peers(fleet) {}

void PlatformSync::start() {
  watchConfiguration(0);
  listMembers();
}

void PlatformSync::stop() {
  ConfigurationTimer.cancel();
  MembersTimer.cancel();
}

void PlatformSync::later(asio::steady_timer &timer,
                         std::function<void()> action) {
  timer.expires_after(Pause);
  timer.async_wait([self = shared_from_this(),
                    action = std::move(action)](std::error_code ec) {
    if (!ec)
      action();
  });
}

void PlatformSync::watchConfiguration(std::uint64_t after) {
  Api.Watch(
      platform::ConfigurationKey, after, WatchWait,
      [self = shared_from_this(), after](const Result<platform::Object> &it) {
        if (it) {
          self->takeConfiguration(it.value());
          self->watchConfiguration(it.value().Version);
          return;
        }
        if (it.error().Code != ErrorCode::NotFound)
          telemetry::log(
              Event::PlatformUnavailable,
              {field("call", "watch"), field("error", it.error().Message)});
        self->later(self->ConfigurationTimer,
                    [self, after] { self->watchConfiguration(after); });
      });
}

void PlatformSync::takeConfiguration(const platform::Object &object) {
  auto parsed = parseConfiguration(object.Value);
  if (!parsed) {
    telemetry::log(
        Event::ConfigurationRejected,
        {field("version", object.Version),
         field("finding", describe(parsed.error().front(), "platform"))});
    return;
  }
  auto revision = parsed.value().Revision;
  auto id = parsed.value().Id;
  if (Config.offer(std::move(parsed.value())))
    telemetry::log(Event::ConfigurationInForce,
                   {field("revision", revision), field("id", id)});
}

void PlatformSync::listMembers() {
  Api.ListVms(
      [self = shared_from_this()](const Result<std::vector<Member>> &it) {
        if (it && self->Peers.setMembers(it.value()))
          telemetry::log(Event::MembersChanged,
                         {field("members", it.value().size())});
        self->later(self->MembersTimer, [self] { self->listMembers(); });
      });
}

} // namespace peridotfall
